"""Metrics, health and readiness of a process."""
