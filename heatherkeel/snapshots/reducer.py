"""Record handlers that select the author of a snapshot and verify its claim."""

from __future__ import annotations

import dataclasses
import hashlib

from result import Err, Ok, Result

from heatherkeel.core.models import Accepted, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState, canonical_bytes

from .const import MIN_MARK_INTERVAL_MS
from .models import (
    MarkedSnapshot,
    SnapshotComplete,
    SnapshotMark,
    SnapshotMarked,
    SnapshotVerified,
)


@handles("snapshots.mark", SnapshotMark)
def mark(state: FleetState, meta: RecordMeta, body: SnapshotMark) -> Result[Accepted, Rejected]:
    """Compute the digest of the current state; the first of several concurrent marks wins."""
    newest = state.snapshots.newest
    newest_offset = -1 if newest is None else newest.offset
    if body.previous_offset != newest_offset:
        return Err(Rejected(reason=RejectReason.STALE_VERSION, detail=f"mark {newest_offset}"))
    # Every reader encodes its whole state at a mark. The minimum interval in log time keeps a
    # faulty author from overloading them.
    if newest is not None and meta.now_ms - newest.at_ms < MIN_MARK_INTERVAL_MS:
        return Err(Rejected(reason=RejectReason.CONFLICT, detail="marked a moment ago"))
    data = canonical_bytes(state)
    marked = MarkedSnapshot(
        offset=meta.offset,
        digest=hashlib.sha256(data).hexdigest(),
        instance=body.instance,
        incarnation=body.incarnation,
        at_ms=meta.now_ms,
    )
    state.snapshots.newest = marked
    effect = SnapshotMarked(mark=dataclasses.replace(marked), state=data)
    return Ok(Accepted(effects=(effect,)))


@handles("snapshots.complete", SnapshotComplete)
def complete(
    state: FleetState, meta: RecordMeta, body: SnapshotComplete
) -> Result[Accepted, Rejected]:
    """Compare a claimed digest with the one that the fold computed at the same offset."""
    newest = state.snapshots.newest
    if newest is None or newest.offset != body.offset or newest.incarnation != body.incarnation:
        return Err(Rejected(reason=RejectReason.STALE_VERSION, detail=f"offset {body.offset}"))
    if newest.digest != body.digest:
        return Err(Rejected(reason=RejectReason.CONFLICT, detail="the digest is another one"))
    newest.whole = True
    state.snapshots.newest_whole = dataclasses.replace(newest)
    effect = SnapshotVerified(mark=dataclasses.replace(newest), claim=body)
    return Ok(Accepted(effects=(effect,)))
