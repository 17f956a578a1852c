"""Fixtures of the tests that run separate processes."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from .harness import Fleet


@pytest.fixture
def fleet() -> Iterator[Fleet]:
    """Give a fleet of processes, and end it after the test."""
    started = Fleet()
    try:
        yield started
    finally:
        started.close()
