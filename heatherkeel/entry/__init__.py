"""The entry process: the HTTP proxy between callers and targets."""
