"""Runs a plan: every request at its own time, whatever became of those before it."""

from __future__ import annotations

import uuid
from collections import Counter
from collections.abc import Iterable
from dataclasses import replace

import httpcore
import msgspec
import trio

from .client import LoadClient
from .const import COUNTS_PATH
from .models import Outcome, Plan, PlannedRequest, Reply, Report
from .plan import plan_requests
from .tally import Tally


class TargetCounts(msgspec.Struct, frozen=True, kw_only=True):
    """What is read of a target stand-in's counts: runs by request id."""

    runs: dict[str, int]


class LoadRun:
    """One open-loop run."""

    def __init__(self, *, plan: Plan) -> None:
        self.plan = plan
        self.client = LoadClient(timeout_ms=plan.timeout_ms)
        self.tally = Tally()
        self.in_flight = 0

    async def async_run(self) -> Report:
        """Send everything, wait for the last answer or timeout, and report."""
        requests = plan_requests(self.plan, run_id=uuid.uuid4().hex[:16])
        start_s = trio.current_time()
        try:
            await self._async_send_all(requests, start_s)
        finally:
            await self.client.close()
        elapsed_s = trio.current_time() - start_s
        checked = await self._async_compare()
        offered_per_s = len(requests) / max(elapsed_s, 1e-9)
        if requests and requests[-1].at_s > 0:
            offered_per_s = len(requests) / requests[-1].at_s
        report = self.tally.report(
            planned=len(requests), elapsed_s=elapsed_s, offered_per_s=offered_per_s
        )
        return replace(report, checked_targets=checked)

    async def _async_send_all(self, requests: Iterable[PlannedRequest], start_s: float) -> None:
        async with trio.open_nursery() as nursery:
            for request in requests:
                intended_s = start_s + request.at_s
                await trio.sleep_until(intended_s)
                if self.in_flight >= self.plan.max_in_flight:
                    self.tally.add(_not_sent(request))
                    continue
                self.in_flight += 1
                nursery.start_soon(self._async_send, request, intended_s)

    async def _async_send(self, request: PlannedRequest, intended_s: float) -> None:
        reply = await self.client.async_send(request, intended_s=intended_s)
        self.in_flight -= 1
        self.tally.add(reply)

    async def _async_compare(self) -> int:
        """Compare with the targets' own counts and return how many targets answered."""
        runs: Counter[str] = Counter()
        checked = 0
        for address in self.plan.targets:
            counts = await async_read_runs(address)
            if counts is None:
                continue
            runs.update(counts)
            checked += 1
        if checked:
            self.tally.compare(runs)
        return checked


async def async_read_runs(address: str) -> dict[str, int] | None:
    """Read from a target stand-in how often it ran each request id; None if it doesn't answer."""
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        try:
            with trio.fail_after(10):
                response = await pool.request("GET", f"http://{address}{COUNTS_PATH}")
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            return None
    return msgspec.json.decode(response.content, type=TargetCounts).runs


def _not_sent(request: PlannedRequest) -> Reply:
    return Reply(request=request, outcome=Outcome.NOT_SENT, reason="max_in_flight", latency_us=0)
