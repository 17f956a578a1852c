"""Decides who a caller is, and what a workspace may have running; does no I/O."""
