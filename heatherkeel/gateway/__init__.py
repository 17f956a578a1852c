"""Where callers hand jobs in, ask for them and cancel them."""
