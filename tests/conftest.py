"""Plugins of the whole suite."""

from __future__ import annotations

pytest_plugins = ["pytester", "tests.known_red"]
