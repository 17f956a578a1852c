"""Tests of heatherkeel.pooling."""
