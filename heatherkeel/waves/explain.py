"""Explains to operators why no further instance of a pool is drained."""

from __future__ import annotations

from heatherkeel.core.state import FleetState

from .budget import check_budgets
from .coordinator import explain_wait
from .policy import closes_soon, unresponsive_zones, view_pool
from .wave import find_maintenance, is_closed, is_halted


def explain_pool(fleet: FleetState, pool: str, now_ms: int) -> list[str]:
    """Return the reasons, the longest-lasting first; empty if a drain can start now.

    `now_ms` is the reader's estimate of log time.
    """
    maintenance = find_maintenance(fleet, pool)
    if maintenance is None:
        return ["the pool has no maintenance entry"]
    wave = fleet.waves.waves.get(pool)
    if wave is not None and is_halted(wave, maintenance):
        return [f"the wave is halted: {wave.halted_reason}; it goes on after an edit of the entry"]
    if is_closed(maintenance.entry, now_ms):
        return ["counter hours"]
    if closes_soon(maintenance.entry, now_ms):
        return ["a stop that starts now could reach into counter hours"]
    members = {key: value for key, value in fleet.pools.instances.items() if value.pool == pool}
    view = view_pool(fleet, maintenance.entry, members, now_ms)
    reasons = _explain_waits(fleet, pool)
    if view.free_slots() <= 0:
        return [*reasons, f"max_concurrent: {view.active_drains()} drains are under way"]
    reasons += [
        f"availability zone {zone} has an entry instance that is silent, or was replaced and is "
        "not known to be terminated"
        for zone in sorted(
            unresponsive_zones(fleet, now_ms) & {item.zone for item in members.values()}
        )
    ]
    if not view.candidates:
        return reasons or ["nothing is due"]
    refusals = [check_budgets(fleet, pool, without=key) for key in sorted(view.candidates)]
    if all(refusals):
        reasons += sorted({f"budget of {refusal.detail}" for refusal in refusals if refusal})
    return reasons


def _explain_waits(fleet: FleetState, pool: str) -> list[str]:
    return [
        f"{instance_id}: {explain_wait(drain)}"
        for instance_id, drain in sorted(fleet.waves.drains.items())
        if fleet.pools.instances[instance_id].pool == pool and drain.waiting
    ]
