"""Computes the supply and demand of pool shares, and their shortfall of machines."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from math import ceil

from heatherkeel.platform.machines import Machine

from .const import (
    ARRIVAL_TARGET_UTILIZATION,
    LEAD_TIME_MS,
    LOAD_MAX_AGE_MS,
    LOST_ZONE_FRACTION,
    MAX_GROWTH_FACTOR,
    MIN_ARRIVALS,
    MIN_LOST_WORKERS,
    MIN_MACHINES,
    MIN_RESPONSIVE_FRACTION,
    MIN_SIZE_FRACTION,
    PEAK_RETENTION_MS,
    TARGET_UTILIZATION,
    TREND_WINDOW_MS,
)
from .joining import is_on_its_way
from .models import FleetOwnerState, PoolShare, PoolShareView
from .registration import is_missing, track_registrations


@dataclass(frozen=True, kw_only=True, slots=True)
class Supply:
    """The machines of each share, and how many more the shares with a shortfall need."""

    members: dict[PoolShare, list[Machine]]
    shortfall: dict[PoolShare, int]


def measure_supply(state: FleetOwnerState) -> Supply:
    """Compute the machines and the shortfall of each share."""
    _record_arrival_rates(state)
    track_registrations(state)
    members = _list_members(state)
    return Supply(members=members, shortfall=_find_shortfall(state, members))


def demanded_cpu(state: FleetOwnerState, share: PoolShare) -> float:
    """Return the processor that a share's jobs need, or soon will at their arrival rate."""
    return max(state.views[share].load.wanted_cpu, arriving_demand(state, share))


def arriving_demand(state: FleetOwnerState, share: PoolShare) -> float:
    """Return the processor that a share's jobs will soon need at their arrival rate."""
    projected = _projected_arriving_cpu(state, share)
    return projected * TARGET_UTILIZATION / ARRIVAL_TARGET_UTILIZATION


def _projected_arriving_cpu(state: FleetOwnerState, share: PoolShare) -> float:
    """Return a share's arrival rate projected to the time when machines ordered now take tasks.

    Machines ordered for the current rate would be late throughout a rise.
    """
    rate = _arrival_rate_per_share(state, share.pool)
    earlier = next(
        (
            known
            for at_ms, known in reversed(state.arrival_rates.get(share.pool, []))
            if state.now_ms - at_ms >= TREND_WINDOW_MS
        ),
        rate,
    )
    rise = max(0.0, rate - earlier) * LEAD_TIME_MS / TREND_WINDOW_MS
    return min(rate + rise, MAX_GROWTH_FACTOR * rate)


def _arrival_rate_per_share(state: FleetOwnerState, pool: str) -> float:
    """Return a pool's arrival rate per share; 0 if too few jobs arrived to measure it.

    Jobs are spread evenly over the shares, and a single share gets too few to measure its own rate.
    """
    loads = [
        view.load
        for other, view in state.views.items()
        if other.pool == pool and state.now_ms - view.received_ms <= LOAD_MAX_AGE_MS
    ]
    if sum(load.arrivals for load in loads) < MIN_ARRIVALS:
        return 0.0
    return sum(load.arriving_cpu for load in loads) / len(loads)


def _record_arrival_rates(state: FleetOwnerState) -> None:
    """Record the arrival rate of each pool and drop samples older than the trend needs."""
    for pool in {share.pool for share in state.views}:
        recent = [
            (at_ms, rate)
            for at_ms, rate in state.arrival_rates.get(pool, [])
            if state.now_ms - at_ms <= 2 * TREND_WINDOW_MS
        ]
        state.arrival_rates[pool] = [*recent, (state.now_ms, _arrival_rate_per_share(state, pool))]


def record_peak(state: FleetOwnerState, share: PoolShare) -> None:
    """Record the recent peaks of a share's demand."""
    view = state.views[share]
    wanted = demanded_cpu(state, share)
    view.peaks = [
        (at_ms, cpu)
        for at_ms, cpu in view.peaks
        if cpu > wanted and state.now_ms - at_ms < PEAK_RETENTION_MS
    ]
    view.peaks.append((state.now_ms, wanted))


def _list_members(state: FleetOwnerState) -> dict[PoolShare, list[Machine]]:
    """Return the responsive machines of each share that are up and aren't to leave."""
    members: dict[PoolShare, list[Machine]] = {share: [] for share in state.shares()}
    for machine in list_staying(state):
        share = state.share_of(machine.name, machine.pool)
        if share in members and not is_missing(state, machine):
            members[share].append(machine)
    return {share: _list_responsive(state, share, machines) for share, machines in members.items()}


