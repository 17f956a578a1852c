"""The fold over the platform's log: envelopes, registries, the reducer and its checkers."""
