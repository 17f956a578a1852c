"""Chooses machines to take from shares above their part for those below it."""

from __future__ import annotations

from heatherkeel.platform.machines import Machine
from heatherkeel.questions.messages import PoolLoad

from .claims import Division
from .const import (
    MAX_TAKEN_FRACTION,
    MIN_MACHINES,
    MIN_STAY_MS,
    SHORTAGE_SETTLE_MS,
    TAKEN_PERIOD_MS,
)
from .models import FleetOwnerState, Intent, PoolShare


def list_takable(
    state: FleetOwnerState,
    division: Division,
    members: dict[PoolShare, list[Machine]],
    planned: list[Intent],
) -> list[Machine]:
    """Return the machines beyond their shares' parts that may be taken for other shares.

    Those of the least important jobs come first, and of a share's those that are empty soonest.
    `planned` are the moves that this round has planned already.
    """
    leaving = {intent.machine for intent in planned}
    shares = sorted(division.parts, key=lambda share: (-division.rank(share), share))
    return [
        machine
        for share in shares
        for machine in _list_spare(state, division, share, members[share], leaving)
    ]


def _list_spare(
    state: FleetOwnerState,
    division: Division,
    share: PoolShare,
    machines: list[Machine],
    leaving: set[str],
) -> list[Machine]:
    """Return a share's machines beyond its part, those first that lose least by being emptied."""
    load = state.views[share].load
    staying = [machine for machine in machines if machine.name not in leaving]
    free = [
        machine
        for machine in staying
        if machine.worker_id in load.workers
        and machine.worker_id not in load.lasting
        and has_stayed(state, machine)
    ]
    free.sort(key=lambda machine: order_to_empty(load, machine))
    held = division.held[share] - (len(machines) - len(staying))
    keeps = max(MIN_MACHINES, division.parts[share] + division.tolerance(share))
    return free[: max(0, held - keeps)]


def order_to_empty(load: PoolLoad, machine: Machine) -> tuple[int, int, str]:
    """Return a sort key: machines with little that has to end come first, then little used ones."""
    worker_id = machine.worker_id or ""
    return (load.kept.get(worker_id, 0), load.workers[worker_id], machine.name)


def has_stayed(state: FleetOwnerState, machine: Machine) -> bool:
    """Return whether a machine has been in its pool for long enough to be taken."""
    moved_ms = state.moved_ms.get(machine.name)
    return moved_ms is None or state.now_ms - moved_ms >= MIN_STAY_MS


def count_allowed(state: FleetOwnerState, division: Division) -> dict[PoolShare, int]:
    """Return how many machines may be taken for each share: those that come in time.

    A share has to lack machines for a moment before any are taken for it.
    """
    state.short_since_ms = {
        share: state.short_since_ms.get(share, state.now_ms)
        for share in division.parts
        if division.lacking(share)
    }
    return {
        share: division.lacking_soon(share)
        for share, since_ms in state.short_since_ms.items()
        if state.now_ms - since_ms >= SHORTAGE_SETTLE_MS
    }


def take_budget(state: FleetOwnerState) -> int:
    """Return how many machines may be taken now, so that the bound for each period holds."""
    state.taken_ms = [at_ms for at_ms in state.taken_ms if state.now_ms - at_ms < TAKEN_PERIOD_MS]
    bound = max(1, int(MAX_TAKEN_FRACTION * len(state.machines)))
    return max(0, bound - len(state.taken_ms))


def drop_needless(state: FleetOwnerState, division: Division) -> list[Intent]:
    """Cancel takings that weren't ordered and for which there is no reason any more; return them.

    The share that was to get the machine is above its part by now, or the one that has it below.
    """
    dropped = []
    excess = {share: division.held[share] - division.parts[share] for share in division.parts}
    for name, intent in list(state.intents.items()):
        if not intent.is_taken or intent.ordered_ms is not None:
            continue
        to_share = state.share_of(name, intent.pool)
        from_share = state.share_of(name, intent.from_pool)
        if to_share is None or from_share is None:
            continue
        if not {to_share, from_share} <= excess.keys():
            continue
        if excess[to_share] > division.tolerance(to_share) or (
            excess[from_share] < -division.tolerance(from_share)
        ):
            del state.intents[name]
            excess[to_share] -= 1
            excess[from_share] += 1
            dropped.append(intent)
    return dropped
