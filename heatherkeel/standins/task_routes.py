"""The task interface of the platform's stand-in over HTTP."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec
import trio

from heatherkeel.fleetlog.tasks import StopRequest, TaskRequest, TaskView, ThrottleRequest
from heatherkeel.helpers.asgi import Request, Send, async_respond, async_respond_json

from .tasks import TaskFaults, TaskTable

MAX_BODY_BYTES: Final = 1024 * 1024
_FOREVER_S: Final = 3_600


class TaskRoutes:
    """Serves `/tasks` for the platform's stand-in, and its faults and counts for tests."""

    def __init__(self, *, now_ms: Callable[[], int]) -> None:
        self.now_ms = now_ms
        self.table = TaskTable()
        self.throttled: dict[str, int] = {}

    async def async_route(self, request: Request, send: Send, parts: list[str]) -> None:
        """Serve one call of the task interface."""
        self.table.advance(self.now_ms())
        match (request.method, parts):
            case ("GET", []):
                after = int(request.query.get("after", "0"))
                await async_respond_json(send, self.table.changed_since(after))
            case ("PUT", [task]):
                await self._async_start(request, send, task)
            case ("POST", [task, "stop"]):
                body = (await request.async_body(limit_bytes=MAX_BODY_BYTES)).unwrap()
                instance = msgspec.json.decode(body, type=StopRequest).instance
                await async_respond_json(send, self.table.stop(task, instance, self.now_ms()))
            case ("POST", [task, "checkpoint"]):
                self.table.checkpoint(task, self.now_ms())
                await self._async_show(send, task)
            case ("POST", [task, "throttle"]):
                body = (await request.async_body(limit_bytes=MAX_BODY_BYTES)).unwrap()
                throttle = msgspec.json.decode(body, type=ThrottleRequest)
                self.throttled[task] = throttle.cpu_millicores
                await self._async_show(send, task)
            case _:
                await async_respond(send, status=404)

    async def async_control(self, request: Request, send: Send, parts: list[str]) -> None:
        """Set faults, reboot a worker, or show what really ran."""
        match (request.method, parts):
            case ("PUT", ["faults"]):
                body = (await request.async_body(limit_bytes=MAX_BODY_BYTES)).unwrap()
                self.table.faults = msgspec.json.decode(body, type=TaskFaults)
                await async_respond_json(send, self.table.faults)
            case ("POST", ["reboot", instance]):
                self.table.reboot(instance)
                await async_respond_json(send, {"instance": instance})
            case ("GET", ["counts"]):
                self.table.advance(self.now_ms())
                counts = {
                    "fresh_runs": self.table.fresh_runs,
                    "successes": self.table.successes,
                    "throttled": self.throttled,
                }
                await async_respond_json(send, counts)
            case _:
                await async_respond(send, status=404)

    async def _async_start(self, request: Request, send: Send, task: str) -> None:
        body = (await request.async_body(limit_bytes=MAX_BODY_BYTES)).unwrap()
        faults = self.table.faults
        if faults.lose_starts > 0:
            faults.lose_starts -= 1
            await trio.sleep(_FOREVER_S)
        start = msgspec.json.decode(body, type=TaskRequest)
        view = self.table.start(task, start, self.now_ms())
        if faults.lose_start_answers > 0:
            faults.lose_start_answers -= 1
            await trio.sleep(_FOREVER_S)
        await async_respond_json(send, view)

    async def _async_show(self, send: Send, task: str) -> None:
        view = self._find(task)
        if view is None:
            return await async_respond(send, status=404)
        return await async_respond_json(send, view)

    def _find(self, task: str) -> TaskView | None:
        found = self.table.tasks.get(task)
        return None if found is None else found.view
