"""Fixtures of the tests with crowds."""

from __future__ import annotations

from tests.processes.conftest import fleet as fleet
