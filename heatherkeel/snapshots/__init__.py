"""Snapshots of the folded state, stored in the log so that an instance can start from one."""
