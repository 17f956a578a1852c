"""The state written back into the log before retention ends, and started from again."""
