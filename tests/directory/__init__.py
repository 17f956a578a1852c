"""Tests of heatherkeel.directory."""
