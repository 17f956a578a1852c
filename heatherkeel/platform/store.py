"""Client of the platform's store: records of keyed topics, and partition groups."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Final
from urllib.parse import urlencode

import msgspec
import trio
from result import Err, Ok, Result

from .adaptive_timeout import AdaptiveTimeout
from .caller import HttpCaller, Reply
from .errors import CallError, Failure
from .framing import FramingError, KeyedRecord, decode_read, encode_records
from .route import DirectRoute, StoreCall, StoreRoute
from .store_answers import (
    Appended,
    GroupAssignment,
    Joined,
    NewestPage,
    NewestRecords,
    PartitionHolder,
    ReadRecords,
    check,
    decode,
    decode_holders,
    decode_item,
)
from .transfer import Transfer, begin_transfer

_LOGGER = logging.getLogger(__name__)

WRITE_TIMEOUT_S: Final = 3.5
"""Longest timeout of an append, in seconds. A partition refuses appends that would wait for 2 s,
and a slow store needs a second or more on top."""
SHORTEST_TIMEOUT_S: Final = 0.3
"""Shortest timeout of a write or a renewal, in seconds."""
READ_TIMEOUT_S: Final = 2.5
"""Longest timeout of a read beyond its own `wait_ms`, in seconds."""
JOIN_TIMEOUT_S: Final = 1.2
"""Longest timeout of a renewal, in seconds; shorter than the lifetime of a membership."""
PEER_CONNECTIONS: Final = 24
"""Connections for calls on behalf of peers, most of which wait for records."""
UNAVAILABLE_FAILURES: Final = 3
"""Consecutive failed writes after which the store counts as unavailable for a partition."""
SLOW_RESPONSE_S: Final = 0.1
"""Average response time from which the store counts as slow, in seconds; usual are a few
thousandths."""
PROBE_INTERVAL_S: Final = 0.25
"""Interval of trial writes while the store is unavailable, in seconds."""
_OVERDUE: Final = "given up: later calls are answered"
_WRITE_FAILURES: Final = frozenset({Failure.REFUSED, Failure.UNKNOWN})


@dataclass(frozen=True, kw_only=True, slots=True)
class Producer:
    """Identity of a producer: lower epochs are refused, each sequence number is accepted once."""

    name: str
    epoch: int
    sequence: int


@dataclass(kw_only=True, slots=True)
class PartitionHealth:
    """Tracks whether this process's writes to one partition succeed."""

    failures: int = 0
    """Consecutive writes that were refused or not answered."""
    failed_s: float = 0.0
    """Time of the last failure, in seconds of trio's clock."""

    def record_write(self, checked: Result[Reply, CallError]) -> None:
        """Record the result of a write; one that was refused for its content counts as answered."""
        if isinstance(checked, Err) and checked.err_value.failure in _WRITE_FAILURES:
            self.failures += 1
            self.failed_s = trio.current_time()
        else:
            self.failures = 0

    def is_unavailable(self) -> bool:
        """Return whether a write would very likely fail.

        One write per `PROBE_INTERVAL_S` is still sent, and its success ends this state.
        """
        return (
            self.failures >= UNAVAILABLE_FAILURES
            and trio.current_time() - self.failed_s < PROBE_INTERVAL_S
        )


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitingRead:
    """A read in progress that waits for records."""

    overdue_s: float
    """When its answer should have begun to arrive, in seconds of trio's clock."""
    transfer: Transfer

    def is_overdue(self) -> bool:
        """Return whether it is late, and nothing of its answer is arriving."""
        return trio.current_time() >= self.overdue_s and not self.transfer.is_arriving()


