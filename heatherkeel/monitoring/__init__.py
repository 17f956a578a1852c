"""What one process tells of itself: metrics, health and readiness."""
