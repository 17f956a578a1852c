"""Machines: which pool each is in, and when each is maintained."""
