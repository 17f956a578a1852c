"""Tests of heatherkeel.gateway."""
