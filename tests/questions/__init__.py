"""Tests of heatherkeel.questions."""
