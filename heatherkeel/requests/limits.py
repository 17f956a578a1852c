"""Shares of a target's slots, which enforce its limit across all entry instances.

A share shrinks at once, and grows only after all others have acknowledged the newer view.
`docs/design/requests.md` proves that the shares in use never exceed the slots.
"""

from __future__ import annotations

import zlib
from bisect import bisect_right
from collections.abc import Sequence
from typing import Final

from heatherkeel.catalogue.models import CatalogueChanged, ServiceEntry
from heatherkeel.core.models import Duplicate, Effect, Settled, Skipped
from heatherkeel.core.node import NodeState, listens
from heatherkeel.core.state import FleetState
from heatherkeel.membership.models import EntryInstance
from heatherkeel.membership.reducer import all_incarnations

from .const import SHARE_GRACE_MS, SPILL_PERCENT, SPONSORED_SLOTS
from .events import FleetRestored
from .local import ShareMember, ShareView, TargetView

MEMBERSHIP_CHANGES: Final = frozenset({"membership.join", "membership.leave", "membership.gone"})
"""Record kinds that may change which entry instances share a target."""


def assigned_slots(
    view: ShareView, incarnation: str, zone: str, name: str, target: TargetView
) -> int:
    """Return the number of slots of target `name` that a view assigns to an incarnation in `zone`.

    Most slots go to entry instances in the target's own availability zone, the rest to those in
    other zones. An entry instance with an expired lease keeps its share in its own zone, since
    it may still serve there while it can't reach the platform.
    """
    slots = view.slots.get(target.pool, 0)
    near = [member for member in view.members if member.zone == target.zone]
    far = [m for m in view.members if m.zone != target.zone and not m.expired]
    far_slots = slots * SPILL_PERCENT // 100 if near else slots
    if not far:
        far_slots = 0
    members, available_slots = (
        (near, slots - far_slots) if zone == target.zone else (far, far_slots)
    )
    return _divide_slots(members, available_slots, incarnation, name)


def _divide_slots(members: Sequence[ShareMember], slots: int, incarnation: str, name: str) -> int:
    """Divide slots evenly; which members get the remainder depends on the target's name."""
    for rank, member in enumerate(members):
        if member.incarnation == incarnation:
            position = (rank + zlib.crc32(name.encode())) % len(members)
            return slots // len(members) + (position < slots % len(members))
    return 0


def share(node: NodeState, name: str, target: TargetView) -> int:
    """Return how many requests this entry instance may have in progress on a target.

    Prevents more requests than slots on a target when two entry instances are at different
    offsets after a membership change. Each uses its smallest share over all views that may still
    be in use; within one view the shares never exceed the slots.
    """
    shares = node.local.routing.shares
    if target.cap_generation != shares.generation:
        target.cap_generation = shares.generation
        target.cap = _smallest_share(node, _views_in_use(node, target.zone), name, target)
    return _apply_sponsorship(node, name, target)


def _smallest_share(node: NodeState, views: list[ShareView], name: str, target: TargetView) -> int:
    local = node.local
    shares = (assigned_slots(view, local.incarnation, local.zone, name, target) for view in views)
    return min(shares, default=0)


def _apply_sponsorship(node: NodeState, name: str, target: TargetView) -> int:
    """Divide a share in the local availability zone between a sponsor and its joining instances.

    An instance that started while the platform is down is in no view. Without a slot from its
    sponsor it could not serve requests until the platform is available again.
    """
    local = node.local
    sponsorship = local.peers.sponsorship
    if local.zone != target.zone or not local.routing.shares.views:
        return target.cap
    if sponsorship is None:
        left = target.cap - SPONSORED_SLOTS * len(local.peers.sponsored)
        return max(left, min(target.cap, 1))
    newest = local.routing.shares.views[-1]
    sponsor_slots = assigned_slots(newest, sponsorship.sponsor, local.zone, name, target)
    return min(sponsor_slots - 1, SPONSORED_SLOTS) if sponsor_slots else 0


def acknowledged_offset(node: NodeState) -> int:
    """Return the newest offset up to which this entry instance complies with all its shares.

    It is sent with the lease renewal. A reduced share is acknowledged only after the excess
    requests have ended.
    """
    views = node.local.routing.shares.views
    for view in views:
        if _exceeds(node, view):
            return view.offset - 1
    return node.fleet.next_offset - 1


def is_acknowledgement_due(node: NodeState) -> bool:
    """Return whether this entry instance can acknowledge the newest view and hasn't done so."""
    views = node.local.routing.shares.views
    entry = node.fleet.membership.entries.get(node.local.instance)
    if entry is None or entry.incarnation != node.local.incarnation or not views:
        return False
    newest = views[-1].offset
    return entry.shares_offset < newest <= acknowledged_offset(node)


def _exceeds(node: NodeState, view: ShareView) -> bool:
    return any(
        target.in_progress
        > assigned_slots(view, node.local.incarnation, node.local.zone, name, target)
        for name, target in node.local.routing.targets.items()
        if target.in_progress
    )


def _views_in_use(node: NodeState, zone: str) -> list[ShareView]:
    """Return the views of a zone's targets that some entry instance may still use.

    Empty if an entry instance may use a view older than those that this process knows.
    """
    views = node.local.routing.shares.views
    acknowledged = _count_up_to(views, _acknowledged_by(node.fleet, waiting_for=zone))
    return views[acknowledged - 1 :] if acknowledged else []


