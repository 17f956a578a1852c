"""Chooses between direct calls to the store and calls through a peer."""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from typing import Final

import trio
from result import Err, Ok, Result

from heatherkeel.helpers.clock import wall_ms
from heatherkeel.platform.caller import HttpCaller, Reply
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.route import DirectRoute, StoreCall
from heatherkeel.questions.messages import Answer, RelayAnswer, RelayQuestion

from .const import (
    FAILURES_BEFORE_FORWARDING,
    FAILURES_BEFORE_PAUSE,
    FORWARD_MARGIN_S,
    FORWARD_PAUSE_S,
    LONGEST_FORWARD_S,
    MAX_BODY_BYTES,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    SERVED_MAX_AGE_S,
)
from .metrics import Forwarded, RelayMetrics

_LOGGER = logging.getLogger(__name__)

_REJECTED_STATUSES: Final = frozenset({429, 503})
"""Statuses with which the store does nothing; only one process may be affected."""
_CANCELLED: Final = "given up: the store turns this process away"

AsyncAsk = Callable[[str, RelayQuestion, float], Awaitable[Answer | None]]
"""Asks the process at an address, with a timeout in seconds."""


class PeerRoute:
    """Calls the store directly, or through a peer while only this process can't reach it.

    Without a peer, this process would refuse its callers, and as an owner stop the work of its
    partitions until its membership expires and another owner takes over.

    A forwarded call may be made twice or late, like any call without an answer. Submissions are
    identified by job, records of owners by epoch and sequence number, and renewals by member. A
    renewal counts from its first attempt, so forwarding never extends an ownership.
    """

    def __init__(
        self,
        *,
        list_peers: Callable[[], Sequence[str]],
        async_ask: AsyncAsk,
        metrics: RelayMetrics,
    ) -> None:
        self.list_peers = list_peers
        self.async_ask = async_ask
        self.metrics = metrics
        self.direct = DirectRoute()
        self.is_rejected = False
        self.probe_s = 0.0
        """Time of the next direct call, in seconds of trio's clock."""
        self.paused_until_s = 0.0
        self.peer_index = 0
        """Index of the peer to ask; incremented after each failure."""
        self.failures = 0
        """Consecutive forwarded calls that failed."""
        self.direct_failures = 0
        """Consecutive direct calls that failed but succeeded through a peer."""
        self.answered_s = -math.inf
        """Time of the last answered direct call, in seconds of trio's clock."""
        self.waiting_reads: dict[trio.CancelScope, StoreCall] = {}
        """Direct reads in progress that wait for records."""

    def is_served(self) -> bool:
        """Return whether the store has answered a direct call recently."""
        age_s = trio.current_time() - self.answered_s
        return not self.is_rejected and age_s < SERVED_MAX_AGE_S

    async def async_call(self, caller: HttpCaller, call: StoreCall) -> Result[Reply, CallError]:
        """Make one call, directly or through a peer.

        A failed waiting read doesn't switch the route, because the store resets the connections of
        all waiting reads when it drops its history. Renewals and appends detect a rejection.
        """
        if self._should_forward(call):
            forwarded = await self._async_forward(call)
            if _is_answered(forwarded) or call.waits:
                return forwarded
            return _combine(forwarded, await self._async_direct(caller, call))
        direct = await self._async_direct(caller, call)
        if _is_answered(direct) or self._is_paused():
            return direct
        if call.waits and not self.is_rejected:
            return direct
        forwarded = await self._async_forward(call)
        if not _is_answered(forwarded):
            return _combine(direct, forwarded)
        self._record_rejection(direct)
        return forwarded

    def _should_forward(self, call: StoreCall) -> bool:
        if not self.is_rejected or self._is_paused():
            return False
        now_s = trio.current_time()
        if call.waits or now_s < self.probe_s:
            return True
        self.probe_s = now_s + PROBE_INTERVAL_S
        return False

    def _is_paused(self) -> bool:
        return trio.current_time() < self.paused_until_s

    async def _async_direct(self, caller: HttpCaller, call: StoreCall) -> Result[Reply, CallError]:
        longest_s = PROBE_TIMEOUT_S if self.is_rejected else call.timeout_s
        answer: Result[Reply, CallError] = Err(
            CallError(failure=Failure.UNKNOWN, detail=_CANCELLED)
        )
        with trio.CancelScope() as scope:
            if call.waits:
                self.waiting_reads[scope] = call
            try:
                answer = await self.direct.async_call(caller, _limit_timeout(call, longest_s))
            finally:
                self.waiting_reads.pop(scope, None)
        if _is_answered(answer):
            self.answered_s = trio.current_time()
        if not _is_answered(answer) or call.waits:
            return answer
        self.direct_failures = 0
        if self.is_rejected:
            self.is_rejected = False
            _LOGGER.info(
                "the store accepts direct calls again", extra={"event": "store_direct_regained"}
            )
        return answer

    def _record_rejection(self, direct: Result[Reply, CallError]) -> None:
        """Switch to peers after repeated failures, and cancel waiting direct reads."""
        self.direct_failures += 1
        if self.is_rejected or self.direct_failures < FAILURES_BEFORE_FORWARDING:
            return
        self.is_rejected = True
        self.probe_s = trio.current_time() + PROBE_INTERVAL_S
        _LOGGER.warning(
            "the store rejects this process; calls go through peers",
            extra={"event": "store_direct_lost", "detail": _describe(direct)},
        )
        for scope, call in self.waiting_reads.items():
            if call.transfer is None or not call.transfer.is_arriving():
                scope.cancel()

    async def _async_forward(self, call: StoreCall) -> Result[Reply, CallError]:
        """Make a call through a peer; REFUSED if it was not made."""
        peers = self.list_peers()
        if not peers or len(call.body or b"") > MAX_BODY_BYTES:
            return Err(CallError(failure=Failure.REFUSED, detail="no other process to ask"))
        peer = peers[self.peer_index % len(peers)]
        longest_s = min(call.timeout_s, call.wait_s + LONGEST_FORWARD_S)
        asked = RelayQuestion(
            method=call.method,
            target=call.target,
            body=call.body,
            timeout_s=longest_s,
            sent_wall_ms=wall_ms(),
        )
        answer = await self.async_ask(peer, asked, longest_s + FORWARD_MARGIN_S)
        result = _read_answer(answer)
        if _is_answered(result):
            self.metrics.count_forwarded(Forwarded.ANSWERED)
            self.failures = 0
            return result
        self.metrics.count_forwarded(Forwarded.FAILED)
        self._record_failure()
        return result

    def _record_failure(self) -> None:
        """Switch to the next peer, and pause forwarding if the store seems down for all processes.

        While the store rejects this process, a single failed peer doesn't cause a pause.
        """
        self.peer_index += 1
        self.failures += 1
        if not self.is_rejected or self.failures >= FAILURES_BEFORE_PAUSE:
            self.failures = 0
            self.paused_until_s = trio.current_time() + FORWARD_PAUSE_S


