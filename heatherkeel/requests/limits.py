"""Shares of a target's slots, so that the limit holds over all entry instances together.

Every entry instance works out the same shares from the fold's membership, but not at the same
moment. So each uses the smallest of its shares in every view that another one may still hold: a
share shrinks at once, and grows only when all others have acknowledged the newer view in their
lease renewals. `docs/design/requests.md` has the proof that the shares in use never exceed the
slots.
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
"""Kinds of records after which the entry instances that share a target may be others."""


def allotted(view: ShareView, incarnation: str, zone: str, name: str, target: TargetView) -> int:
    """Return the share of the slots of target `name` that an incarnation in `zone` has by a view.

    Most slots go to entry instances of the target's own availability zone, the rest to those of
    the others. A lapsed one keeps its share in its own availability zone: it may be cut off from
    the platform and still be serving there.
    """
    slots = view.slots.get(target.pool, 0)
    near = [member for member in view.members if member.zone == target.zone]
    far = [m for m in view.members if m.zone != target.zone and not m.lapsed]
    far_slots = slots * SPILL_PERCENT // 100 if near else slots
    if not far:
        far_slots = 0
    members, part = (near, slots - far_slots) if zone == target.zone else (far, far_slots)
    return _part(members, part, incarnation, name)


def _part(members: Sequence[ShareMember], slots: int, incarnation: str, name: str) -> int:
    """Divide slots evenly; who gets the odd ones differs from target to target."""
    for rank, member in enumerate(members):
        if member.incarnation == incarnation:
            turned = (rank + zlib.crc32(name.encode())) % len(members)
            return slots // len(members) + (turned < slots % len(members))
    return 0


def share(node: NodeState, name: str, target: TargetView) -> int:
    """Return how many requests this entry instance may have in progress on a target.

    Failure: an entry instance leaves or a new one joins, and two of them, at different offsets,
    both count the same slot as theirs. Symptom: a target with more requests than slots. Enough
    because each uses the smallest share over all views that anyone may still be at, and one of
    those is the view of whoever is furthest behind; within one view the shares add up.
    """
    shares = node.local.routing.shares
    if target.cap_generation != shares.generation:
        target.cap_generation = shares.generation
        target.cap = _least(node, _held_views(node, target.zone), name, target)
    return _with_newcomers(node, name, target)


def _least(node: NodeState, views: list[ShareView], name: str, target: TargetView) -> int:
    local = node.local
    shares = (allotted(view, local.incarnation, local.zone, name, target) for view in views)
    return min(shares, default=0)


def _with_newcomers(node: NodeState, name: str, target: TargetView) -> int:
    """Part a share of the own availability zone between a sponsor and its newcomers.

    A newcomer that started while the platform is down is in no view. Without a slot of its
    sponsor's it could serve nobody until the platform is back.
    """
    local = node.local
    sponsorship = local.peers.sponsorship
    if local.zone != target.zone or not local.routing.shares.views:
        return target.cap
    if sponsorship is None:
        left = target.cap - SPONSORED_SLOTS * len(local.peers.sponsored)
        return max(left, min(target.cap, 1))
    newest = local.routing.shares.views[-1]
    lender = allotted(newest, sponsorship.sponsor, local.zone, name, target)
    return min(lender - 1, SPONSORED_SLOTS) if lender else 0


def acknowledged_offset(node: NodeState) -> int:
    """Return the newest offset up to which this entry instance keeps to every share.

    It goes into the lease renewal. A share that shrank below what is in progress is not given up
    before the surplus has ended.
    """
    views = node.local.routing.shares.views
    for view in views:
        if _exceeds(node, view):
            return view.offset - 1
    return node.fleet.next_offset - 1


def is_acknowledgement_due(node: NodeState) -> bool:
    """Tell whether the log waits for this entry instance to acknowledge the newest view."""
    views = node.local.routing.shares.views
    entry = node.fleet.membership.entries.get(node.local.instance)
    if entry is None or entry.incarnation != node.local.incarnation or not views:
        return False
    newest = views[-1].offset
    return entry.shares_offset < newest <= acknowledged_offset(node)


def _exceeds(node: NodeState, view: ShareView) -> bool:
    return any(
        target.in_progress > allotted(view, node.local.incarnation, node.local.zone, name, target)
        for name, target in node.local.routing.targets.items()
        if target.in_progress
    )


def _held_views(node: NodeState, zone: str) -> list[ShareView]:
    """Return the views of a zone's targets that some entry instance may still be at.

    None are returned if someone may be at a view from before this process knew any.
    """
    views = node.local.routing.shares.views
    left_behind = _count_up_to(views, _acknowledged_by(node.fleet, waiting_for=zone))
    return views[left_behind - 1 :] if left_behind else []


def _count_up_to(views: list[ShareView], offset: int) -> int:
    return bisect_right(views, offset, key=lambda view: view.offset)


def _acknowledged_by(fleet: FleetState, *, waiting_for: str | None) -> int:
    """Return the newest offset up to which all keep to their shares of a zone's targets.

    A lapsed entry instance sends nothing across availability zones, but it may go on in its own:
    there it is waited for until it is known to be gone. None waits for the lapsed of any zone.
    An incarnation that was replaced may not know it, and is waited for until it lapses.
    """
    membership = fleet.membership
    live = [entry for entry in all_incarnations(membership) if not _is_lapsed(fleet, entry)]
    lapsed = [entry for entry in membership.entries.values() if _is_lapsed(fleet, entry)]
    near = [entry for entry in lapsed if waiting_for is None or entry.zone == waiting_for]
    return min((entry.shares_offset for entry in live + near), default=fleet.next_offset - 1)


def _is_lapsed(fleet: FleetState, entry: EntryInstance) -> bool:
    return entry.lease_until_ms + SHARE_GRACE_MS < fleet.now_ms


def note_view(node: NodeState) -> None:
    """Keep the view of the folded state if it differs from the last one."""
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
    _note_acknowledged(node)


def _note_acknowledged(node: NodeState) -> None:
    """Drop the views that all have left behind, and look again at shares that may grow."""
    shares = node.local.routing.shares
    if len(shares.views) == shares.live_views == 1:
        return
    settled = _count_up_to(shares.views, _acknowledged_by(node.fleet, waiting_for=None))
    del shares.views[: max(0, settled - 1)]
    live = _count_up_to(shares.views, _acknowledged_by(node.fleet, waiting_for=""))
    if settled > 1 or live != shares.live_views:
        shares.generation += 1
    shares.live_views = live


def _members(fleet: FleetState) -> tuple[ShareMember, ...]:
    return tuple(
        ShareMember(
            instance=name,
            incarnation=entry.incarnation,
            zone=entry.zone,
            lapsed=_is_lapsed(fleet, entry),
        )
        for name, entry in sorted(fleet.membership.entries.items())
    )


def _slots_by_pool(fleet: FleetState) -> dict[str, int]:
    """Return the slots of every instance of a pool: the least that one of its services asks for.

    A request holds one connection, so a worker that takes fewer connections has fewer slots.
    """
    slots: dict[str, int] = {}
    for stored in fleet.catalogue.entries.values():
        if isinstance(stored.entry, ServiceEntry):
            limits = stored.entry.limits
            wanted = min(limits.slots_per_worker, limits.connections_per_worker)
            slots[stored.entry.pool] = min(wanted, slots.get(stored.entry.pool, wanted))
    return slots


def _next_change_ms(fleet: FleetState) -> int:
    """Return the log time at which the next lease lapses, with its grace; 0 if none will."""
    ends = [entry.lease_until_ms for entry in all_incarnations(fleet.membership)]
    lapses = [end + SHARE_GRACE_MS + 1 for end in ends]
    return min((lapse for lapse in lapses if lapse > fleet.now_ms), default=0)


@listens(Settled)
def on_settled(node: NodeState, effect: Settled) -> list[Effect]:
    """Follow the membership, and the time that every record carries."""
    if effect.kind in MEMBERSHIP_CHANGES:
        note_view(node)
        return []
    if effect.kind == "membership.renew":
        _on_renewal(node)
    return _on_time(node)


def _on_renewal(node: NodeState) -> None:
    """Let shares grow as others acknowledge; one that had lapsed counts everywhere again."""
    views = node.local.routing.shares.views
    if views and any(member.lapsed for member in views[-1].members):
        note_view(node)
    else:
        _note_acknowledged(node)


@listens(Skipped)
def on_skipped(node: NodeState, effect: Skipped) -> list[Effect]:
    """Follow the time that every record carries."""
    return _on_time(node)


@listens(Duplicate)
def on_duplicate(node: NodeState, effect: Duplicate) -> list[Effect]:
    """Follow the time that every record carries."""
    return _on_time(node)


def _on_time(node: NodeState) -> list[Effect]:
    """Look at every record whether a lease has lapsed by it: all have to see it at one offset."""
    if 0 < node.local.routing.shares.next_change_ms <= node.fleet.now_ms:
        note_view(node)
    return []


@listens(CatalogueChanged)
def on_catalogue_changed(node: NodeState, effect: CatalogueChanged) -> list[Effect]:
    """Follow the slots per worker."""
    note_view(node)
    return []


@listens(FleetRestored)
def on_fleet_restored(node: NodeState, event: FleetRestored) -> list[Effect]:
    """Start from the restored membership.

    Views before it are unknown, and needn't be known: an entry instance that restores has no
    share before its own join, which comes after.
    """
    node.local.routing.shares.views.clear()
    note_view(node)
    return []