def _count_up_to(views: list[ShareView], offset: int) -> int:
    return bisect_right(views, offset, key=lambda view: view.offset)


def _acknowledged_by(fleet: FleetState, *, waiting_for: str | None) -> int:
    """Return the newest offset up to which all entry instances comply with their shares.

    An entry instance with an expired lease sends nothing to other zones but may still serve its
    own. `waiting_for` is the zone in which such instances must acknowledge until they are gone;
    `None` includes all of them. A replaced incarnation may not know that it was replaced, and is
    included until its lease expires.
    """
    membership = fleet.membership
    live = [entry for entry in all_incarnations(membership) if not _is_expired(fleet, entry)]
    expired = [entry for entry in membership.entries.values() if _is_expired(fleet, entry)]
    near = [entry for entry in expired if waiting_for is None or entry.zone == waiting_for]
    return min((entry.shares_offset for entry in live + near), default=fleet.next_offset - 1)


def _is_expired(fleet: FleetState, entry: EntryInstance) -> bool:
    return entry.lease_until_ms + SHARE_GRACE_MS < fleet.now_ms


def record_view(node: NodeState) -> None:
    """Store a view of the folded state if it differs from the last one."""
    shares = node.local.routing.shares
    view = ShareView(
        offset=node.fleet.next_offset - 1,
        members=_members(node.fleet),
        slots=_slots_by_pool(node.fleet),
    )
    last = shares.views[-1] if shares.views else None
    if last is None or last.members != view.members or last.slots != view.slots:
        shares.views.append(view)
        shares.generation += 1
    shares.next_change_ms = _next_change_ms(node.fleet)
    _drop_unused_views(node)


def _drop_unused_views(node: NodeState) -> None:
    """Drop views that are no longer in use, and recompute shares that may grow."""
    shares = node.local.routing.shares
    if len(shares.views) == shares.live_views == 1:
        return
    acknowledged = _count_up_to(shares.views, _acknowledged_by(node.fleet, waiting_for=None))
    del shares.views[: max(0, acknowledged - 1)]
    live = _count_up_to(shares.views, _acknowledged_by(node.fleet, waiting_for=""))
    if acknowledged > 1 or live != shares.live_views:
        shares.generation += 1
    shares.live_views = live


def _members(fleet: FleetState) -> tuple[ShareMember, ...]:
    return tuple(
        ShareMember(
            instance=name,
            incarnation=entry.incarnation,
            zone=entry.zone,
            expired=_is_expired(fleet, entry),
        )
        for name, entry in sorted(fleet.membership.entries.items())
    )


def _slots_by_pool(fleet: FleetState) -> dict[str, int]:
    """Return the slots per instance of each pool: the lowest value among its services.

    A request holds one connection, so the connection limit also limits the slots.
    """
    slots: dict[str, int] = {}
    for stored in fleet.catalogue.entries.values():
        if isinstance(stored.entry, ServiceEntry):
            limits = stored.entry.limits
            wanted = min(limits.slots_per_worker, limits.connections_per_worker)
            slots[stored.entry.pool] = min(wanted, slots.get(stored.entry.pool, wanted))
    return slots


def _next_change_ms(fleet: FleetState) -> int:
    """Return the log time at which the next lease and its grace period end; 0 if none will."""
    ends = [entry.lease_until_ms for entry in all_incarnations(fleet.membership)]
    expiries = [end + SHARE_GRACE_MS + 1 for end in ends]
    return min((expiry for expiry in expiries if expiry > fleet.now_ms), default=0)


@listens(Settled)
def on_settled(node: NodeState, effect: Settled) -> list[Effect]:
    """Apply membership changes, and check for expired leases."""
    if effect.kind in MEMBERSHIP_CHANGES:
        record_view(node)
        return []
    if effect.kind == "membership.renew":
        _handle_renewal(node)
    return _check_expired_leases(node)


def _handle_renewal(node: NodeState) -> None:
    """Grow shares after an acknowledgement; include an instance again that renewed its lease."""
    views = node.local.routing.shares.views
    if views and any(member.expired for member in views[-1].members):
        record_view(node)
    else:
        _drop_unused_views(node)


@listens(Skipped)
def on_skipped(node: NodeState, effect: Skipped) -> list[Effect]:
    """Check for expired leases."""
    return _check_expired_leases(node)


@listens(Duplicate)
def on_duplicate(node: NodeState, effect: Duplicate) -> list[Effect]:
    """Check for expired leases."""
    return _check_expired_leases(node)


def _check_expired_leases(node: NodeState) -> list[Effect]:
    """Check for expired leases at each record, so that all detect an expiry at the same offset."""
    if 0 < node.local.routing.shares.next_change_ms <= node.fleet.now_ms:
        record_view(node)
    return []


@listens(CatalogueChanged)
def on_catalogue_changed(node: NodeState, effect: CatalogueChanged) -> list[Effect]:
    """Apply changes to the slots per worker."""
    record_view(node)
    return []


@listens(FleetRestored)
def on_fleet_restored(node: NodeState, event: FleetRestored) -> list[Effect]:
    """Start again from the restored membership.

    Earlier views aren't needed: a restored entry instance has no share before its own join.
    """
    node.local.routing.shares.views.clear()
    record_view(node)
    return []
