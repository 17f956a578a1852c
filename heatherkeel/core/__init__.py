"""The fold over the platform's log: record envelopes, registries, reducer and checkers."""
