"""Refuses jobs that surely could not be served, before they are stored."""
