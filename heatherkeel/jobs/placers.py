"""Which entry instance places the jobs of a pool, so that they don't all do the same work.

The choice only saves wasted records: any process may place any job at any time, and the fold
takes the first placement of each version.
"""

from __future__ import annotations

import hashlib

from heatherkeel.core.state import FleetState


def placer_of(state: FleetState, pool: str) -> str:
    """Return the entry instance that places for a pool, or an empty string if none is there.

    Rendezvous hashing: when an entry instance comes or goes, only its own pools change hands.
    """
    alive = [
        instance_id
        for instance_id, entry in state.membership.entries.items()
        if entry.lease_until_ms > state.now_ms
    ]
    return max(alive, key=lambda instance_id: _weight(instance_id, pool), default="")


def pools_of(state: FleetState, instance_id: str) -> frozenset[str]:
    """Return the pools with live jobs that an entry instance places for."""
    pools = {job.spec.pool for job in state.jobs.live.values()}
    return frozenset(pool for pool in pools if placer_of(state, pool) == instance_id)


def _weight(instance_id: str, pool: str) -> bytes:
    return hashlib.blake2b(f"{instance_id}|{pool}".encode(), digest_size=8).digest()
