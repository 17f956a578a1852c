"""What the users' operator writes to the store, and what it reads there."""

from __future__ import annotations

from typing import Any, Final

import msgspec

from .keyed_log import KeyedLog

OPERATOR_TOPIC: Final = "keyed.op"
STATUS_TOPIC: Final = "keyed.status"
MAX_BODY_BYTES: Final = 262_144
"""Longest body of a caller, in bytes, as the configuration states it."""


def write_configuration(
    log: KeyedLog,
    *,
    version: int,
    queues: list[dict[str, Any]],
    services: list[str],
    standby: str,
    workspaces: list[dict[str, Any]] | None = None,
) -> None:
    """Write a configuration; `standby` names the service whose machines are off."""
    config = {
        "version": version,
        "routes": queues,
        "services": [{"name": name, "standby": name == standby} for name in services],
        "limits": {"maxBodyBytes": MAX_BODY_BYTES},
        "tenants": workspaces or [],
    }
    log.put(OPERATOR_TOPIC, "config", msgspec.json.encode(config))


def demand_wave(
    log: KeyedLog, number: int, machines: list[str], *, max_down: int, duration_s: float = 20
) -> None:
    """Ask for maintenance of some machines."""
    wave = {
        "wave": number,
        "machines": machines,
        "durationS": duration_s,
        "maxCount": max_down,
    }
    log.put(OPERATOR_TOPIC, f"wave/{number}", msgspec.json.encode(wave))


def read_wave_state(log: KeyedLog, number: int) -> str:
    """Return what the system has told of a wave; empty if it has told nothing."""
    found = log.newest(STATUS_TOPIC, 0).get(f"wave/{number}")
    return str(msgspec.json.decode(found[1])["state"]) if found else ""
