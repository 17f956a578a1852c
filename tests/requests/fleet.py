"""Test helpers: an in-memory log and the nodes that fold it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TypeVar

import heatherkeel.subjects  # noqa: F401
from heatherkeel.catalogue.models import (
    Budget,
    CatalogueEntry,
    EntryPut,
    PoolEntry,
    RequestLimits,
    ServiceClass,
    ServiceEntry,
)
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import Effect, LogRecord, RecordBody
from heatherkeel.core.node import LocalState, NodeState, reduce
from heatherkeel.membership.models import EntryJoin
from heatherkeel.pools.models import InstanceAdmit
from heatherkeel.requests.events import AttemptEnded, AttemptResult, RequestArrived

EffectT = TypeVar("EffectT", bound=Effect)
LEASE_MS = 10_000
ZONES = ("east", "west", "north")


def incarnation_of(instance: str) -> str:
    """Return the first incarnation of an entry instance; it is unique to one process."""
    return f"{instance}-1"


@dataclass(kw_only=True)
class Log:
    """An in-memory log; `now_ms` is both its time and the monotonic clock of every node."""

    records: list[LogRecord] = field(default_factory=list)
    now_ms: int = 1_000

    def append(self, body: RecordBody, *, author: str, record_id: str | None = None) -> None:
        data = encode(seal(body, author=author, now_ms=self.now_ms, record_id=record_id))
        self.records.append(LogRecord(offset=len(self.records), at_ms=self.now_ms, data=data))

    def put_pool(self) -> None:
        body = EntryPut(
            name="desk",
            expected_version=0,
            team="sheetal",
            entry=PoolEntry(owner="sheetal", size=12),
        )
        self.append(body, author="operator")

    def put_service(
        self,
        name: str = "stock",
        *,
        version: int = 0,
        min_serving: int = 3,
        service_class: ServiceClass = ServiceClass.INTERACTIVE,
        owner: str = "sheetal",
        limits: RequestLimits | None = None,
    ) -> None:
        if not self.records:
            self.put_pool()
        entry = ServiceEntry(
            owner=owner,
            service_class=service_class,
            pool="desk",
            path_prefix=f"/{name}",
            budget=Budget(min_serving=min_serving),
            limits=limits or RequestLimits(),
        )
        if not self.records:
            self._put_entry("desk", PoolEntry(owner=owner, size=100), version=0)
        self._put_entry(name, entry, version=version)

    def _put_entry(self, name: str, entry: CatalogueEntry, *, version: int) -> None:
        body = EntryPut(name=name, expected_version=version, team=entry.owner, entry=entry)
        self.append(body, author="operator")

    def admit(self, count: int) -> None:
        for number in range(count):
            body = InstanceAdmit(
                instance=f"t{number}",
                boot_id="1",
                zone=ZONES[number % len(ZONES)],
                rack="r1",
                address=f"127.0.0.1:{9000 + number}",
                pool="desk",
            )
            self.append(body, author="entry")

    def join(self, instance: str, zone: str, *, incarnation: str | None = None) -> None:
        body = EntryJoin(
            instance=instance,
            incarnation=incarnation or incarnation_of(instance),
            zone=zone,
            peer_address="127.0.0.1:1",
            lease_ms=LEASE_MS,
        )
        self.append(body, author=instance)


def make_node(log: Log, instance: str = "e1", zone: str = "east") -> NodeState:
    """Return a node that has folded the whole log and holds a routing lease."""
    node = NodeState(
        local=LocalState(instance=instance, zone=zone, incarnation=incarnation_of(instance))
    )
    catch_up(node, log)
    node.local.lease.valid_until_ms = log.now_ms + LEASE_MS
    return node


def catch_up(node: NodeState, log: Log, count: int = 1_000_000) -> list[Effect]:
    records = log.records[node.fleet.next_offset :][:count]
    return [effect for record in records for effect in reduce(node, record)]


def make_single_node(targets: int = 6, **service: int) -> tuple[Log, NodeState]:
    """Return a log with one service and a node for its only entry instance."""
    log = Log()
    log.put_service(**service)  # type: ignore[arg-type]
    log.admit(targets)
    log.join("e1", "east")
    return log, make_node(log)


def ask(
    node: NodeState,
    log: Log,
    request_id: str,
    *,
    idempotent: bool = True,
    path: str = "/stock/1",
    deadline_ms: int = 0,
) -> list[Effect]:
    event = RequestArrived(
        now_ms=log.now_ms,
        request_id=request_id,
        path=path,
        idempotent=idempotent,
        deadline_ms=deadline_ms,
    )
    return reduce(node, event)


def end(
    node: NodeState,
    log: Log,
    request_id: str,
    result: AttemptResult = AttemptResult.WHOLE_ANSWER,
    latency_ms: int = 10,
) -> list[Effect]:
    target = node.local.routing.requests[request_id].target
    event = AttemptEnded(
        now_ms=log.now_ms,
        request_id=request_id,
        target=target,
        result=result,
        latency_ms=latency_ms,
    )
    return reduce(node, event)


def only(effects: list[Effect], kind: type[EffectT]) -> EffectT:
    """Return the only effect of a type; fails if there is none or more than one."""
    [found] = [effect for effect in effects if isinstance(effect, kind)]
    return found
