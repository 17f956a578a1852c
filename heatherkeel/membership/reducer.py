"""Decides which entry instances may route, and until when."""

from __future__ import annotations

from result import Err, Ok, Result

from heatherkeel.core.models import Accepted, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState

from .models import EntryInstance, EntryJoin, EntryLeave, EntryRenew


@handles("membership.join", EntryJoin)
def join(state: FleetState, meta: RecordMeta, body: EntryJoin) -> Result[Accepted, Rejected]:
    """Grant a routing lease to a new incarnation; it replaces an older one of the same id."""
    replaced = state.membership.entries.get(body.instance)
    state.membership.entries[body.instance] = EntryInstance(
        incarnation=body.incarnation,
        zone=body.zone,
        peer_address=body.peer_address,
        lease_ms=body.lease_ms,
        lease_until_ms=meta.now_ms + body.lease_ms,
        offset_in_force=meta.offset,
        joined_offset=meta.offset,
        shares_offset=meta.offset,
        predecessor_until_ms=_routing_until(replaced),
    )
    return Ok(Accepted())


@handles("membership.renew", EntryRenew)
def renew(state: FleetState, meta: RecordMeta, body: EntryRenew) -> Result[Accepted, Rejected]:
    """Extend a lease; an incarnation that was replaced or removed has to join again."""
    entry = state.membership.entries.get(body.instance)
    if entry is None or entry.incarnation != body.incarnation:
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail=body.instance))
    entry.lease_until_ms = meta.now_ms + entry.lease_ms
    entry.offset_in_force = max(entry.offset_in_force, body.offset_in_force)
    entry.shares_offset = max(entry.shares_offset, body.shares_offset)
    return Ok(Accepted())


@handles("membership.leave", EntryLeave)
def leave(state: FleetState, meta: RecordMeta, body: EntryLeave) -> Result[Accepted, Rejected]:
    """Remove an entry instance that says it has nothing in progress any more."""
    entry = state.membership.entries.get(body.instance)
    if entry is None or entry.incarnation != body.incarnation:
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail=body.instance))
    del state.membership.entries[body.instance]
    return Ok(Accepted())


def _routing_until(replaced: EntryInstance | None) -> int:
    """Return until when a replaced incarnation may route: it may not know that it is replaced."""
    if replaced is None:
        return 0
    return max(replaced.lease_until_ms, replaced.predecessor_until_ms)
