"""Jobs: accepted, placed, run at most once where they must, and never lost."""
