"""Constants of the demo."""

from __future__ import annotations

from typing import Any, Final

from heatherkeel.measure.const import POOL, SERVICE_PATH, TEAM

ZONES: Final = ("a", "b", "c")
RACKS: Final = ("r1", "r2")
"""One target stands in each rack of each availability zone."""

KILLED_ZONE: Final = "b"
"""The availability zone whose entry instance is killed at the end."""

FIRST_BOOT: Final = "1"
"""The boot that target stand-ins start with."""

RATE: Final = 40.0
"""Requests a second."""

NON_IDEMPOTENT_SHARE: Final = 0.2
DEADLINE_MS: Final = 4_000
WORK_MS: Final = 30
"""How long a target works on a request, so that some are always in progress."""

LONGEST_LOAD_S: Final = 40.0
"""The load ends with the last scene, or here."""

QUIET_S: Final = 2.0
"""Load before the first scene, and after the last one."""

SCENE_TIMEOUT_S: Final = 25.0
"""Longest wait for an edit to be in force, or for a wave to end."""

MAX_TRIES: Final = 3
"""How often the platform's balancer offers a request to another entry instance."""

POLL_S: Final = 0.02

ENTRY_SETTINGS: Final = "instances_interval_ms = 200"
"""The list of instances is read more often than by default, to keep the demo short."""

MAINTENANCE: Final = "upkeep"
MAINTENANCE_ENTRY: Final[dict[str, Any]] = {
    "kind": "maintenance",
    "owner": TEAM,
    "pool": POOL,
    "max_concurrent": 2,
    "return_timeout_s": 10,
    "wave_request": 1,
}

POOL_ENTRY: Final[dict[str, Any]] = {"kind": "pool", "owner": TEAM, "size": 6}


def service_entry(*, deadline_ms: int) -> dict[str, Any]:
    """Return the catalogue entry of the service that callers ask."""
    return {
        "kind": "service",
        "owner": TEAM,
        "pool": POOL,
        "path_prefix": SERVICE_PATH,
        "budget": {"min_serving": 3, "reserve": "rack"},
        "limits": {"deadline_ms": deadline_ms},
    }
