"""Ownership of partitions, as assigned by the platform's group membership."""
