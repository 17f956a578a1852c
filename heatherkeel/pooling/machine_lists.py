"""Keeps the list of machines, and tells machines that have left from those that one list lacks."""

from __future__ import annotations

from .const import MACHINE_GONE_MS
from .models import FleetOwnerState, MachinesListed


def record_list(state: FleetOwnerState, event: MachinesListed) -> None:
    """Record a list of machines, and since when each machine of earlier ones isn't listed."""
    listed = {machine.name: machine for machine in event.machines}
    unlisted = (state.machines.keys() | state.unlisted_since_ms.keys()) - listed.keys()
    since_ms = {name: state.unlisted_since_ms.get(name, event.sent_ms) for name in unlisted}
    state.unlisted_since_ms = {
        name: at_ms for name, at_ms in since_ms.items() if event.sent_ms - at_ms < MACHINE_GONE_MS
    }
    state.machines = listed
    state.listed_ms = event.sent_ms


def has_left(state: FleetOwnerState, machine: str) -> bool:
    """Return whether a machine is gone; one that was listed before may only be left out."""
    return machine not in state.machines and machine not in state.unlisted_since_ms
