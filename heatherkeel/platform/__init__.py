"""Clients of the platform: its log, its list of instances, its operations."""
