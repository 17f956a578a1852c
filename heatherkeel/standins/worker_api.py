"""A worker as its callers see it: starts, stops and listings, with faults."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
import trio

from heatherkeel.helpers.asgi import Request

from .faults import Faults
from .fleet_worker import FleetWorker
from .keyed_log import Answer


def make_ticket(step: str, worker_id: str) -> str:
    """Return the ticket of a worker for a step."""
    return f"ticket-{step}-{worker_id}"


def _has_ticket(worker: FleetWorker, order: dict[str, Any]) -> bool:
    step = order["task"].rsplit(".", 1)[0]
    return bool(order.get("ticket") == make_ticket(step, worker.id))


@dataclass(kw_only=True, slots=True)
class WorkerApi:
    """Answers calls to workers."""

    faults: Faults
    needs_tickets: bool = False

    async def async_handle(self, worker: FleetWorker, request: Request, body: bytes) -> Answer:
        """Answer one call to a worker; a life that is over or cut off answers nothing."""
        if worker.is_over or worker.is_cut_off:
            await trio.sleep_forever()
        answer = await self._async_answer(worker, request, body)
        if worker.is_cut_off:
            await trio.sleep_forever()
        return answer

    async def _async_answer(self, worker: FleetWorker, request: Request, body: bytes) -> Answer:
        if request.headers.get("heatherkeel-target-instance") != worker.id:
            return Answer(status=421)
        decoded = msgspec.json.decode(body) if body else {}
        match request.path.rsplit("/", 1)[-1]:
            case "run-start":
                if self.faults.lose_starts:
                    self.faults.lose_starts -= 1
                    await trio.sleep(self.faults.late_start_s)
                    if not worker.is_over:
                        worker.start_task(decoded)
                    await trio.sleep_forever()
                if self.needs_tickets and not _has_ticket(worker, decoded):
                    body_409 = {"clockMs": worker.clock_ms(), "reason": "ticket"}
                    return Answer(status=409, body=body_409)
                return worker.start_task(decoded)
            case "run-stop":
                return worker.stop_task(decoded)
            case "hold":
                if self.faults.lose_listings and decoded.get("waitMs"):
                    self.faults.lose_listings -= 1
                    await trio.sleep_forever()
                return await worker.async_hold(decoded)
        return Answer(status=404)
