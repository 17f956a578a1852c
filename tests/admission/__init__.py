"""Tests of admission by backlog."""
