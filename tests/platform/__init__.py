"""Tests of heatherkeel.platform."""
