"""What processes ask each other directly: the owner of a partition knows its jobs."""
