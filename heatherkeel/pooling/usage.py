"""Accounts for the time of machines in pools by what it was spent on."""

from __future__ import annotations

from enum import StrEnum

from heatherkeel.platform.machines import Machine

from .models import FleetOwnerState, PoolShareView

MAX_INTERVAL_MS = 2000
"""Longest time between two measurements that is accounted for, in milliseconds; after a longer one
it isn't known what the machines did."""


class Cause(StrEnum):
    """What a machine's time in a pool was spent on."""

    WORK = "work"
    """The processor that tasks use on machines without long-running ones."""
    LONG_RUNNING = "long_running"
    """Machines with long-running tasks, which can't leave."""
    PACKING = "packing"
    """The unused processor of the other machines on which something runs."""
    IDLE = "idle"
    """Machines on which nothing runs."""
    LEAVING = "leaving"
    """Machines that are being emptied, to move or to be maintained."""
    COMING = "coming"
    """Machines that are moving, in maintenance or starting, so that their worker isn't listed."""
    UNKNOWN = "unknown"
    """Machines whose share didn't report its load."""


def record_usage(state: FleetOwnerState) -> None:
    """Add the machines' time since the last measurement to the account, in milliseconds."""
    elapsed_ms = state.now_ms - state.usage_ms
    state.usage_ms = state.now_ms
    if elapsed_ms > MAX_INTERVAL_MS:
        return
    for machine in state.machines.values():
        if not state.is_standby(machine.pool):
            for cause, fraction in _split(state, machine).items():
                state.usage[cause] = state.usage.get(cause, 0.0) + elapsed_ms * fraction


def _split(state: FleetOwnerState, machine: Machine) -> dict[Cause, float]:
    """Return the fractions of a machine's time by cause."""
    if not machine.is_up():
        return {Cause.COMING: 1.0}
    if machine.name in state.intents:
        return {Cause.LEAVING: 1.0}
    view = state.view_of(machine)
    if view is None:
        return {Cause.UNKNOWN: 1.0}
    worker_id = machine.worker_id or ""
    if worker_id not in view.load.workers:
        return {Cause.COMING: 1.0}
    return _split_running(view, worker_id, machine.capacity.cpu)


def _split_running(view: PoolShareView, worker_id: str, capacity_cpu: int) -> dict[Cause, float]:
    used_cpu = view.load.workers[worker_id]
    used = min(1.0, used_cpu / capacity_cpu) if capacity_cpu else 0.0
    if worker_id in view.load.lasting:
        return {Cause.LONG_RUNNING: 1.0}
    if not used:
        return {Cause.IDLE: 1.0}
    return {Cause.WORK: used, Cause.PACKING: 1.0 - used}


def take_seconds(usage: dict[str, float]) -> dict[str, float]:
    """Return the account in seconds by cause, and start it anew."""
    seconds = {cause.value: round(usage.get(cause, 0.0) / 1000, 1) for cause in Cause}
    usage.clear()
    return seconds
