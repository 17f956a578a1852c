"""Forwards calls to the store through a peer while the store rejects this process."""
