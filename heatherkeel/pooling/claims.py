"""Converts the claims that pools report into machines, and finds each share's part."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil

from heatherkeel.platform.machines import Machine
from heatherkeel.questions.messages import Claim

from .const import (
    DIVISION_HYSTERESIS,
    MIN_KNOWN_FRACTION,
    TARGET_UTILIZATION,
)
from .division import Claimant, Demand, divide
from .models import FleetOwnerState, PoolShare
from .supply import (
    Supply,
    arriving_demand,
    count_incoming,
    count_needed,
    find_fresh_view,
    find_lost_zones,
    list_staying,
    min_machines,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Division:
    """How machines are divided while claims exceed them; shares with unknown claims are left out.

    All numbers but `claimants` are machines.
    """

    claimants: dict[PoolShare, Claimant]
    parts: dict[PoolShare, int]
    held: dict[PoolShare, int]
    """The machines of each share, and those on their way to it."""
    usable_soon: dict[PoolShare, int]
    """The most that a share can use once machines that are moved now have come."""

    def lacking(self, share: PoolShare) -> int:
        """Return how many machines a share is below its part."""
        return max(0, self.parts[share] - self.held[share])

    def tolerance(self, share: PoolShare) -> int:
        """Return how far a share may be from its part without any of its machines moving."""
        return max(1, ceil(DIVISION_HYSTERESIS * self.parts[share]))

    def rank(self, share: PoolShare) -> int:
        """Return the rank of a share's jobs; those of rank 0 get machines first."""
        claimant = self.claimants.get(share)
        return 0 if claimant is None else claimant.first_priority()

    def lacking_soon(self, share: PoolShare) -> int:
        """Return how many of these would still come in time."""
        return max(0, min(self.parts[share], self.usable_soon[share]) - self.held[share])


def find_division(state: FleetOwnerState, supply: Supply) -> Division | None:
    """Return how machines are to be divided; None while there are enough, or claims are unknown."""
    members = {
        share: machines
        for share, machines in supply.members.items()
        if _has_known_claims(state, share)
    }
    if len(members) < max(2, MIN_KNOWN_FRACTION * len(supply.members)):
        return None
    incoming = count_incoming(state)
    held = {share: len(machines) + incoming[share] for share, machines in members.items()}
    total = sum(held.values()) + _count_usable_standby(state)
    needed = {
        share: max(
            min_machines(state, share), count_needed(state, share, machines, recent=False) or 0
        )
        for share, machines in members.items()
    }
    if sum(needed.values()) <= total:
        return None
    claimants = {
        share: _find_claimant(state, share, machines) for share, machines in members.items()
    }
    return Division(
        claimants=claimants,
        parts=divide(total, claimants),
        held=held,
        usable_soon={
            share: ceil(sum(_count_demands(state, share, machines, lambda claim: claim.soon_cpu)))
            for share, machines in members.items()
        },
    )


def _has_known_claims(state: FleetOwnerState, share: PoolShare) -> bool:
    view = find_fresh_view(state, share)
    return view is not None and view.load.claims is not None


def count_unknown(state: FleetOwnerState, supply: Supply) -> int:
    """Return how many shares' claims are missing or too old."""
    return sum(1 for share in supply.members if not _has_known_claims(state, share))


def _count_usable_standby(state: FleetOwnerState) -> int:
    """Return how many standby machines can be moved to a pool now."""
    lost = find_lost_zones(state)
    return sum(
        1
        for machine in list_staying(state)
        if state.is_standby(machine.pool)
        and machine.zone not in lost
        and state.now_ms >= state.blocked_until_ms.get(machine.name, 0)
    )


def _find_claimant(state: FleetOwnerState, share: PoolShare, machines: list[Machine]) -> Claimant:
    load = state.views[share].load
    claims = load.claims or []
    in_time = _count_demands(state, share, machines, lambda claim: claim.in_time_cpu)
    late = _count_demands(state, share, machines, lambda claim: claim.late_cpu, with_rate=False)
    demands = tuple(
        Demand(priority=claim.priority, in_time=first, late=second)
        for claim, first, second in zip(claims, in_time, late, strict=True)
    )
    pinned = sum(1 for machine in machines if machine.worker_id in load.lasting)
    return Claimant(
        weight=max(1.0, state.initial_size(share)),
        least=min_machines(state, share),
        pinned=pinned + load.lacking,
        demands=demands,
    )


def _count_demands(
    state: FleetOwnerState,
    share: PoolShare,
    machines: list[Machine],
    of_claim: Callable[[Claim], int],
    *,
    with_rate: bool = True,
) -> list[float]:
    """Return the machines that each claim needs at the target utilization.

    With `with_rate`, long-running tasks and jobs that will soon arrive count too. They count as the
    least important: the machines of the former can't be taken, and the priority of the latter isn't
    known. Claims are scaled up where tasks need more machines for memory than for processor.
    """
    load = state.views[share].load
    claims = load.claims or []
    cpu = [float(of_claim(claim)) for claim in claims]
    if with_rate and cpu:
        cpu[-1] += sum(claim.lasting_cpu for claim in claims)
        cpu[-1] += max(0.0, arriving_demand(state, share) - sum(cpu))
    sizes = [machine.capacity for machine in machines or state.machines.values()]
    size_cpu = sum(size.cpu for size in sizes) / len(sizes) if sizes else 0.0
    size_memory_mb = sum(size.memory_mb for size in sizes) / len(sizes) if sizes else 0.0
    if not size_cpu or not size_memory_mb:
        return [0.0 for _ in cpu]
    for_cpu = load.wanted_cpu / size_cpu
    for_memory = load.wanted_memory_mb / size_memory_mb
    scale = max(1.0, for_memory / for_cpu) if for_cpu else 1.0
    return [scale * value / (TARGET_UTILIZATION * size_cpu) for value in cpu]
