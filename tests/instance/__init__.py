"""Tests of heatherkeel.instance."""
