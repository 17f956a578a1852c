"""Ranks entry instances for shared work, so that another one takes over if the first fails."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from heatherkeel.core.state import FleetState


def rank_of(fleet: FleetState, instance: str, *, now_ms: int) -> int:
    """Return this entry instance's rank among those with a lease, starting at 0.

    `now_ms` is in log time. Instances are ordered by a hash of their ids, so every process gets
    the same order from the same state.
    """
    live = {
        name
        for name, entry in fleet.membership.entries.items()
        if entry.lease_until_ms > now_ms and name != instance
    }
    return sum(_hash_of(name) < _hash_of(instance) for name in live)


def _hash_of(instance: str) -> bytes:
    return hashlib.sha256(instance.encode()).digest()


class TakeoverSchedule:
    """Schedules work by rank: each next rank takes over after another `takeover_ms`.

    This only avoids duplicate work. Two processes may still do the same work; the fold accepts
    one record per version, and the platform one operation per id.
    """

    def __init__(self, *, takeover_ms: int, retry_ms: int) -> None:
        self.takeover_ms = takeover_ms
        self.retry_ms = retry_ms
        self.first_seen_ms: dict[str, int] = {}
        self.tried_ms: dict[str, int] = {}

    def choose(self, keys: Iterable[str], *, rank: int, now_ms: int) -> list[str]:
        """Return the keys that are due for this process; `now_ms` is monotonic.

        `keys` names all pending work; keys that are no longer passed are forgotten.
        """
        self.first_seen_ms = {key: self.first_seen_ms.get(key, now_ms) for key in keys}
        self.tried_ms = {
            key: tried_ms
            for key, tried_ms in self.tried_ms.items()
            if key in self.first_seen_ms and now_ms - tried_ms < self.retry_ms
        }
        due = [
            key
            for key, seen_ms in self.first_seen_ms.items()
            if now_ms - seen_ms >= rank * self.takeover_ms and key not in self.tried_ms
        ]
        self.tried_ms.update(dict.fromkeys(due, now_ms))
        return due
