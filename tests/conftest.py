"""Plugins and fixtures of the whole suite."""

from __future__ import annotations

import pytest
import trio.testing
from hypothesis import settings

pytest_plugins = ["pytester", "tests.known_red"]

# The time of one example depends on what else the machine does, so it is no verdict.
settings.register_profile("suite", derandomize=True, deadline=None)
settings.load_profile("suite")


@pytest.fixture
def autojump_clock() -> trio.testing.MockClock:
    """Return a clock that skips all sleeps."""
    return trio.testing.MockClock(autojump_threshold=0)
