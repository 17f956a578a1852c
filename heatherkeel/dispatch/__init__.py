"""One partition's jobs: what runs where, decided by the partition's owner alone."""
