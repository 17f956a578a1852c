"""Dispatching of one partition's jobs to workers by the partition's owner."""
