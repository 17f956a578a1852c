"""Which machines to move: to shares that are short, and to the standby pool."""

from __future__ import annotations

from math import ceil

from heatherkeel.platform.machines import Machine
from heatherkeel.questions.messages import Need

from .const import (
    MIN_MACHINES,
    MIN_SIZE_FRACTION,
)
from .models import FleetState, Intent, Purpose, Share
from .parking import choose_parked
from .supply import Supply, count_needed, find_fresh, find_lost_zones, list_staying


def plan_moves(state: FleetState, supply: Supply) -> list[Intent]:
    """Return the machines to move now: to shares that are short, then to the standby pool."""
    short = supply.short
    donors = _list_donors(state, supply)
    intents = _plan_needs(state, donors)
    for share in sorted(short, key=lambda share: _rank(state, share, short), reverse=True):
        for _ in range(short[share]):
            donor = next((donor for donor in donors if _suits(state, donor, share)), None)
            if donor is None:
                break
            donors.remove(donor)
            intents.append(_move(state, donor, share.pool))
    return intents + _plan_parking(state, donors)


def _plan_parking(state: FleetState, donors: list[Machine]) -> list[Intent]:
    """Send machines to the standby pool that no share needs."""
    standby = state.standby_pool()
    if standby is None:
        return []
    return [_move(state, machine, standby) for machine in choose_parked(state, donors)]


def _rank(state: FleetState, share: Share, short: dict[Share, int]) -> tuple[bool, int]:
    """Order shares: where lasting tasks find no room first, since nothing else ends their wait."""
    return (state.views[share].load.lacking > 0, short[share])


def _plan_needs(state: FleetState, donors: list[Machine]) -> list[Intent]:
    """Return the machines to move for tasks that no machine of their share can hold.

    Machines are parked by how empty they are, and not by what is special about them. A task that
    wants a label, or more than most machines have, would wait for good once the last of these had
    gone. Where no machine to spare can hold it either, nothing is moved.
    """
    intents: list[Intent] = []
    for share in state.shares():
        view = find_fresh(state, share)
        for need in view.load.needs if view is not None else []:
            if _is_met(state, share, need, intents):
                continue
            donor = next(
                (donor for donor in donors if _holds(donor, need) and _suits(state, donor, share)),
                None,
            )
            if donor is not None:
                donors.remove(donor)
                intents.append(_move(state, donor, share.pool))
    return intents


def _is_met(state: FleetState, share: Share, need: Need, planned: list[Intent]) -> bool:
    """Say whether a machine that holds a need is in a share already, or on its way there.

    Its worker may be seconds from being listed. One with a lasting task has been looked at by the
    share's owner, and holds the need no longer.
    """
    lasting = state.views[share].load.lasting
    coming = {
        intent.machine
        for intent in [*state.intents.values(), *planned]
        if intent.purpose is Purpose.MOVE and state.share_of(intent.machine, intent.pool) == share
    }
    return any(
        _holds(machine, need)
        and machine.state != "down"
        and machine.worker_id not in lasting
        and (
            machine.name in coming
            or (
                machine.name not in state.intents
                and state.share_of(machine.name, machine.pool) == share
            )
        )
        for machine in state.machines.values()
    )


def _holds(machine: Machine, need: Need) -> bool:
    """Say whether a machine could hold a task that asks for a need."""
    room = machine.capacity
    return (
        (not need.label or need.label in machine.labels)
        and need.cpu <= room.cpu
        and need.memory_mb <= room.memory_mb
        and need.gpu <= room.gpu
    )


def _suits(state: FleetState, machine: Machine, share: Share) -> bool:
    """Say whether a machine would be in a share once it was in the share's pool."""
    return machine.pool != share.pool and state.share_of(machine.name, share.pool) == share


def _list_donors(state: FleetState, supply: Supply) -> list[Machine]:
    """Return machines that may be moved, those that serve nobody first.

    One that an earlier owner of the fleet has just ordered away may not be ordered for some seconds
    more. Where that owner had parked a turn's machines before it was lost, the next turn waited for
    just these, while the pool of the last turn had a hundred that idled.
    """
    donors = [machine for machine in list_staying(state) if state.is_standby(machine.pool)]
    for share, machines in supply.members.items():
        if share not in supply.short:
            donors += _surplus(state, share, machines, recent=not supply.short)
    lost = find_lost_zones(state)
    donors.sort(
        key=lambda machine: (
            machine.zone in lost,
            state.now_ms < state.blocked_until_ms.get(machine.name, 0),
            not state.is_standby(machine.pool),
            machine.name,
        )
    )
    return donors


def _surplus(
    state: FleetState, share: Share, machines: list[Machine], *, recent: bool
) -> list[Machine]:
    """Return a share's machines beyond its demand, without lasting tasks, the emptiest first.

    What was wanted in the last seconds counts, and what a share keeps between its turns, unless
    another share is short right now: two seconds into a turn its pool has a third more machines,
    and one day earned 0.862 of what its jobs were worth instead of 0.837. A machine with a lasting
    task stays: moving it would end the task, and its step may not have two on one worker.
    """
    needed = count_needed(state, share, machines, recent=recent)
    view = state.views.get(share)
    if needed is None or view is None:
        return []
    free = [
        machine
        for machine in machines
        if machine.worker_id in view.load.workers and machine.worker_id not in view.load.lasting
    ]
    pinned = len(machines) - len(free)
    floor = _floor(state, share) if recent else MIN_MACHINES
    spare = len(machines) - max(needed, pinned, floor)
    free.sort(key=lambda machine: (view.load.workers[machine.worker_id or ""], machine.name))
    return free[: max(0, spare)]


def _floor(state: FleetState, share: Share) -> int:
    """Return how many machines a share keeps between its turns.

    Machines come about two seconds after they are wanted; these are for the jobs until then, and
    for what may be lost or maintained, or while the fleet has no owner.
    """
    return max(MIN_MACHINES, ceil(MIN_SIZE_FRACTION * state.home_size(share)))


def _move(state: FleetState, machine: Machine, pool: str) -> Intent:
    return Intent(
        machine=machine.name,
        worker_id=None if state.is_standby(machine.pool) else machine.worker_id,
        purpose=Purpose.MOVE,
        from_pool=machine.pool,
        pool=pool,
        began_ms=state.now_ms,
    )
