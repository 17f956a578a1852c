"""A log in memory and a small fleet, for tests of the fold; every step is checked."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeVar

import heatherkeel.subjects  # noqa: F401
from heatherkeel.catalogue.models import (
    Budget,
    CatalogueEntry,
    EntryPut,
    MaintenanceEntry,
    PoolEntry,
    Reserve,
    ServiceEntry,
)
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import Accepted, Effect, LogRecord, RecordBody, Rejected, Settled
from heatherkeel.core.reducer import fold
from heatherkeel.core.registry import find_step_violations, find_violations
from heatherkeel.core.state import FleetState, canonical_bytes, from_canonical_bytes
from heatherkeel.membership.models import EntryJoin
from heatherkeel.pools.models import Instance, InstanceAdmit
from heatherkeel.waves.models import AckedDrain, Drain, DrainAck, DrainStart, Purpose, StopIssued

OWNER = "sheetal"
ZONES = ("a", "b", "c")
LEASE_MS = 10_000
START_MS = 1_000_000
EffectT = TypeVar("EffectT", bound=Effect)


@dataclass(kw_only=True)
class FoldedLog:
    """A log in memory with the state folded from it; the clock moves only by `wait`."""

    state: FleetState = field(default_factory=FleetState)
    now_ms: int = START_MS
    records: list[LogRecord] = field(default_factory=list)
    effects: list[Effect] = field(default_factory=list)

    def append(self, data: bytes) -> list[Effect]:
        """Append bytes, fold them, and check every promise on the way."""
        record = LogRecord(offset=len(self.records), at_ms=self.now_ms, data=data)
        self.records.append(record)
        before = from_canonical_bytes(canonical_bytes(self.state))
        effects = fold(self.state, record)
        assert find_violations(self.state) == []
        assert find_step_violations(before, effects, self.state) == []
        self.effects += effects
        return effects

    def say(self, body: RecordBody, *, record_id: str | None = None) -> Accepted | Rejected:
        """Append a record and return how the fold decided it."""
        envelope = seal(body, author="test", now_ms=self.now_ms, record_id=record_id)
        effects = self.append(encode(envelope))
        [settled] = [effect for effect in effects if isinstance(effect, Settled)]
        return settled.outcome

    def must(self, body: RecordBody) -> Accepted:
        """Append a record that the fold has to accept."""
        outcome = self.say(body)
        assert isinstance(outcome, Accepted), outcome
        return outcome

    def refused(self, body: RecordBody) -> Rejected:
        """Append a record that the fold has to refuse."""
        outcome = self.say(body)
        assert isinstance(outcome, Rejected), outcome
        return outcome

    def wait(self, duration_ms: int) -> list[Effect]:
        """Let log time pass, seen by a record that nobody can read."""
        self.now_ms += duration_ms
        return self.append(b"")

    def instance(self, instance_id: str) -> Instance:
        return self.state.pools.instances[instance_id]

    def drain_of(self, instance_id: str) -> Drain:
        return self.state.waves.drains[instance_id]

    def put(self, name: str, entry: CatalogueEntry) -> Accepted:
        stored = self.state.catalogue.entries.get(name)
        expected = 0 if stored is None else stored.version
        body = EntryPut(name=name, expected_version=expected, team=OWNER, entry=entry)
        return self.must(body)

    def drain(
        self, instance_id: str, *, wave: int = 1, purpose: Purpose = Purpose.MAINTENANCE
    ) -> DrainStart:
        """Return a drain of the instance as its newest version is."""
        return DrainStart(
            instance=instance_id,
            expected_version=self.instance(instance_id).version,
            coordinator="entry-a",
            purpose=purpose,
            wave=wave,
        )

    def ack(self, entry_id: str, *instance_ids: str) -> DrainAck:
        """Return an acknowledgement of the drains under way by an entry instance."""
        acked = tuple(
            AckedDrain(instance=instance_id, drain=self.drain_of(instance_id).id)
            for instance_id in instance_ids
        )
        incarnation = self.state.membership.entries[entry_id].incarnation
        return DrainAck(entry=entry_id, incarnation=incarnation, instances=acked)

    def stop(self, instance_id: str) -> StopIssued:
        version = self.instance(instance_id).version
        return StopIssued(instance=instance_id, expected_version=version, coordinator="entry-a")

    def quiesce(self, instance_id: str, *, wave: int = 1) -> None:
        """Drain an instance and have every entry instance acknowledge."""
        self.must(self.drain(instance_id, wave=wave))
        for entry_id in sorted(set(self.drain_of(instance_id).waiting.values())):
            self.must(self.ack(entry_id, instance_id))


def join(entry_id: str, *, incarnation: str = "1", zone: str = "") -> EntryJoin:
    """Return the join of `entry-<zone>`."""
    return EntryJoin(
        instance=entry_id,
        incarnation=f"{entry_id}.{incarnation}",
        zone=zone or entry_id.removeprefix("entry-"),
        peer_address="127.0.0.1:1",
        lease_ms=LEASE_MS,
    )


def admit(instance_id: str, *, zone: str, rack: str, pool: str = "desk") -> InstanceAdmit:
    return InstanceAdmit(
        instance=instance_id,
        boot_id=f"{instance_id}.1",
        zone=zone,
        rack=rack,
        address="127.0.0.1:2",
        pool=pool,
    )


def service(
    *, min_serving: int, reserve: Reserve = Reserve.RACK, path_prefix: str = "/stock"
) -> ServiceEntry:
    budget = Budget(min_serving=min_serving, reserve=reserve)
    return ServiceEntry(owner=OWNER, pool="desk", path_prefix=path_prefix, budget=budget)


def maintenance(
    *,
    max_concurrent: int = 2,
    max_failed_returns: int = 2,
    closed_from_minute: int = 0,
    closed_to_minute: int = 0,
    period_h: int = 1,
) -> MaintenanceEntry:
    return MaintenanceEntry(
        owner=OWNER,
        pool="desk",
        period_h=period_h,
        max_concurrent=max_concurrent,
        max_failed_returns=max_failed_returns,
        return_timeout_s=60,
        closed_from_minute=closed_from_minute,
        closed_to_minute=closed_to_minute,
    )


def small_fleet(*, min_serving: int = 3, reserve: Reserve = Reserve.RACK) -> FoldedLog:
    """Return three availability zones, each with an entry instance and two workers in two racks.

    Workers are `a0`, `a1`, `b0` and so on, all in pool `desk`; pool `spare` is empty.
    """
    log = FoldedLog()
    log.put("desk", PoolEntry(owner=OWNER, size=6))
    log.put("spare", PoolEntry(owner=OWNER, size=0))
    log.put("stock", service(min_serving=min_serving, reserve=reserve))
    log.put("care", maintenance())
    for zone in ZONES:
        log.must(join(f"entry-{zone}"))
        for number in (0, 1):
            name = f"{zone}{number}"
            log.must(admit(name, zone=zone, rack=f"rack-{name}"))
    return log
