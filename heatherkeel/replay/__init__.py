"""Replays recorded traces through the production fold, and says which promises held."""
