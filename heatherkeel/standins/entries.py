"""The entries that workers keep in the store."""

from __future__ import annotations

from typing import Any, Final

import msgspec

from .keyed_log import KeyedLog
from .machines_api import ListedMachine, make_capacity

ENTRIES_TOPIC: Final = "keyed.servers"
HEARTBEAT_S: Final = 0.2


def make_entry(
    machine: ListedMachine,
    *,
    service: str,
    address: str,
    born: int,
    cpu: int,
    sequence: int,
    report: dict[str, Any],
) -> bytes:
    """Return a worker's entry; `report` tells whether it drains."""
    entry = {
        "service": service,
        "address": address,
        "zone": machine.zone,
        "capacity": make_capacity(cpu),
        "labels": machine.labels(),
        "machine": machine.name,
        "born": born,
        "sequence": sequence,
        **report,
    }
    return msgspec.json.encode(entry)


def drop_entry(log: KeyedLog, worker_id: str) -> None:
    """Remove a worker's entry."""
    log.put(ENTRIES_TOPIC, worker_id, b"")
