"""Folds joins, renewals and departures of entry instances into their routing leases."""

from __future__ import annotations

from collections.abc import Iterator

from result import Err, Ok, Result

from heatherkeel.core.models import Accepted, RecordMeta, Rejected, RejectReason
from heatherkeel.core.registry import handles
from heatherkeel.core.state import FleetState

from .models import EntryGone, EntryInstance, EntryJoin, EntryLeave, EntryRenew, MembershipState


@handles("membership.join", EntryJoin)
def join(state: FleetState, meta: RecordMeta, body: EntryJoin) -> Result[Accepted, Rejected]:
    """Grant a routing lease to an incarnation, which replaces an earlier one of the same id."""
    known = find_incarnation(state.membership, body.incarnation)
    if known is not None and (known.instance, known.zone) != (body.instance, body.zone):
        return Err(Rejected(reason=RejectReason.CONFLICT, detail=known.instance))
    _supersede(state.membership, body)
    lease_until_ms = meta.now_ms + body.lease_ms
    if known is not None:
        lease_until_ms = max(lease_until_ms, known.lease_until_ms)
    state.membership.entries[body.instance] = EntryInstance(
        instance=body.instance,
        incarnation=body.incarnation,
        zone=body.zone,
        peer_address=body.peer_address,
        lease_ms=body.lease_ms,
        lease_until_ms=lease_until_ms,
        offset_in_force=meta.offset,
        shares_offset=meta.offset,
    )
    return Ok(Accepted())


def _supersede(membership: MembershipState, body: EntryJoin) -> None:
    """Keep the earlier incarnation when a new one takes over its id.

    The earlier one may be cut off and still send to targets of its own availability zone. If it
    were removed, such a target could be stopped with requests in progress.
    """
    current = membership.entries.get(body.instance)
    if current is not None and current.incarnation != body.incarnation:
        membership.superseded[current.incarnation] = current
    membership.superseded.pop(body.incarnation, None)


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
    """Remove an incarnation that reports that it has no request in progress."""
    return _remove(state, meta, instance=body.instance, incarnation=body.incarnation)


@handles("membership.gone", EntryGone)
def gone(state: FleetState, meta: RecordMeta, body: EntryGone) -> Result[Accepted, Rejected]:
    """Remove an incarnation that the platform reports as terminated."""
    return _remove(state, meta, instance=body.instance, incarnation=body.incarnation)


def _remove(
    state: FleetState, meta: RecordMeta, *, instance: str, incarnation: str
) -> Result[Accepted, Rejected]:
    membership = state.membership
    known = find_incarnation(membership, incarnation)
    if known is None or known.instance != instance:
        return Err(Rejected(reason=RejectReason.NOT_FOUND, detail=instance))
    if membership.superseded.pop(incarnation, None) is None:
        del membership.entries[instance]
    membership.departed_offset = meta.offset
    return Ok(Accepted())


def all_incarnations(membership: MembershipState) -> Iterator[EntryInstance]:
    """Yield every incarnation that may still run."""
    yield from membership.entries.values()
    yield from membership.superseded.values()


def find_incarnation(membership: MembershipState, incarnation: str) -> EntryInstance | None:
    """Return the incarnation if it may still run."""
    for entry in all_incarnations(membership):
        if entry.incarnation == incarnation:
            return entry
    return None
