"""The entry process: stands between callers and targets, and takes part in every decision."""
