"""Determines when a snapshot is due, and in which order entry instances act."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from heatherkeel.core.state import FleetState

from .const import JITTER_MS, MAX_ENDORSERS
from .models import MarkedSnapshot


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotPolicy:
    """A snapshot is due after a number of records or a log time, whichever is first.

    Another instance may replace an author that has not finished within `overtake_ms`, or whose
    lease has expired.
    """

    interval_records: int
    interval_ms: int
    overtake_ms: int


def is_due(state: FleetState, *, policy: SnapshotPolicy, oldest: int, now_ms: int) -> bool:
    """Return whether a new snapshot should be started; `oldest` is the first retained offset."""
    newest = state.snapshots.newest
    if newest is not None and not newest.whole and not _is_overdue(state, policy, newest, now_ms):
        return False
    whole = state.snapshots.newest_whole
    if whole is None:
        return state.next_offset >= policy.interval_records or oldest > 0
    if state.next_offset - whole.offset >= policy.interval_records:
        return True
    if now_ms - whole.at_ms >= policy.interval_ms and state.next_offset > whole.offset + 2:
        return True
    return _is_retention_running_out(state, whole_offset=whole.offset, oldest=oldest)


def _is_overdue(
    state: FleetState, policy: SnapshotPolicy, begun: MarkedSnapshot, now_ms: int
) -> bool:
    """Return whether the author of an incomplete snapshot is considered failed.

    Waiting for all of `overtake_ms` can be too long: the log may meanwhile drop the records after
    the newest complete snapshot, and no process could start (`out_of_retention`). An expired
    lease is therefore sufficient. If the author is still alive, the fold rejects its claim.
    """
    if now_ms - begun.at_ms >= policy.overtake_ms:
        return True
    author = state.membership.entries.get(begun.instance)
    if author is None:
        return False
    return author.incarnation != begun.incarnation or author.lease_until_ms <= now_ms


def _is_retention_running_out(state: FleetState, *, whole_offset: int, oldest: int) -> bool:
    """Return whether half of the retained records came before the newest snapshot.

    Guards against a retention that is shorter than the settings expect: once the log drops
    records after the snapshot, no joining instance can start.
    """
    return oldest > 0 and whole_offset < (oldest + state.next_offset) // 2


def jitter_ms(instance: str, offset: int) -> int:
    """Return the delay before an entry instance marks a snapshot."""
    return _rank(instance, offset) % JITTER_MS


def endorsers(state: FleetState, *, author: str, offset: int) -> list[str]:
    """Return the endorsers of a snapshot in order; the author itself is the last."""
    others = [name for name in state.membership.entries if name != author]
    others.sort(key=lambda name: _rank(name, offset))
    return [*others[:MAX_ENDORSERS], author]


def _rank(instance: str, offset: int) -> int:
    digest = hashlib.sha256(f"{instance}/{offset}".encode()).digest()
    return int.from_bytes(digest[:8], "big")
