"""Who does shared work first: every entry instance may do it, so that one of them always does."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from heatherkeel.core.state import FleetState


def rank_of(fleet: FleetState, instance: str, *, now_ms: int) -> int:
    """Return this entry instance's place among those with a lease, 0 for the first in line.

    `now_ms` is in log time. The order is that of a hash of the ids, alike at every reader of the
    same state.
    """
    live = {
        name
        for name, entry in fleet.membership.entries.items()
        if entry.lease_until_ms > now_ms and name != instance
    }
    return sum(_place(name) < _place(instance) for name in live)


def _place(instance: str) -> bytes:
    return hashlib.sha256(instance.encode()).digest()


class Turns:
    """Hands out work by rank: the next in line takes over what lies undone for `takeover_ms`.

    This only saves wasted work. Two processes may still take the same turn, one of them after a
    pause; the fold lets in one record for a version, and the platform one operation for an id.
    """

    def __init__(self, *, takeover_ms: int, retry_ms: int) -> None:
        self.takeover_ms = takeover_ms
        self.retry_ms = retry_ms
        self.first_seen_ms: dict[str, int] = {}
        self.tried_ms: dict[str, int] = {}

    def choose(self, keys: Iterable[str], *, rank: int, now_ms: int) -> list[str]:
        """Return the keys that are this process's turn now; `now_ms` is monotonic.

        `keys` names all work that is open now; what is no longer named is forgotten.
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