class StoreClient:
    """Client of the store, with separate connections for writes, reads and group calls."""

    def __init__(self, *, address: str, route: StoreRoute | None = None) -> None:
        self.route = route or DirectRoute()
        self.peer_calls = HttpCaller(address=address, connections=PEER_CONNECTIONS)
        """Used for calls on behalf of other processes."""
        self.writes = HttpCaller(address=address, connections=8)
        self.reads = HttpCaller(address=address, connections=24)
        self.membership = HttpCaller(address=address, connections=2)
        self.write_timeout = AdaptiveTimeout(
            shortest_s=SHORTEST_TIMEOUT_S, longest_s=WRITE_TIMEOUT_S
        )
        self.join_timeout = AdaptiveTimeout(shortest_s=SHORTEST_TIMEOUT_S, longest_s=JOIN_TIMEOUT_S)
        self.read_timeout = AdaptiveTimeout(shortest_s=SHORTEST_TIMEOUT_S, longest_s=READ_TIMEOUT_S)
        """Learned from reads, and used only to estimate how slow the store is."""
        self.waiting_reads: dict[trio.CancelScope, WaitingRead] = {}
        """Reads in progress that wait for records."""
        self.health: dict[tuple[str, int], PartitionHealth] = {}
        self.on_given_up: Callable[[Transfer], None] = lambda transfer: None
        """Called with each transfer of a read that was given up after bytes had arrived."""

    async def close(self) -> None:
        """Close all connections."""
        for caller in (self.writes, self.reads, self.membership, self.peer_calls):
            await caller.close()

    async def async_call_for_peer(self, call: StoreCall) -> Result[Reply, CallError]:
        """Make a direct call on behalf of another process."""
        return await DirectRoute().async_call(self.peer_calls, call)

    def find_health(self, topic: str, partition: int) -> PartitionHealth:
        """Return the health of this process's writes to a partition."""
        return self.health.setdefault((topic, partition), PartitionHealth())

    def is_slow(self) -> bool:
        """Return whether calls were answered slowly of late, or not before their timeouts.

        A store that has just become slow answers no call in the usual time, so that its response
        time isn't known yet.
        """
        timeouts = (self.write_timeout, self.join_timeout, self.read_timeout)
        return any(timeout.failures or timeout.average_s > SLOW_RESPONSE_S for timeout in timeouts)

    async def async_append(
        self,
        topic: str,
        partition: int,
        records: list[KeyedRecord],
        *,
        longest_s: float = WRITE_TIMEOUT_S,
    ) -> Result[None, CallError]:
        """Append all records or none."""
        query = {"topic": topic, "part": partition}
        checked = await self._async_append(query, records, longest_s=longest_s)
        return Err(checked.err_value) if isinstance(checked, Err) else Ok(None)

    async def async_append_as(
        self, producer: Producer, topic: str, partition: int, records: list[KeyedRecord]
    ) -> Result[Appended, CallError]:
        """Append all records or none as a producer; an empty list only sets its epoch."""
        query = {
            "topic": topic,
            "part": partition,
            "producer": producer.name,
            "epoch": producer.epoch,
            "sequence": producer.sequence,
        }
        checked = await self._async_append(query, records, longest_s=WRITE_TIMEOUT_S)
        return decode(checked, Appended)

    async def _async_append(
        self, query: dict[str, Any], records: list[KeyedRecord], *, longest_s: float
    ) -> Result[Reply, CallError]:
        target = f"/heatherkeel/log-append?{urlencode(query)}"
        began_s = trio.current_time()
        timeout_s = min(longest_s, self._write_timeout_s())
        called = await self._async_post(
            self.writes, target, encode_records(records), timeout_s=timeout_s
        )
        _update_timeout(self.write_timeout, called, trio.current_time() - began_s)
        checked = called.and_then(check)
        self.find_health(query["topic"], query["part"]).record_write(checked)
        return checked

    def _write_timeout_s(self) -> float:
        """Return the timeout of an append, which also follows the response times of other calls.

        Most processes write rarely. A timeout learned from appends alone would be too short for a
        store that has become slow, and the retries would overload its partitions.
        """
        others_s = max(self.join_timeout.learned_s(), self.read_timeout.learned_s())
        return max(self.write_timeout.timeout_s(), min(WRITE_TIMEOUT_S, others_s))

    async def async_read(
        self,
        topic: str,
        partition: int,
        *,
        start: int,
        wait_ms: int,
        max_kb: int | None = None,
        transfer: Transfer | None = None,
    ) -> Result[ReadRecords, CallError]:
        """Read from an offset, waiting up to `wait_ms` for the first record.

        The answer is cut at `max_kb`, but holds one record at least. `transfer` records what
        arrives of it.
        """
        query = _make_read_query(topic, partition, start=start, max_kb=max_kb)
        called = await self._async_get(
            f"/heatherkeel/log-read?{urlencode(query | {'waitMs': wait_ms})}",
            timeout_s=READ_TIMEOUT_S + wait_ms / 1000,
            wait_s=wait_ms / 1000,
            probe=f"/heatherkeel/log-read?{urlencode(query | {'maxKb': 1})}",
            transfer=transfer,
        )
        return _decode_read(called, start=start)

    async def async_read_at_once(
        self,
        topic: str,
        partition: int,
        *,
        start: int,
        max_kb: int | None = None,
        transfer: Transfer | None = None,
    ) -> Result[ReadRecords, CallError]:
        """Read from an offset directly, without waiting and with a short timeout.

        `max_kb` and `transfer` are those of `async_read`.
        """
        query = _make_read_query(topic, partition, start=start, max_kb=max_kb)
        call = StoreCall(
            method="GET",
            target=f"/heatherkeel/log-read?{urlencode(query)}",
            timeout_s=self._overdue_s(),
            transfer=transfer or begin_transfer(),
        )
        called = await DirectRoute().async_call(self.reads, call)
        if isinstance(called, Ok):
            self._cancel_overdue()
        self._record_read(call, called)
        return _decode_read(called, start=start)

    async def async_read_newest(
        self,
        topic: str,
        partition: int,
        *,
        after_key: str = "",
        transfer: Transfer | None = None,
    ) -> Result[NewestRecords, CallError]:
        """Read one page of the newest record of each key."""
        query: dict[str, Any] = {"topic": topic, "part": partition}
        if after_key:
            query["dependsOn"] = after_key
        called = await self._async_get(
            f"/heatherkeel/log-newest?{urlencode(query)}", transfer=transfer
        )
        decoded = decode(called.and_then(check), NewestPage)
        if isinstance(decoded, Err):
            return decoded
        page = decoded.ok_value
        records = [decode_item(item) for item in page.items]
        return Ok(NewestRecords(end=page.end, records=records, has_more=page.has_more))

    async def async_read_all_newest(
        self, topic: str, partition: int, *, transfer: Transfer | None = None
    ) -> Result[NewestRecords, CallError]:
        """Read all pages; `end` is that of the first, so reading on from there misses no record."""
        records: list[KeyedRecord] = []
        end, after_key = -1, ""
        while True:
            read = await self.async_read_newest(
                topic, partition, after_key=after_key, transfer=transfer
            )
            if isinstance(read, Err):
                return read
            page = read.ok_value
            records += page.records
            end = page.end if end < 0 else end
            last_key = next((item.key for item in reversed(page.records) if item.key), "")
            if not page.has_more or last_key in ("", after_key):
                return Ok(NewestRecords(end=end, records=records, has_more=False))
            after_key = last_key

    async def async_join(
        self, *, group: str, member: str, topics: list[str], ttl_ms: int, generation: int
    ) -> Result[GroupAssignment, CallError]:
        """Join a group, or stay in it for another `ttl_ms`."""
        body = msgspec.json.encode(
            {
                "group": group,
                "member": member,
                "topics": topics,
                "ttlMs": ttl_ms,
                "generation": generation,
            }
        )
        began_s = trio.current_time()
        timeout_s = self.join_timeout.timeout_s()
        called = await self._async_post(
            self.membership, "/heatherkeel/log-join", body, timeout_s=timeout_s
        )
        _update_timeout(self.join_timeout, called, trio.current_time() - began_s)
        decoded = decode(called.and_then(check), Joined)
        if isinstance(decoded, Err):
            return decoded
        partitions: dict[str, set[int]] = {}
        for topic, partition, _ in decoded.ok_value.parts:
            partitions.setdefault(topic, set()).add(partition)
        return Ok(GroupAssignment(generation=decoded.ok_value.generation, partitions=partitions))

    async def async_leave(self, *, group: str, member: str) -> Result[None, CallError]:
        """Leave a group, so that this member's partitions are reassigned immediately."""
        body = msgspec.json.encode({"group": group, "member": member})
        called = await self._async_post(
            self.membership, "/heatherkeel/log-leave", body, timeout_s=JOIN_TIMEOUT_S
        )
        checked = called.and_then(check)
        return Err(checked.err_value) if isinstance(checked, Err) else Ok(None)

    async def async_list_holders(self, *, group: str) -> Result[list[PartitionHolder], CallError]:
        """Return which member holds which partition."""
        called = await self._async_get(f"/heatherkeel/log-owners?{urlencode({'group': group})}")
        checked = called.and_then(check)
        if isinstance(checked, Err):
            return checked
        return decode_holders(checked.ok_value.body)

    async def _async_get(
        self,
        target: str,
        *,
        timeout_s: float = READ_TIMEOUT_S,
        wait_s: float = 0.0,
        probe: str = "",
        transfer: Transfer | None = None,
    ) -> Result[Reply, CallError]:
        transfer = transfer or begin_transfer()
        call = StoreCall(
            method="GET",
            target=target,
            timeout_s=timeout_s,
            wait_s=wait_s,
            transfer=transfer,
        )
        if call.waits:
            called = await self._async_wait(call, transfer, probe)
        else:
            called = await self._async_call(self.reads, call)
            # Without the time of its bytes, which says nothing of the store.
            took_s = transfer.response_time_s(trio.current_time())
            _update_timeout(self.read_timeout, called, took_s)
        self._record_read(call, called)
        return called

    def _record_read(self, call: StoreCall, called: Result[Reply, CallError]) -> None:
        """Record a read that has ended without its whole answer, although bytes had arrived."""
        transfer = call.transfer
        if transfer is None or transfer.heard_s is None or isinstance(called, Ok):
            return
        now_s = trio.current_time()
        self.on_given_up(transfer)
        _LOGGER.warning(
            "an answer of the store that was arriving was given up",
            extra={
                "event": "transfer_given_up",
                "target": call.target,
                "received_bytes": transfer.received_bytes,
                "took_ms": round(1000 * (now_s - transfer.began_s)),
                "silent_ms": round(1000 * (now_s - transfer.heard_s)),
                "detail": called.err_value.detail,
            },
        )

    async def _async_wait(
        self, call: StoreCall, transfer: Transfer, probe: str
    ) -> Result[Reply, CallError]:
        """Make a read that waits for records; give it up if it is overdue and others are answered.

        Its answer may have been lost, in an outage that is over or on a connection that has gone
        silent. Until its timeout this process would miss all new records.
        """
        called: Result[Reply, CallError] = Err(CallError(failure=Failure.UNKNOWN, detail=_OVERDUE))
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            overdue_s = trio.current_time() + call.wait_s + self._overdue_s()
            waiting = WaitingRead(overdue_s=overdue_s, transfer=transfer)
            self.waiting_reads[scope] = waiting
            nursery.start_soon(self._async_probe, probe, waiting, scope)
            try:
                called = await self._async_call(self.reads, call)
            finally:
                del self.waiting_reads[scope]
            scope.cancel()
        return called

    async def _async_probe(
        self, target: str, waiting: WaitingRead, scope: trio.CancelScope
    ) -> None:
        """Read the same without waiting, on a new connection, once a read is overdue.

        The first byte of an answer ends the overdue read and this one, since a large record is not
        to be read twice. A process that owns nothing makes hardly any other calls that would.
        """
        await trio.sleep_until(waiting.overdue_s)
        while not waiting.is_overdue():
            await trio.sleep_until(waiting.transfer.deadline_s())
        caller = HttpCaller(address=self.reads.address, connections=1)
        transfer = begin_transfer()
        transfer.listeners.append(scope.cancel)
        probe = StoreCall(
            method="GET", target=target, timeout_s=self._overdue_s(), transfer=transfer
        )
        try:
            await self._async_call(caller, probe)
        finally:
            with trio.CancelScope(shield=True):
                await caller.close()

    def _overdue_s(self) -> float:
        """Return the time after its wait from which a read is overdue, in seconds."""
        others_s = max(self.join_timeout.learned_s(), self.read_timeout.learned_s())
        return min(READ_TIMEOUT_S, max(SHORTEST_TIMEOUT_S, others_s))

    async def _async_call(self, caller: HttpCaller, call: StoreCall) -> Result[Reply, CallError]:
        called = await self.route.async_call(caller, call)
        if isinstance(called, Ok):
            self._cancel_overdue()
        return called

    def _cancel_overdue(self) -> None:
        for scope, waiting in self.waiting_reads.items():
            if waiting.is_overdue():
                scope.cancel()

    async def _async_post(
        self, caller: HttpCaller, target: str, body: bytes, *, timeout_s: float
    ) -> Result[Reply, CallError]:
        call = StoreCall(method="POST", target=target, body=body, timeout_s=timeout_s)
        return await self._async_call(caller, call)


def _make_read_query(
    topic: str, partition: int, *, start: int, max_kb: int | None
) -> dict[str, Any]:
    query: dict[str, Any] = {"topic": topic, "part": partition, "from": start}
    return query if max_kb is None else query | {"maxKb": max_kb}


def _decode_read(called: Result[Reply, CallError], *, start: int) -> Result[ReadRecords, CallError]:
    checked = called.and_then(check)
    if isinstance(checked, Err):
        return checked
    try:
        end, _, records = decode_read(checked.ok_value.body, start=start)
    except FramingError as err:
        return Err(CallError(failure=Failure.INVALID, detail=str(err)))
    return Ok(ReadRecords(start=start, end=end, records=records, size=len(checked.ok_value.body)))


def _update_timeout(
    timeout: AdaptiveTimeout, called: Result[Reply, CallError], took_s: float
) -> None:
    if isinstance(called, Ok):
        timeout.record_answer(took_s)
    elif called.err_value.failure is Failure.UNKNOWN:
        timeout.record_timeout()
