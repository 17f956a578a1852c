"""Helpers that are shared by all packages."""
