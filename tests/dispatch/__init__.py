"""Tests of heatherkeel.dispatch."""
