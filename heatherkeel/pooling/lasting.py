"""Takes machines for long-running tasks from shares that are short themselves."""

from __future__ import annotations

from collections import Counter

from heatherkeel.platform.machines import Machine

from .const import MIN_MACHINES
from .handover import has_stayed, order_to_empty, take_budget
from .joining import create_move, would_join
from .models import FleetOwnerState, Intent, PoolShare
from .supply import Supply, find_fresh_view


def plan_for_long_running(
    state: FleetOwnerState, supply: Supply, planned: list[Intent]
) -> list[Intent]:
    """Return the moves to shares that lack machines for long-running tasks after all other plans.

    While every large share is short, none has a surplus, and such a task would stay away until the
    overload elsewhere is over.
    """
    gained = Counter(state.share_of(intent.machine, intent.pool) for intent in planned)
    leaving = {intent.machine for intent in planned}
    budget = take_budget(state)
    intents: list[Intent] = []
    for share, shortfall in supply.shortfall.items():
        lacking = min(shortfall, state.views[share].load.lacking) - gained[share]
        for _ in range(max(0, min(lacking, budget - len(intents)))):
            machine = _find_machine(state, supply, share, leaving)
            if machine is None:
                break
            leaving.add(machine.name)
            intents.append(create_move(state, machine, share.pool))
    return intents


def _find_machine(
    state: FleetOwnerState, supply: Supply, share: PoolShare, leaving: set[str]
) -> Machine | None:
    """Return the machine that can join a share and is empty soonest, of the largest other share."""
    others = sorted(supply.members.items(), key=lambda item: (-len(item[1]), item[0]))
    for other, machines in others:
        view = find_fresh_view(state, other)
        staying = [machine for machine in machines if machine.name not in leaving]
        if view is None or view.load.lacking or len(staying) <= 2 * MIN_MACHINES:
            continue
        load = view.load
        bound = {*load.lasting, *load.unheard, *load.reserved}
        free = [
            machine
            for machine in staying
            if machine.worker_id in load.workers
            and machine.worker_id not in bound
            and would_join(state, machine, share)
            and has_stayed(state, machine)
        ]
        if free:
            return min(free, key=lambda machine: order_to_empty(load, machine))
    return None
