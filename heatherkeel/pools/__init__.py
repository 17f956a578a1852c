"""Instances, their pools, and their observed health."""
