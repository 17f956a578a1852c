"""Handler of `/status`: a summary of the fleet; `/maintenance` has the details of waves."""

from __future__ import annotations

from collections import Counter

import msgspec
from result import Ok

from heatherkeel.core.state import FleetState, digest
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.waves.models import Purpose
from heatherkeel.waves.wave import active_halt_reason, maintenance_of_pools

from .models import Access, Answer, Call, Reply
from .routes import route

NO_POOL = "(spare)"
"""Shown as the pool of instances that belong to none."""


class EntryInstanceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """What an entry instance reported when it last renewed its lease; ages in log milliseconds."""

    zone: str
    offset_in_force: int
    reported_age_ms: int
    lease_lapsed: bool


class PlatformStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Whether the platform is reachable, and how old the configuration may be.

    `heard_age_ms` is the time since the log last answered; -1 before the first answer.
    """

    reachable: bool
    heard_age_ms: int


class DrainSummary(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A drain in progress; `waiting_for` lists entry instances that haven't acknowledged it."""

    purpose: Purpose
    age_ms: int
    waiting_for: list[str]
    to_pool: str = ""


class WaveSummary(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A maintenance wave in progress; `halted_reason` is why it was halted.

    It is shown until the next drain, even if an edit of the entry has resumed the wave.
    """

    number: int
    age_ms: int
    drained: int
    returned: int
    failed: int
    halted_reason: str = ""


class Status(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """The fleet as this entry instance sees it."""

    instance: str
    zone: str
    offset_in_force: int
    platform: PlatformStatus
    entry_instances: dict[str, EntryInstanceStatus]
    pools: dict[str, dict[str, int]]
    waves: dict[str, WaveSummary]
    drains: dict[str, DrainSummary]
    digest: str = ""


@route("GET", "/status", access=Access.READ)
async def async_get_status(call: Call) -> Reply:
    """Return the status; with `digest=true` also the digest of the folded state.

    The digest encodes the whole state, so it is computed only on request.
    """
    node = call.node
    fleet = node.state.fleet
    status = Status(
        instance=node.settings.instance.id,
        zone=node.settings.instance.zone,
        offset_in_force=fleet.next_offset - 1,
        platform=_platform_status(call),
        entry_instances=_entry_instances(fleet),
        pools=_pools(fleet),
        waves=_waves(fleet),
        drains=_drains(fleet),
        digest=digest(fleet) if call.request.query.get("digest") == "true" else "",
    )
    return Ok(Answer(value=status))


def _platform_status(call: Call) -> PlatformStatus:
    follower = call.node.follower
    answered_at_ms = follower.answered_at_ms
    age_ms = -1 if answered_at_ms is None else monotonic_ms() - answered_at_ms
    return PlatformStatus(reachable=follower.reachable, heard_age_ms=age_ms)


def _entry_instances(fleet: FleetState) -> dict[str, EntryInstanceStatus]:
    return {
        name: EntryInstanceStatus(
            zone=entry.zone,
            offset_in_force=entry.offset_in_force,
            reported_age_ms=fleet.now_ms - (entry.lease_until_ms - entry.lease_ms),
            lease_lapsed=entry.lease_until_ms < fleet.now_ms,
        )
        for name, entry in fleet.membership.entries.items()
    }


def _pools(fleet: FleetState) -> dict[str, dict[str, int]]:
    """Count the instances of each pool by their status."""
    counts: dict[str, Counter[str]] = {}
    for instance in fleet.pools.instances.values():
        counts.setdefault(instance.pool or NO_POOL, Counter())[instance.status] += 1
    return {pool: dict(count) for pool, count in counts.items()}


def _waves(fleet: FleetState) -> dict[str, WaveSummary]:
    """Return the waves that are not finished, by pool."""
    maintenance_by_pool = maintenance_of_pools(fleet)
    return {
        pool: WaveSummary(
            number=wave.number,
            age_ms=fleet.now_ms - wave.started_ms,
            drained=wave.drained,
            returned=wave.returned,
            failed=wave.failed,
            halted_reason=active_halt_reason(wave, maintenance_by_pool.get(pool)),
        )
        for pool, wave in fleet.waves.waves.items()
        if not wave.finished_ms
    }


def _drains(fleet: FleetState) -> dict[str, DrainSummary]:
    return {
        instance: DrainSummary(
            purpose=drain.purpose,
            age_ms=fleet.now_ms - drain.started_ms,
            waiting_for=sorted(set(drain.waiting.values())),
            to_pool=drain.to_pool,
        )
        for instance, drain in fleet.waves.drains.items()
    }
