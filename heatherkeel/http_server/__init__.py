"""The HTTP servers of a process, and what their clients may make them hold."""
