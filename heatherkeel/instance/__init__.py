"""An instance process: it serves callers and owns the partitions assigned to it."""
