"""Callers in open loop, behind a balancer that offers a request to another entry instance."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import replace

import trio

from heatherkeel.load.client import LoadClient
from heatherkeel.load.models import Outcome, Plan, PlannedRequest, Reply, Service
from heatherkeel.load.plan import plan_requests
from heatherkeel.load.tally import Tally
from heatherkeel.measure.const import SERVICE_PATH

from .const import DEADLINE_MS, LONGEST_LOAD_S, MAX_TRIES, NON_IDEMPOTENT_SHARE, RATE

SURELY_NOT_RUN = (Outcome.NOT_CONNECTED, Outcome.NOT_RUN)
PERHAPS_RUN = (Outcome.NO_ANSWER, Outcome.TIMED_OUT, Outcome.UNKNOWN)


class Callers:
    """Sends requests at their own times until it is told to stop."""

    def __init__(self, *, entries: tuple[str, ...]) -> None:
        self.entries = entries
        self.client = LoadClient(timeout_ms=2 * DEADLINE_MS)
        self.tally = Tally()
        self.retried = 0
        self.stopping = False

    async def async_run(self) -> None:
        """Send until `stop`, then wait for the last answers."""
        start_s = trio.current_time()
        try:
            async with trio.open_nursery() as nursery:
                for request in self._plan():
                    await trio.sleep_until(start_s + request.at_s)
                    if self.stopping:
                        break
                    nursery.start_soon(self._async_ask, request, start_s + request.at_s)
        finally:
            await self.client.close()

    def stop(self) -> None:
        """Send no further request."""
        self.stopping = True

    def _plan(self) -> Iterable[PlannedRequest]:
        plan = Plan(
            entries=self.entries,
            services=(Service(path=SERVICE_PATH),),
            rate=RATE,
            duration_s=LONGEST_LOAD_S,
            max_requests=int(RATE * LONGEST_LOAD_S * 2),
            non_idempotent_share=NON_IDEMPOTENT_SHARE,
            deadline_ms=DEADLINE_MS,
        )
        return plan_requests(plan, run_id="demo")

    async def _async_ask(self, request: PlannedRequest, intended_s: float) -> None:
        reply = await self.client.async_send(request, intended_s=intended_s)
        for _ in range(MAX_TRIES - 1):
            if not may_ask_again(reply):
                break
            self.retried += 1
            request = replace(request, entry=self._next_entry(request.entry))
            reply = await self.client.async_send(request, intended_s=intended_s)
        self.tally.add(reply)

    def _next_entry(self, entry: str) -> str:
        return self.entries[(self.entries.index(entry) + 1) % len(self.entries)]


def may_ask_again(reply: Reply) -> bool:
    """Say whether a balancer may offer the request to another entry instance.

    What is not idempotent and may have run must not be sent again: it could run twice.
    """
    if reply.outcome in SURELY_NOT_RUN:
        return True
    return reply.request.idempotent and reply.outcome in PERHAPS_RUN
