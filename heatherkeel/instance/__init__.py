"""One process on the users' platform: it takes callers, and owns what the platform deals it."""
