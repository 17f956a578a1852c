"""Request routing, limits, retries, and claims that let a key run at most once."""
