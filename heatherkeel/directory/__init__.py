"""What the operator and the workers have written: configuration, waves, workers' entries."""
