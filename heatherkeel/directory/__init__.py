"""Records published by the operator and the workers: configuration, waves, workers' entries."""
