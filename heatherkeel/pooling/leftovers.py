"""Gives machines that no share has a better use for to shares with tasks that would wait for long.

A share asks for machines by the sum of what its jobs in time use, and while machines are divided it
gets no more than its part. Neither shows jobs that have nothing running, so these would wait beside
idle machines.
"""

from __future__ import annotations

from collections import Counter

from heatherkeel.platform.machines import Machine

from .joining import create_move, would_join
from .models import FleetOwnerState, Intent, PoolShare
from .registration import is_missing
from .supply import Supply, count_incoming, find_fresh_view, find_lost_zones


def plan_leftovers(
    state: FleetOwnerState, supply: Supply, candidates: list[Machine], planned: list[Intent]
) -> list[Intent]:
    """Return the moves of these machines to shares that still lack some, and remove them there.

    While any share lacks machines for jobs in time, only standby machines are given away: those
    that none of these shares can use.
    """
    left = _list_usable(state, supply, candidates)
    lacking = _count_lacking(state, supply, planned)
    intents: list[Intent] = []
    while left and lacking:
        share, _ = max(lacking.items(), key=lambda item: (item[1], item[0]))
        machine = next((machine for machine in left if would_join(state, machine, share)), None)
        lacking[share] -= 1
        if machine is None or not lacking[share]:
            del lacking[share]
        if machine is not None:
            left.remove(machine)
            candidates.remove(machine)
            intents.append(create_move(state, machine, share.pool))
    return intents


def _list_usable(
    state: FleetOwnerState, supply: Supply, candidates: list[Machine]
) -> list[Machine]:
    lost = find_lost_zones(state)
    return [
        machine
        for machine in candidates
        if machine.zone not in lost
        and state.now_ms >= state.blocked_until_ms.get(machine.name, 0)
        and (state.is_standby(machine.pool) or not supply.shortfall)
    ]


def _count_lacking(
    state: FleetOwnerState, supply: Supply, planned: list[Intent]
) -> dict[PoolShare, int]:
    """Return how many machines each share still lacks, for its jobs in time or for starved ones."""
    gained = Counter(state.share_of(intent.machine, intent.pool) for intent in planned)
    incoming = count_incoming(state)
    arriving = _count_arriving(state)
    lacking = {}
    for share in supply.members:
        view = find_fresh_view(state, share)
        starved = view.load.starved if view is not None else 0
        count = max(supply.shortfall.get(share, 0), starved - incoming[share] - arriving[share])
        if count > gained[share]:
            lacking[share] = count - gained[share]
    return lacking


def _count_arriving(state: FleetOwnerState) -> Counter[PoolShare | None]:
    """Count the machines of each share whose workers its owner doesn't know yet."""
    return Counter(
        state.share_of(machine.name, machine.pool)
        for machine in state.machines.values()
        if machine.is_up()
        and machine.name not in state.intents
        and machine.worker_id in state.unregistered_since_ms
        and not is_missing(state, machine)
    )