def _read_answer(answer: Answer | None) -> Result[Reply, CallError]:
    if not isinstance(answer, RelayAnswer):
        return Err(CallError(failure=Failure.UNKNOWN, detail="no answer of the other process"))
    if answer.failure is not None:
        return Err(CallError(failure=answer.failure, detail=answer.detail))
    return Ok(Reply(status=answer.status, body=answer.body))


def _limit_timeout(call: StoreCall, longest_s: float) -> StoreCall:
    if call.waits or call.timeout_s <= longest_s:
        return call
    return replace(call, timeout_s=longest_s)


def _is_answered(answer: Result[Reply, CallError]) -> bool:
    """Return whether the store has done the call, or refused it for its content."""
    return isinstance(answer, Ok) and answer.ok_value.status not in _REJECTED_STATUSES


def _combine(
    first: Result[Reply, CallError], second: Result[Reply, CallError]
) -> Result[Reply, CallError]:
    """Combine the results of two attempts; nothing was done only if neither may have been."""
    if _is_answered(second) or _may_have_been_made(second):
        return second
    return first


def _may_have_been_made(answer: Result[Reply, CallError]) -> bool:
    return isinstance(answer, Err) and answer.err_value.failure is Failure.UNKNOWN


def _describe(answer: Result[Reply, CallError]) -> str:
    if isinstance(answer, Err):
        return answer.err_value.detail
    return f"status {answer.ok_value.status}"