def _list_responsive(
    state: FleetOwnerState, share: PoolShare, machines: list[Machine]
) -> list[Machine]:
    """Return the machines whose workers are responsive.

    Machines in a zone that is cut off are still listed as up; counted as capacity, they would keep
    the share from getting others. If most are unresponsive, the share's owner is cut off itself.
    """
    view = find_fresh_view(state, share)
    unresponsive = set(view.load.unheard) if view is not None else set()
    responsive = [machine for machine in machines if machine.worker_id not in unresponsive]
    return responsive if len(responsive) >= MIN_RESPONSIVE_FRACTION * len(machines) else machines


def list_staying(state: FleetOwnerState) -> list[Machine]:
    """Return the machines that are up and have no intent."""
    return [
        machine
        for machine in state.machines.values()
        if machine.is_up() and machine.name not in state.intents
    ]


def find_fresh_view(state: FleetOwnerState, share: PoolShare) -> PoolShareView | None:
    """Return the view of a share; None if it is too old for planning."""
    view = state.views.get(share)
    if view is None or state.now_ms - view.received_ms > LOAD_MAX_AGE_MS:
        return None
    return view


def count_needed(
    state: FleetOwnerState, share: PoolShare, machines: list[Machine], *, recent: bool
) -> int | None:
    """Return how many machines a share's demand needs; None if its load is unknown.

    `recent` includes the recent peaks of demand.
    """
    view = find_fresh_view(state, share)
    if view is None:
        return None
    wanted = demanded_cpu(state, share)
    if recent:
        wanted = max([wanted, *(cpu for _, cpu in view.peaks)])
    sizes = [machine.capacity for machine in machines or state.machines.values()]
    # Even with enough capacity in total, no single machine may fit a long-running task, which
    # would wait until the tasks there end.
    lacking = len(machines) + view.load.lacking if view.load.lacking else 0
    return max(
        lacking,
        _machines_for(wanted, [size.cpu for size in sizes]),
        _machines_for(view.load.wanted_memory_mb, [size.memory_mb for size in sizes]),
    )


def _machines_for(wanted: float, sizes: list[int]) -> int:
    """Return how many machines of the mean size are needed at the target utilization."""
    size = sum(sizes) / len(sizes) if sizes else 0
    return ceil(wanted / (TARGET_UTILIZATION * size)) if size else 0


def _find_shortfall(
    state: FleetOwnerState, members: dict[PoolShare, list[Machine]]
) -> dict[PoolShare, int]:
    """Return how many more machines each share needs, besides those on their way to it."""
    incoming = count_incoming(state)
    shortfall = {}
    for share, machines in members.items():
        needed = count_needed(state, share, machines, recent=False)
        if needed is None:
            continue
        lacking = needed - len(machines) - incoming[share]
        if lacking > 0:
            shortfall[share] = lacking
    return shortfall


def count_incoming(state: FleetOwnerState) -> Counter[PoolShare | None]:
    """Count the machines on their way to each share, as intended or as listed."""
    incoming = Counter(
        state.share_of(intent.machine, intent.pool)
        for intent in state.intents.values()
        if is_on_its_way(state, intent)
    )
    incoming.update(
        state.share_of(machine.name, machine.pool)
        for machine in state.machines.values()
        if not machine.is_up() and machine.state != "down" and machine.name not in state.intents
    )
    return incoming


def find_lost_zones(state: FleetOwnerState) -> set[str]:
    """Return the zones with mostly unresponsive workers, whose machines add no capacity."""
    views = [
        view for share in state.shares() if (view := find_fresh_view(state, share)) is not None
    ]
    workers = {worker_id for view in views for worker_id in view.load.workers}
    unresponsive = {worker_id for view in views for worker_id in view.load.unheard}
    known: Counter[str] = Counter()
    lost: Counter[str] = Counter()
    for machine in state.machines.values():
        is_lost = machine.worker_id in unresponsive or is_missing(state, machine)
        if machine.worker_id in workers or is_lost:
            known[machine.zone] += 1
            lost[machine.zone] += is_lost
    return {
        zone
        for zone, count in lost.items()
        if count >= MIN_LOST_WORKERS and count > LOST_ZONE_FRACTION * known[zone]
    }


def min_machines(state: FleetOwnerState, share: PoolShare) -> int:
    """Return how many machines a share keeps between demand peaks.

    They serve jobs until further machines arrive, and cover failures, maintenance and times
    without a fleet owner.
    """
    return max(MIN_MACHINES, ceil(MIN_SIZE_FRACTION * state.initial_size(share)))
