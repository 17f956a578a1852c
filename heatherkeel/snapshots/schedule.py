"""Says when a snapshot is due, and in which order entry instances act."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from heatherkeel.core.state import FleetState

from .const import JITTER_MS, MAX_ENDORSERS
from .models import MarkedSnapshot


@dataclass(frozen=True, kw_only=True, slots=True)
class SnapshotPolicy:
    """A snapshot is due after so many records or so much log time, whichever is first.

    An author that has not finished within `overtake_ms`, or whose lease has lapsed, is taken for
    dead.
    """

    interval_records: int
    interval_ms: int
    overtake_ms: int


def is_due(state: FleetState, *, policy: SnapshotPolicy, oldest: int, now_ms: int) -> bool:
    """Say whether the next snapshot should be begun; `oldest` is the first retained offset."""
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
    return _runs_out(state, whole_offset=whole.offset, oldest=oldest)


def _is_overdue(
    state: FleetState, policy: SnapshotPolicy, begun: MarkedSnapshot, now_ms: int
) -> bool:
    """Say whether the author of a snapshot that isn't whole may be taken for dead.

    An author that was killed after its mark held everybody else back for all of `overtake_ms`.
    Meanwhile the log drops the records after the newest whole snapshot, and a replaced process
    can't start: `out_of_retention` again and again. An author that can append chunks can renew
    its lease as well, so a lapsed one is enough to go by; if it lives after all, the fold
    refuses its claim.
    """
    if now_ms - begun.at_ms >= policy.overtake_ms:
        return True
    author = state.membership.entries.get(begun.instance)
    if author is None:
        return False
    return author.incarnation != begun.incarnation or author.lease_until_ms <= now_ms


def _runs_out(state: FleetState, *, whole_offset: int, oldest: int) -> bool:
    """Say whether half of the retained records came before the newest snapshot.

    A shorter retention than the settings expect would drop the records after the snapshot, and
    no newcomer could start; what the log itself says of its oldest record shows it in time.
    """
    return oldest > 0 and whole_offset < (oldest + state.next_offset) // 2


def jitter_ms(instance: str, offset: int) -> int:
    """Return how long an entry instance waits before it acts about an offset."""
    return _rank(instance, offset) % JITTER_MS


def endorsers(state: FleetState, *, author: str, offset: int) -> list[str]:
    """Return who endorses a snapshot, one after the other; the author itself is the last."""
    others = [name for name in state.membership.entries if name != author]
    others.sort(key=lambda name: _rank(name, offset))
    return [*others[:MAX_ENDORSERS], author]


def _rank(instance: str, offset: int) -> int:
    digest = hashlib.sha256(f"{instance}/{offset}".encode()).digest()
    return int.from_bytes(digest[:8], "big")
