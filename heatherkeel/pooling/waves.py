"""Chooses the machines to maintain next."""

from __future__ import annotations

from math import ceil

from heatherkeel.platform.machines import Machine

from .const import (
    BUSY_UTILIZATION,
    MAINTENANCE_CYCLE_S,
    MAX_SLOW_FRACTION,
    MAX_UNAVAILABLE_FRACTION,
    WAVE_SCHEDULE_MARGIN,
)
from .models import FleetOwnerState, Intent, Purpose, WaveProgress


def plan_maintenance(state: FleetOwnerState, *, has_shortfall: bool) -> list[Intent]:
    """Return the maintenance to begin now; `has_shortfall` if a pool lacks machines."""
    intents: list[Intent] = []
    for progress in state.waves.values():
        if not progress.is_complete:
            intents += _plan_wave(state, progress, intents, has_shortfall=has_shortfall)
    return intents


def _plan_wave(
    state: FleetOwnerState, progress: WaveProgress, planned: list[Intent], *, has_shortfall: bool
) -> list[Intent]:
    reserved = state.intents.keys() | {intent.machine for intent in planned}
    due = [
        machine
        for name in progress.wave.machines
        if name not in progress.begun
        and name not in reserved
        and (machine := state.machines.get(name)) is not None
        and machine.is_up()
    ]
    down = count_down(state, progress)
    slots = progress.wave.max_down - down
    if has_shortfall:
        slots = min(slots, _required_down(state, progress, len(due) + down) - down)
    unavailable = _count_unavailable(state, planned)
    sizes = _pool_sizes(state)
    loads = _pool_loads(state)
    is_late = _is_late(state, progress, len(due))
    slow_left = _count_slow_slots(state, progress)
    intents: list[Intent] = []
    for machine in sorted(due, key=lambda machine: _rank(state, machine, loads)):
        if len(intents) >= slots:
            break
        if _has_long_running_task(state, machine):
            if slow_left <= 0:
                continue
            slow_left -= 1
        if not state.is_standby(machine.pool):
            if not is_late and loads[machine.pool] > BUSY_UTILIZATION:
                continue
            allowed = max(1, int(MAX_UNAVAILABLE_FRACTION * sizes.get(machine.pool, 0)))
            if unavailable.get(machine.pool, 0) >= allowed:
                continue
            unavailable[machine.pool] = unavailable.get(machine.pool, 0) + 1
        intents.append(
            Intent(
                machine=machine.name,
                worker_id=None if state.is_standby(machine.pool) else machine.worker_id,
                purpose=Purpose.MAINTAIN,
                from_pool=machine.pool,
                wave=progress.wave.number,
                began_ms=state.now_ms,
            )
        )
    return intents


def count_down(state: FleetOwnerState, progress: WaveProgress) -> int:
    """Count a wave's machines that are, or may be, down or being emptied for it."""
    down = {
        name
        for name in progress.wave.machines
        if (machine := state.machines.get(name)) is not None and machine.state == "upkeep"
    }
    down |= {
        name
        for name, intent in state.intents.items()
        if intent.wave == progress.wave.number and intent.purpose is Purpose.MAINTAIN
    }
    return len(down)


def _rank(
    state: FleetOwnerState, machine: Machine, loads: dict[str, float]
) -> tuple[bool, bool, float, int, str]:
    """Rank machines for maintenance: standby ones, then the slowest to empty, then the idlest.

    Long-running tasks leave one at a time within their step's budget, so machines with them would
    be late if they came last: emptying one may take 14 s, others take 0.4 s.
    """
    if state.is_standby(machine.pool):
        return (False, False, 0.0, 0, machine.name)
    view = state.view_of(machine)
    used = view.load.workers.get(machine.worker_id or "", 0) if view else 0
    is_quick = not _has_long_running_task(state, machine)
    return (True, is_quick, loads[machine.pool], used, machine.name)


def _has_long_running_task(state: FleetOwnerState, machine: Machine) -> bool:
    view = state.view_of(machine)
    return view is not None and machine.worker_id in view.load.lasting


def _count_slow_slots(state: FleetOwnerState, progress: WaveProgress) -> int:
    """Return how many more machines with long-running tasks may be emptied for a wave now.

    The limit leaves some of the wave's concurrency to machines that empty quickly.
    """
    emptying = sum(
        1
        for intent in state.intents.values()
        if intent.wave == progress.wave.number
        and intent.purpose is Purpose.MAINTAIN
        and (machine := state.machines.get(intent.machine)) is not None
        and _has_long_running_task(state, machine)
    )
    return max(1, int(MAX_SLOW_FRACTION * progress.wave.max_down)) - emptying


def _pool_loads(state: FleetOwnerState) -> dict[str, float]:
    """Return the utilization of each pool's processor; 1 if it is unknown."""
    capacities = dict.fromkeys((machine.pool for machine in state.machines.values()), 0)
    for machine in state.machines.values():
        if machine.is_up():
            capacities[machine.pool] += machine.capacity.cpu
    wanted: dict[str, int] = {}
    for share, view in state.views.items():
        wanted[share.pool] = wanted.get(share.pool, 0) + view.load.wanted_cpu
    return {
        pool: wanted[pool] / capacity if pool in wanted and capacity else 1.0
        for pool, capacity in capacities.items()
    }


def _pool_sizes(state: FleetOwnerState) -> dict[str, int]:
    sizes: dict[str, int] = {}
    for machine in state.machines.values():
        sizes[machine.pool] = sizes.get(machine.pool, 0) + 1
    return sizes


def _count_unavailable(state: FleetOwnerState, planned: list[Intent]) -> dict[str, int]:
    """Count the machines of each pool that are out of service or about to be."""
    unavailable: dict[str, int] = {}
    leaving = state.intents.keys() | {intent.machine for intent in planned}
    for machine in state.machines.values():
        if not machine.is_up() or machine.name in leaving:
            unavailable[machine.pool] = unavailable.get(machine.pool, 0) + 1
    return unavailable


def _required_down(state: FleetOwnerState, progress: WaveProgress, left: int) -> int:
    """Return how many machines have to be down at once for the wave to end in time.

    While a pool lacks machines, a wave takes no more than this: it begins with standby machines,
    which the pool is waiting for. Taken all at once, they left a pool two seconds behind for the
    rest of its demand peak.
    """
    elapsed_s = (state.now_ms - progress.began_ms) / 1000
    left_s = max(MAINTENANCE_CYCLE_S, progress.wave.duration_s - elapsed_s)
    return ceil(WAVE_SCHEDULE_MARGIN * left * MAINTENANCE_CYCLE_S / left_s)


def _is_late(state: FleetOwnerState, progress: WaveProgress, due: int) -> bool:
    """Return whether the wave needs its full concurrency from now on to end in time."""
    elapsed_s = (state.now_ms - progress.began_ms) / 1000
    left_s = progress.wave.duration_s - elapsed_s
    rounds = -(-due // max(1, progress.wave.max_down))
    return left_s < (rounds + 2) * MAINTENANCE_CYCLE_S
