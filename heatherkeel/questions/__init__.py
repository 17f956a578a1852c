"""Questions and answers that processes exchange directly, such as about jobs of a partition."""
