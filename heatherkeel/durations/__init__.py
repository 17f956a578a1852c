"""How long tasks really take, learned from their ends by queue and by content."""
