"""Calls to the store through another process, while the store turns this one away."""
