"""Client of one worker incarnation: tasks, lease and listing."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Final

import msgspec
import trio
from result import Err, Ok, Result

from .adaptive_timeout import AdaptiveTimeout
from .caller import HttpCaller, Reply
from .errors import CallError, Failure
from .ranges import Count, Figure, Instant, Int64

START_TIMEOUT_S: Final = 1.0
"""Timeout of an order, in seconds; after it the task can be started elsewhere."""
LIST_TIMEOUT_S: Final = 1.2
"""Longest timeout of a listing beyond its own `wait_ms`, in seconds."""
SHORTEST_LIST_TIMEOUT_S: Final = 0.35
"""Shortest such timeout, in seconds; a lost answer hides the worker's ended tasks until then."""
MAX_LISTED_ENDS: Final = 500
"""Number of ends that a listing holds at most, as documented by the platform."""
CONNECTIONS: Final = 4
"""Connections to one worker: one waits for ended tasks, the others carry orders."""
MAX_SAVED_CHARS: Final = 1024
"""Longest checkpoint that is kept, in characters; a task with a longer one starts again from its
beginning, since its job's records would outgrow the store's."""
_INSTANCE_HEADER: Final = "heatherkeel-target-instance"
_MISDIRECTED, _CONFLICT = 421, 409
_UNHEALTHY: Final = frozenset({429, 503})


@dataclass(frozen=True, kw_only=True, slots=True)
class RunningTask:
    """A running task; `figure` is its current tail latency in ms, or its current CPU use."""

    task: str
    attempt: int
    saved: str
    percent: float
    figure: float


@dataclass(frozen=True, kw_only=True, slots=True)
class EndedTask:
    """A task that has ended; `number` counts the ended tasks of this worker incarnation."""

    number: int
    task: str
    attempt: int
    outcome: str
    saved: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """Running tasks and unacknowledged ended tasks of a worker, with the worker's clock."""

    clock_ms: int
    running: list[RunningTask]
    ended: list[EndedTask]
    born: int = 0
    """Start time of this incarnation, in milliseconds since 1970; 0 if not reported."""

    def may_lack_ends(self) -> bool:
        """Return whether there may be further ends, which follow once these are acknowledged.

        The running tasks are always listed as a whole.
        """
        return len(self.ended) >= MAX_LISTED_ENDS


@dataclass(frozen=True, kw_only=True, slots=True)
class StartOrder:
    """An order to start one task; `lease_until_ms` is a time on the worker's clock."""

    task: str
    attempt: int
    spec: str
    token: int
    lease_until_ms: int
    saved: str = ""
    ticket: str = ""


class _RunningRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    task: str
    attempt: Count
    saved: str
    percent: Figure
    figure: Figure = 0.0


