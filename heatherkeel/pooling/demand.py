"""How many machines each pool needs, and which to move."""

from __future__ import annotations

from math import ceil

from heatherkeel.platform.machines import Machine

from .const import (
    ARRIVING_SHARE,
    FEWEST_MACHINES,
    FLOOR_SHARE,
    FULL_SHARE,
    KEEP_MS,
    LOAD_MAX_AGE_MS,
    PARK_AFTER_MS,
    SURPLUS_GAP_MS,
)
from .models import FleetState, Intent, PoolView, Purpose


def demanded_cpu(view: PoolView) -> float:
    """Return what a pool's jobs ask for, or soon will at the pace at which they come."""
    load = view.load
    return max(load.wanted_cpu, load.arriving_cpu * FULL_SHARE / ARRIVING_SHARE)


def remember_peak(view: PoolView, now_ms: int) -> None:
    """Keep the highest demand of the last while."""
    wanted = demanded_cpu(view)
    view.peaks = [
        (at_ms, cpu) for at_ms, cpu in view.peaks if cpu > wanted and now_ms - at_ms < KEEP_MS
    ]
    view.peaks.append((now_ms, wanted))


def plan_moves(state: FleetState) -> list[Intent]:
    """Return the machines to move now: to pools that are short, then to the standby pool."""
    members = _members(state)
    short = _shortages(state, members)
    donors = _donors(state, members, short)
    intents = []
    for pool in sorted(short, key=lambda name: short[name], reverse=True):
        for _ in range(short[pool]):
            donor = next((machine for machine in donors if machine.pool != pool), None)
            if donor is None:
                break
            donors.remove(donor)
            intents.append(_move(state, donor, pool))
    return intents + _plan_parking(state, donors)


def _members(state: FleetState) -> dict[str, list[Machine]]:
    """Return the machines of each pool that are up and stay."""
    members: dict[str, list[Machine]] = {name: [] for name in state.services}
    for machine in state.machines.values():
        if machine.is_up() and machine.name not in state.intents and machine.pool in members:
            members[machine.pool].append(machine)
    return members


def _fresh(state: FleetState, pool: str) -> PoolView | None:
    view = state.pools.get(pool)
    if view is None or state.now_ms - view.heard_ms > LOAD_MAX_AGE_MS:
        return None
    return view


def _needed(state: FleetState, pool: str, machines: list[Machine], *, recent: bool) -> int | None:
    """Return how many machines a pool's demand asks for; None if that isn't known."""
    view = _fresh(state, pool)
    if view is None:
        return None
    wanted = demanded_cpu(view)
    if recent:
        wanted = max([wanted, *(cpu for _, cpu in view.peaks)])
    sizes = [machine.capacity.cpu for machine in machines or state.machines.values()]
    size = sum(sizes) / len(sizes) if sizes else 1
    return ceil(wanted / (FULL_SHARE * max(1.0, size)))


def _shortages(state: FleetState, members: dict[str, list[Machine]]) -> dict[str, int]:
    """Return how many machines each pool lacks, counting those on their way to it."""
    short = {}
    for pool, machines in members.items():
        if state.is_standby(pool):
            continue
        needed = _needed(state, pool, machines, recent=False)
        if needed is None:
            continue
        coming = sum(
            1
            for intent in state.intents.values()
            if intent.pool == pool and intent.purpose is Purpose.MOVE
        )
        coming += sum(
            1
            for machine in state.machines.values()
            if machine.pool == pool
            and not machine.is_up()
            and machine.state != "down"
            and machine.name not in state.intents
        )
        lacking = needed - len(machines) - coming
        if lacking > 0:
            short[pool] = lacking
    return short


def _donors(
    state: FleetState, members: dict[str, list[Machine]], short: dict[str, int]
) -> list[Machine]:
    """Return machines that may be moved, those that serve nobody first."""
    donors = []
    for pool, machines in members.items():
        if state.is_standby(pool):
            donors += list(machines)
        elif pool not in short:
            donors += _surplus(state, pool, machines, recent=not short)
    donors.sort(key=lambda machine: (not state.is_standby(machine.pool), machine.name))
    return donors


def _surplus(
    state: FleetState, pool: str, machines: list[Machine], *, recent: bool
) -> list[Machine]:
    """Return a pool's machines beyond its demand, without lasting tasks, the emptiest first.

    What was wanted in the last seconds counts, unless another pool is short right now.
    A machine with a lasting task stays: moving it would end the task, and its step may not have
    two on one worker.
    """
    needed = _needed(state, pool, machines, recent=recent)
    view = state.pools.get(pool)
    if needed is None or view is None:
        return []
    free = [
        machine
        for machine in machines
        if machine.worker_id in view.load.workers and machine.worker_id not in view.load.lasting
    ]
    pinned = len(machines) - len(free)
    spare = len(machines) - max(needed, pinned, _floor(state, pool))
    free.sort(key=lambda machine: (view.load.workers[machine.worker_id or ""], machine.name))
    return free[: max(0, spare)]


def _floor(state: FleetState, pool: str) -> int:
    """Return how many machines a pool keeps between its turns.

    Machines come about two seconds after they are wanted; these are for the jobs until then, and
    for what may be lost or maintained, or while the fleet has no owner.
    """
    return max(FEWEST_MACHINES, ceil(FLOOR_SHARE * state.home_sizes.get(pool, 0)))


def _plan_parking(state: FleetState, donors: list[Machine]) -> list[Intent]:
    """Send machines to the standby pool, as many as a pool could spare all the last while."""
    standby = state.standby_pool()
    if standby is None:
        return []
    parked = []
    for pool, view in state.pools.items():
        surplus = [machine for machine in donors if machine.pool == pool]
        least = _least_surplus(state, view, len(surplus))
        parked += [_move(state, machine, standby) for machine in surplus[:least]]
        if least:
            view.surplus.clear()
    return parked


def _least_surplus(state: FleetState, view: PoolView, count: int) -> int:
    """Return how many machines a pool could spare at any time of the last while.

    Counted, not named: which of its machines are the emptiest changes with every look.
    """
    view.surplus = [
        (at_ms, known) for at_ms, known in view.surplus if state.now_ms - at_ms <= PARK_AFTER_MS
    ]
    view.surplus.append((state.now_ms, count))
    if state.now_ms - view.surplus[0][0] < PARK_AFTER_MS - SURPLUS_GAP_MS:
        return 0
    return min(known for _, known in view.surplus)


def _move(state: FleetState, machine: Machine, pool: str) -> Intent:
    return Intent(
        machine=machine.name,
        worker_id=None if state.is_standby(machine.pool) else machine.worker_id,
        purpose=Purpose.MOVE,
        from_pool=machine.pool,
        pool=pool,
        began_ms=state.now_ms,
    )
