"""Tracks machines that are up, but whose workers the owners of their shares don't know."""

from __future__ import annotations

from heatherkeel.platform.machines import Machine

from .const import LOAD_MAX_AGE_MS, REGISTRATION_MS
from .models import FleetOwnerState


def track_registrations(state: FleetOwnerState) -> None:
    """Note since when each worker has been unknown to the owner of its share."""
    state.unregistered_since_ms = {
        machine.worker_id: state.unregistered_since_ms.get(machine.worker_id, state.now_ms)
        for machine in state.machines.values()
        if machine.worker_id is not None and _is_unknown(state, machine)
    }


def _is_unknown(state: FleetOwnerState, machine: Machine) -> bool:
    view = state.view_of(machine)
    if view is None or not machine.is_up():
        return False
    if state.now_ms - view.received_ms > LOAD_MAX_AGE_MS:
        # The share has no owner at present that could know the worker.
        return False
    return (
        machine.worker_id not in view.load.workers and machine.worker_id not in view.load.unlisted
    )


def is_missing(state: FleetOwnerState, machine: Machine) -> bool:
    """Return whether a machine's worker has been unknown for so long that it may never come.

    The list goes on showing a machine as up whose worker has crashed or is cut off. Such a machine
    runs nothing, and its share has to get another one.
    """
    since_ms = state.unregistered_since_ms.get(machine.worker_id or "")
    return since_ms is not None and state.now_ms - since_ms >= REGISTRATION_MS
