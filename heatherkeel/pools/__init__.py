"""Instances, the one pool that each belongs to, and moves between pools."""
