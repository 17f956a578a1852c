"""Tests of heatherkeel.ownership."""
