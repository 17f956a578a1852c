"""Records about entry instances, and the folded state of this subject."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated

from msgspec import Meta

from heatherkeel.catalogue.models import DurationMs, Name
from heatherkeel.core.models import RecordBody

EntryInstanceId = Annotated[str, Meta(min_length=1, max_length=64)]


class EntryJoin(RecordBody, frozen=True, kw_only=True):
    """An entry instance requests a routing lease; every process start is a new incarnation."""

    instance: EntryInstanceId
    incarnation: str
    zone: Name
    peer_address: str
    lease_ms: DurationMs


class EntryRenew(RecordBody, frozen=True, kw_only=True):
    """An entry instance renews its routing lease, and reports what it has folded."""

    instance: EntryInstanceId
    incarnation: str
    offset_in_force: Annotated[int, Meta(ge=-1)]
    shares_offset: Annotated[int, Meta(ge=-1)] = -1
    """The newest offset up to which it complies with every share of a target's slots."""


class EntryLeave(RecordBody, frozen=True, kw_only=True):
    """An entry instance has stopped routing and has no request in progress."""

    instance: EntryInstanceId
    incarnation: str


class EntryGone(RecordBody, frozen=True, kw_only=True):
    """The platform reports this incarnation as terminated; missing answers are no proof of it."""

    instance: EntryInstanceId
    incarnation: str


@dataclass(kw_only=True)
class EntryInstance:
    """One incarnation of an entry instance that may route; times in log milliseconds.

    `offset_in_force` is the newest offset that it reported as folded.
    """

    instance: str
    incarnation: str
    zone: str
    peer_address: str
    lease_ms: int
    lease_until_ms: int
    offset_in_force: int = -1
    shares_offset: int = -1
    """The newest offset up to which it complies with every share of a target's slots."""


@dataclass(kw_only=True)
class MembershipState:
    """Entry instances by id; `superseded` holds their earlier incarnations, by incarnation.

    A superseded incarnation may still run without access to the log, so it stays here until it
    leaves or the platform reports it as terminated.
    """

    entries: dict[str, EntryInstance] = field(default_factory=dict)
    superseded: dict[str, EntryInstance] = field(default_factory=dict)
    departed_offset: int = -1
    """Offset of the last record that removed an incarnation."""