class _EndedRow(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    number: Int64
    task: str
    attempt: Count
    outcome: str
    saved: str


class _Answer(msgspec.Struct, kw_only=True):
    clock_ms: Instant = msgspec.field(name="clockMs", default=0)
    reason: str = ""
    born: Instant = 0
    running: list[_RunningRow] = []
    finished: list[_EndedRow] = []


class WorkerClient:
    """Client of one worker incarnation."""

    def __init__(self, *, worker_id: str, address: str) -> None:
        self.worker_id = worker_id
        self.caller = HttpCaller(address=address, connections=CONNECTIONS)
        self.headers = [(_INSTANCE_HEADER, worker_id)]
        self.list_timeout = AdaptiveTimeout(
            shortest_s=SHORTEST_LIST_TIMEOUT_S, longest_s=LIST_TIMEOUT_S
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.caller.close()

    async def async_start_task(self, order: StartOrder) -> Result[int, CallError]:
        """Start a task and return the worker's clock in milliseconds."""
        body: dict[str, Any] = {
            "task": order.task,
            "attempt": order.attempt,
            "spec": order.spec,
            "deadlineMs": order.lease_until_ms,
            "fencingToken": order.token,
        }
        if order.saved:
            body["checkpoint"] = order.saved
        if order.ticket:
            body["ticket"] = order.ticket
        return await self._async_order("run-start", body)

    async def async_stop_task(
        self, *, task: str, attempt: int, token: int
    ) -> Result[int, CallError]:
        """Stop a task; if it hasn't arrived yet, the worker refuses it when it does."""
        body = {"task": task, "attempt": attempt, "fencingToken": token}
        return await self._async_order("run-stop", body)

    async def async_pace_task(
        self, *, task: str, attempt: int, percent: int, token: int
    ) -> Result[int, CallError]:
        """Limit a task to a percentage of its speed."""
        body = {"task": task, "attempt": attempt, "percent": percent, "fencingToken": token}
        return await self._async_order("pace", body)

    async def async_hold(
        self, *, token: int, acknowledged: int, lease_until_ms: int | None, wait_ms: int
    ) -> Result[Listing, CallError]:
        """Renew the lease of all running tasks, acknowledge ended ones, and list both."""
        body: dict[str, Any] = {"fencingToken": token, "ackSeq": acknowledged}
        if lease_until_ms is not None:
            body["deadlineMs"] = lease_until_ms
        if wait_ms:
            body["waitMs"] = wait_ms
        wait_s = wait_ms / 1000
        began_s = trio.current_time()
        answered = await self._async_call("hold", body, self.list_timeout.timeout_s() + wait_s)
        self._update_timeout(answered, trio.current_time() - began_s - wait_s)
        if isinstance(answered, Err):
            return answered
        return Ok(make_listing(answered.ok_value))

    def _update_timeout(self, answered: Result[_Answer, CallError], beyond_s: float) -> None:
        """Update the timeout by the time beyond the wait, which an ended task may cut short."""
        if isinstance(answered, Err):
            if answered.err_value.failure is Failure.UNKNOWN:
                self.list_timeout.record_timeout()
        else:
            self.list_timeout.record_answer(max(beyond_s, 0.0))

    async def _async_order(self, name: str, body: dict[str, Any]) -> Result[int, CallError]:
        answered = await self._async_call(name, body, START_TIMEOUT_S)
        return answered.map(lambda answer: answer.clock_ms)

    async def _async_call(
        self, name: str, body: dict[str, Any], timeout_s: float
    ) -> Result[_Answer, CallError]:
        called = await self.caller.async_call(
            "POST",
            f"/heatherkeel/{name}",
            body=msgspec.json.encode(body),
            headers=self.headers,
            timeout_s=timeout_s,
        )
        return called.and_then(_check)


def make_listing(answer: _Answer) -> Listing:
    """Return a worker's decoded answer as a listing."""
    return Listing(
        clock_ms=answer.clock_ms,
        born=answer.born,
        running=[_read_running(row) for row in answer.running],
        ended=[_read_ended(row) for row in answer.finished],
    )


def _read_running(row: _RunningRow) -> RunningTask:
    return RunningTask(
        task=row.task,
        attempt=row.attempt,
        saved=row.saved if len(row.saved) <= MAX_SAVED_CHARS else "",
        percent=row.percent,
        figure=row.figure,
    )


def _read_ended(row: _EndedRow) -> EndedTask:
    return EndedTask(
        number=row.number,
        task=row.task,
        attempt=row.attempt,
        outcome=row.outcome,
        saved=row.saved if len(row.saved) <= MAX_SAVED_CHARS else "",
    )


def _check(reply: Reply) -> Result[_Answer, CallError]:
    if reply.status == _MISDIRECTED:
        return Err(CallError(failure=Failure.OTHER_INSTANCE, status=reply.status))
    if reply.status in _UNHEALTHY:
        return Err(CallError(failure=Failure.REFUSED, status=reply.status))
    if reply.status not in (200, _CONFLICT):
        failure = Failure.INVALID if reply.status < 500 else Failure.UNKNOWN
        return Err(CallError(failure=failure, status=reply.status, detail=f"status {reply.status}"))
    try:
        answer = msgspec.json.decode(reply.body, type=_Answer)
    except (ValueError, RecursionError) as err:
        return Err(CallError(failure=Failure.UNKNOWN, status=reply.status, detail=str(err)))
    if reply.status == 200:
        return Ok(answer)
    failure = Failure.FENCED if answer.reason == "fence" else Failure.RESERVED
    return Err(
        CallError(
            failure=failure,
            status=reply.status,
            detail=answer.reason,
            clock_ms=answer.clock_ms,
        )
    )
