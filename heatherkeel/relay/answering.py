"""Makes calls to the store for processes that it turns away."""

from __future__ import annotations

from result import Err

from heatherkeel.helpers.clock import wall_ms
from heatherkeel.platform.errors import Failure
from heatherkeel.platform.route import StoreCall
from heatherkeel.platform.store import StoreClient
from heatherkeel.questions.messages import RelayAnswer, RelayQuestion

from .const import LARGEST_BODY, MOST_AT_ONCE, OLDEST_MS
from .metrics import RelayMetrics, Served


class StoreRelay:
    """Makes the calls of others directly, and never through a third process."""

    def __init__(self, *, store: StoreClient, metrics: RelayMetrics) -> None:
        self.store = store
        self.metrics = metrics
        self.under_way = 0

    async def async_answer(self, asked: RelayQuestion) -> RelayAnswer:
        """Make one call, and tell the store's answer or why there is none."""
        call = StoreCall(
            method=asked.method, target=asked.target, body=asked.body, timeout_s=asked.timeout_s
        )
        refusal = self._find_refusal(call, sent_wall_ms=asked.sent_wall_ms)
        if refusal is not None:
            self.metrics.count_served(refusal)
            return RelayAnswer(failure=Failure.REFUSED, detail=refusal.value)
        self.under_way += 1
        try:
            answer = await self.store.async_call_for_peer(call)
        finally:
            self.under_way -= 1
        if isinstance(answer, Err):
            self.metrics.count_served(Served.FAILED)
            return RelayAnswer(failure=answer.err_value.failure, detail=answer.err_value.detail)
        reply = answer.ok_value
        if len(reply.body) > LARGEST_BODY:
            self.metrics.count_served(Served.TOO_LARGE)
            return RelayAnswer(failure=Failure.UNKNOWN, detail=Served.TOO_LARGE.value)
        self.metrics.count_served(Served.ANSWERED)
        return RelayAnswer(status=reply.status, body=reply.body)

    def _find_refusal(self, call: StoreCall, *, sent_wall_ms: int) -> Served | None:
        """Say why a call isn't made.

        Its age is told by two wall clocks, which may jump: a call that is refused for that is
        tried again, and one that is made too late is one that the store itself may make late.
        """
        if not call.is_for_store():
            return Served.NOT_ALLOWED
        if abs(wall_ms() - sent_wall_ms) > OLDEST_MS:
            return Served.TOO_OLD
        if self.under_way >= MOST_AT_ONCE:
            return Served.TOO_MANY
        return None
