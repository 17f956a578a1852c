"""The HTTP API through which callers submit, query and cancel jobs."""
