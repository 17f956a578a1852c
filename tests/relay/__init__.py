"""Tests of heatherkeel.relay."""
