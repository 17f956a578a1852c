"""Makes calls to the store on behalf of processes that it rejects."""

from __future__ import annotations

from result import Err

from heatherkeel.helpers.clock import wall_ms
from heatherkeel.platform.errors import Failure
from heatherkeel.platform.route import StoreCall
from heatherkeel.platform.store import StoreClient
from heatherkeel.questions.messages import RelayAnswer, RelayQuestion

from .const import MAX_BODY_BYTES, MAX_CALL_AGE_MS, MAX_CONCURRENT_CALLS
from .metrics import RelayMetrics, Served


class StoreRelay:
    """Makes calls of peers directly, never through a third process."""

    def __init__(self, *, store: StoreClient, metrics: RelayMetrics) -> None:
        self.store = store
        self.metrics = metrics
        self.active_calls = 0

    async def async_answer(self, asked: RelayQuestion) -> RelayAnswer:
        """Make one call and return the store's answer, or why there is none."""
        call = StoreCall(
            method=asked.method, target=asked.target, body=asked.body, timeout_s=asked.timeout_s
        )
        refusal = self._find_refusal(call, sent_wall_ms=asked.sent_wall_ms)
        if refusal is not None:
            self.metrics.count_served(refusal)
            return RelayAnswer(failure=Failure.REFUSED, detail=refusal.value)
        self.active_calls += 1
        try:
            answer = await self.store.async_call_for_peer(call)
        finally:
            self.active_calls -= 1
        if isinstance(answer, Err):
            self.metrics.count_served(Served.FAILED)
            return RelayAnswer(failure=answer.err_value.failure, detail=answer.err_value.detail)
        reply = answer.ok_value
        if len(reply.body) > MAX_BODY_BYTES:
            self.metrics.count_served(Served.TOO_LARGE)
            return RelayAnswer(failure=Failure.UNKNOWN, detail=Served.TOO_LARGE.value)
        self.metrics.count_served(Served.ANSWERED)
        return RelayAnswer(status=reply.status, body=reply.body)

    def _find_refusal(self, call: StoreCall, *, sent_wall_ms: int) -> Served | None:
        """Return why a call isn't made, or None if it is.

        Its age is computed from two wall clocks and may be wrong after a clock step. A call that
        is refused for that is retried, and the store may also carry out calls late by itself.
        """
        if not call.is_for_store():
            return Served.NOT_ALLOWED
        if abs(wall_ms() - sent_wall_ms) > MAX_CALL_AGE_MS:
            return Served.TOO_OLD
        if self.active_calls >= MAX_CONCURRENT_CALLS:
            return Served.TOO_MANY
        return None
