"""Builds one timeline of a job or request from the logs of several processes."""
