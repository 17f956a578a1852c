"""Chooses machines to move to shares with a shortfall and to the standby pool."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

from heatherkeel.platform.machines import Machine
from heatherkeel.questions.messages import Need

from .claims import Division
from .const import (
    MAX_NEED_PAUSE_MS,
    MIN_MACHINES,
    NEED_PAUSE_MS,
    PROMPT_NEED_MACHINES,
)
from .handover import count_allowed, list_takable, order_to_empty, take_budget
from .joining import create_move, is_on_its_way, would_join
from .lasting import plan_for_long_running
from .leftovers import plan_leftovers
from .models import FleetOwnerState, Intent, PoolShare, Purpose, UnmetNeed
from .need_log import log_need, track_needs
from .registration import is_missing
from .standby import choose_for_standby
from .supply import (
    Supply,
    count_needed,
    find_fresh_view,
    find_lost_zones,
    list_staying,
    min_machines,
)


def plan_moves(
    state: FleetOwnerState, supply: Supply, division: Division | None = None
) -> list[Intent]:
    """Return the moves to shares with a shortfall, then those to the standby pool.

    While machines are divided, a share gets no more than its part, and lacks only that.
    """
    shortfall = supply.shortfall
    if division is not None:
        shortfall = _limit_shortfall(shortfall, division)
    candidates = _list_candidates(state, supply)
    intents = _plan_needs(state, candidates)
    order = sorted(shortfall, key=lambda share: _rank(state, share, shortfall), reverse=True)
    if division is not None:
        lacking = {share: state.views[share].load.lacking > 0 for share in order}
        order.sort(key=lambda share: (not lacking[share], division.rank(share)))
    for share in order:
        for _ in range(shortfall[share]):
            candidate = next(
                (candidate for candidate in candidates if would_join(state, candidate, share)),
                None,
            )
            if candidate is None:
                break
            candidates.remove(candidate)
            intents.append(create_move(state, candidate, share.pool))
    if division is not None:
        intents += _plan_takings(state, supply, division, shortfall, intents)
    intents += plan_for_long_running(state, supply, intents)
    taken = {intent.machine for intent in intents}
    candidates = [machine for machine in candidates if machine.name not in taken]
    intents += plan_leftovers(state, supply, candidates, intents)
    return intents + _plan_standby_moves(state, candidates)


def cancel_unreachable_moves(state: FleetOwnerState) -> bool:
    """Cancel moves of machines that can't be emptied; return whether there were any.

    Nobody hears whether anything still runs on a worker that is unreachable, so its machine would
    count for as long as that lasts as one that is on its way.
    """
    unreachable = [
        name
        for name, intent in state.intents.items()
        if intent.ordered_ms is None
        and intent.purpose is Purpose.MOVE
        and intent.worker_id is not None
        and _is_unreachable(state, name)
    ]
    for name in unreachable:
        del state.intents[name]
    return bool(unreachable)


def _is_unreachable(state: FleetOwnerState, name: str) -> bool:
    machine = state.machines.get(name)
    if machine is None:
        return False
    view = state.view_of(machine)
    is_unheard = view is not None and machine.worker_id in view.load.unheard
    return is_unheard or is_missing(state, machine)


def _limit_shortfall(shortfall: dict[PoolShare, int], division: Division) -> dict[PoolShare, int]:
    """Return the shortfall of each share up to its part, where its part is known."""
    limited = {
        share: min(count, division.lacking(share)) if share in division.parts else count
        for share, count in shortfall.items()
    }
    return {share: count for share, count in limited.items() if count}


def _plan_takings(
    state: FleetOwnerState,
    supply: Supply,
    division: Division,
    shortfall: dict[PoolShare, int],
    planned: list[Intent],
) -> list[Intent]:
    """Return the moves of machines from shares above their part to those below it.

    Shares with more important jobs get theirs first.
    """
    gained = Counter(state.share_of(intent.machine, intent.pool) for intent in planned)
    allowed = count_allowed(state, division)
    budget = take_budget(state)
    takable = list_takable(state, division, supply.members, planned)
    intents: list[Intent] = []
    for share in sorted(allowed, key=division.rank):
        count = min(allowed[share], shortfall.get(share, 0)) - gained[share]
        fitting = [machine for machine in takable if would_join(state, machine, share)]
        for machine in fitting[: max(0, min(count, budget - len(intents)))]:
            takable.remove(machine)
            intents.append(replace(create_move(state, machine, share.pool), is_taken=True))
    return intents


def _plan_standby_moves(state: FleetOwnerState, candidates: list[Machine]) -> list[Intent]:
    """Return the moves to the standby pool of machines that no share needs."""
    standby = state.standby_pool()
    if standby is None:
        return []
    return [
        create_move(state, machine, standby) for machine in choose_for_standby(state, candidates)
    ]


def _rank(
    state: FleetOwnerState, share: PoolShare, shortfall: dict[PoolShare, int]
) -> tuple[bool, int]:
    """Rank shares for machines; those whose long-running tasks fit on no machine come first."""
    return (state.views[share].load.lacking > 0, shortfall[share])


def _plan_needs(state: FleetOwnerState, candidates: list[Machine]) -> list[Intent]:
    """Return the moves for tasks that fit on no machine of their share.

    Machines move to standby regardless of their labels and size, so a task with special
    requirements could otherwise wait forever. Nothing moves if no candidate fits either.
    """
    intents: list[Intent] = []
    track_needs(state)
    for share in state.shares():
        view = find_fresh_view(state, share)
        for need in view.load.needs if view is not None else []:
            meeting = _list_meeting(state, share, need, intents)
            log_need(state, share, need, meeting, candidates)
            unmet = state.unmet[share, need]
            if meeting or state.now_ms < unmet.paused_until_ms:
                continue
            candidate = next(
                (
                    candidate
                    for candidate in candidates
                    if _can_hold(candidate, need) and would_join(state, candidate, share)
                ),
                None,
            )
            if candidate is not None:
                candidates.remove(candidate)
                intents.append(create_move(state, candidate, share.pool))
                _record_chosen(state, unmet)
    return intents


def _record_chosen(state: FleetOwnerState, unmet: UnmetNeed) -> None:
    """Pause after several machines for one need: those before may be of no use to its task.

    A worker may have less capacity than its machine is listed with. Without pauses all standby
    machines would move there and back for as long as the task waits.
    """
    unmet.machines += 1
    doublings = unmet.machines - PROMPT_NEED_MACHINES
    if doublings >= 0:
        pause_ms = min(MAX_NEED_PAUSE_MS, NEED_PAUSE_MS << min(doublings, 10))
        unmet.paused_until_ms = state.now_ms + pause_ms


def _list_meeting(
    state: FleetOwnerState, share: PoolShare, need: Need, planned: list[Intent]
) -> list[Machine]:
    """Return the machines that fit a need and will soon be a share's.

    A machine whose worker the share's owner knows doesn't count, since the owner has found that it
    can't take the task: it is too full, or out of order. Nor does one that fails to come.
    """
    known = state.views[share].load.workers
    incoming = {
        intent.machine
        for intent in [*state.intents.values(), *planned]
        if is_on_its_way(state, intent) and state.share_of(intent.machine, intent.pool) == share
    }
    return [
        machine
        for machine in state.machines.values()
        if _can_hold(machine, need)
        and machine.state != "down"
        and not is_missing(state, machine)
        and (
            machine.name in incoming
            or (
                machine.name not in state.intents
                and machine.worker_id not in known
                and state.share_of(machine.name, machine.pool) == share
            )
        )
    ]


def _can_hold(machine: Machine, need: Need) -> bool:
    """Return whether an empty machine fits a need."""
    capacity = machine.capacity
    return (
        (not need.label or need.label in machine.labels)
        and need.cpu <= capacity.cpu
        and need.memory_mb <= capacity.memory_mb
        and need.gpu <= capacity.gpu
    )


def _list_candidates(state: FleetOwnerState, supply: Supply) -> list[Machine]:
    """Return the machines that may be moved, in order of preference.

    Standby machines come first. Machines in lost zones, and those that an earlier owner has just
    ordered away and that are still blocked, come last: a share would wait for just these while
    another pool's machines are idle.
    """
    candidates = [machine for machine in list_staying(state) if state.is_standby(machine.pool)]
    for share, machines in supply.members.items():
        if share not in supply.shortfall:
            candidates += _list_surplus(state, share, machines, recent=not supply.shortfall)
    lost = find_lost_zones(state)
    candidates.sort(
        key=lambda machine: (
            machine.zone in lost,
            state.now_ms < state.blocked_until_ms.get(machine.name, 0),
            not state.is_standby(machine.pool),
            machine.name,
        )
    )
    return candidates


def _list_surplus(
    state: FleetOwnerState, share: PoolShare, machines: list[Machine], *, recent: bool
) -> list[Machine]:
    """Return the machines beyond a share's demand, those first that are empty soonest.

    `recent` keeps machines for the recent peaks of demand and for the share's minimum; it is unset
    while another share has a shortfall. Machines with long-running tasks stay, since a move would
    end the tasks, and so do those that a waiting task needs: another one would have to come.
    """
    needed = count_needed(state, share, machines, recent=recent)
    view = state.views.get(share)
    if needed is None or view is None or (recent and view.load.starved):
        return []
    free = [
        machine
        for machine in machines
        if machine.worker_id in view.load.workers
        and machine.worker_id not in view.load.lasting
        and machine.worker_id not in view.load.unheard
        and machine.worker_id not in view.load.reserved
    ]
    pinned = len(machines) - len(free)
    minimum = min_machines(state, share) if recent else MIN_MACHINES
    spare = len(machines) - max(needed, pinned, minimum)
    free.sort(key=lambda machine: order_to_empty(view.load, machine))
    return free[: max(0, spare)]
