"""Which machines to maintain next."""

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
from .models import FleetState, Intent, Purpose, WaveProgress


def plan_maintenance(state: FleetState, *, is_short: bool) -> list[Intent]:
    """Return the machines to empty for maintenance now; `is_short` if a pool lacks machines."""
    intents: list[Intent] = []
    for progress in state.waves.values():
        if not progress.is_complete:
            intents += _plan_wave(state, progress, intents, is_short=is_short)
    return intents


def _plan_wave(
    state: FleetState, progress: WaveProgress, planned: list[Intent], *, is_short: bool
) -> list[Intent]:
    taken = state.intents.keys() | {intent.machine for intent in planned}
    due = [
        machine
        for name in progress.wave.machines
        if name not in progress.begun
        and name not in taken
        and (machine := state.machines.get(name)) is not None
        and machine.is_up()
    ]
    down = count_down(state, progress)
    slots = progress.wave.max_down - down
    if is_short:
        slots = min(slots, _pace(state, progress, len(due) + down) - down)
    out = _count_out(state, planned)
    sizes = _pool_sizes(state)
    loads = _pool_loads(state)
    hurry = _is_late(state, progress, len(due))
    slow_left = _count_slow_slots(state, progress)
    intents: list[Intent] = []
    for machine in sorted(due, key=lambda machine: _rank(state, machine, loads)):
        if len(intents) >= slots:
            break
        if _has_lasting(state, machine):
            if slow_left <= 0:
                continue
            slow_left -= 1
        if not state.is_standby(machine.pool):
            if not hurry and loads[machine.pool] > BUSY_UTILIZATION:
                continue
            allowed = max(1, int(MAX_UNAVAILABLE_FRACTION * sizes.get(machine.pool, 0)))
            if out.get(machine.pool, 0) >= allowed:
                continue
            out[machine.pool] = out.get(machine.pool, 0) + 1
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


def count_down(state: FleetState, progress: WaveProgress) -> int:
    """Count the wave's machines that are down, or may be, or are being emptied for it."""
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
    state: FleetState, machine: Machine, loads: dict[str, float]
) -> tuple[bool, bool, float, int, str]:
    """Order machines that are off first, then what takes longest to empty, then the idlest.

    Lasting tasks leave one after the other, as far as their step's budget allows: emptying took up
    to 14 s where others take 0.4 s. Left for last, two of 147 machines were a second late.
    """
    if state.is_standby(machine.pool):
        return (False, False, 0.0, 0, machine.name)
    view = state.view_of(machine)
    used = view.load.workers.get(machine.worker_id or "", 0) if view else 0
    is_quick = not _has_lasting(state, machine)
    return (True, is_quick, loads[machine.pool], used, machine.name)


def _has_lasting(state: FleetState, machine: Machine) -> bool:
    view = state.view_of(machine)
    return view is not None and machine.worker_id in view.load.lasting


def _count_slow_slots(state: FleetState, progress: WaveProgress) -> int:
    """Return how many more machines with lasting tasks may be emptied for a wave now.

    Each keeps a place among those that are down for as long as it is emptied, so the others of the
    wave go on through the rest of the places.
    """
    emptying = sum(
        1
        for intent in state.intents.values()
        if intent.wave == progress.wave.number
        and intent.purpose is Purpose.MAINTAIN
        and (machine := state.machines.get(intent.machine)) is not None
        and _has_lasting(state, machine)
    )
    return max(1, int(MAX_SLOW_FRACTION * progress.wave.max_down)) - emptying


def _pool_loads(state: FleetState) -> dict[str, float]:
    """Return for each pool the share of its processor that is wanted; 1 where nothing is known."""
    rooms = dict.fromkeys((machine.pool for machine in state.machines.values()), 0)
    for machine in state.machines.values():
        if machine.is_up():
            rooms[machine.pool] += machine.capacity.cpu
    wanted: dict[str, int] = {}
    for share, view in state.views.items():
        wanted[share.pool] = wanted.get(share.pool, 0) + view.load.wanted_cpu
    return {
        pool: wanted[pool] / room if pool in wanted and room else 1.0
        for pool, room in rooms.items()
    }


def _pool_sizes(state: FleetState) -> dict[str, int]:
    sizes: dict[str, int] = {}
    for machine in state.machines.values():
        sizes[machine.pool] = sizes.get(machine.pool, 0) + 1
    return sizes


def _count_out(state: FleetState, planned: list[Intent]) -> dict[str, int]:
    """Count for each pool the machines that are out of service or about to be."""
    out: dict[str, int] = {}
    leaving = state.intents.keys() | {intent.machine for intent in planned}
    for machine in state.machines.values():
        if not machine.is_up() or machine.name in leaving:
            out[machine.pool] = out.get(machine.pool, 0) + 1
    return out


def _pace(state: FleetState, progress: WaveProgress, left: int) -> int:
    """Return how many machines have to be down at once for the wave to end in time.

    While a pool lacks machines a wave takes no more of them than that. It begins with those that
    are off, which are the ones that the pool's turn is waiting for: a wave that took 35 of them
    at once left the pool two seconds behind for the rest of its turn.
    """
    elapsed_s = (state.now_ms - progress.began_ms) / 1000
    left_s = max(MAINTENANCE_CYCLE_S, progress.wave.duration_s - elapsed_s)
    return ceil(WAVE_SCHEDULE_MARGIN * left * MAINTENANCE_CYCLE_S / left_s)


def _is_late(state: FleetState, progress: WaveProgress, due: int) -> bool:
    """Say whether the wave needs every machine that it may have down from now on."""
    elapsed_s = (state.now_ms - progress.began_ms) / 1000
    left_s = progress.wave.duration_s - elapsed_s
    rounds = -(-due // max(1, progress.wave.max_down))
    return left_s < (rounds + 2) * MAINTENANCE_CYCLE_S
