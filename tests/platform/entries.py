"""A worker's entry as workers write it."""

from __future__ import annotations

from typing import Any, Final

ENTRY: Final[dict[str, Any]] = {
    "service": "desk",
    "address": "10.1.0.9:8080",
    "zone": "a",
    "state": "ready",
    "capacity": {"cpu": 64000, "memMb": 131072, "gpu": 0},
    "labels": ["a", "r1-3"],
}
