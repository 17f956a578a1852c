"""Client of the platform's task interface; it never retries."""

from __future__ import annotations

from urllib.parse import quote

import msgspec
from result import Result

from .client import PlatformClient
from .errors import PlatformError
from .tasks import StopRequest, TaskList, TaskRequest, TaskView, ThrottleRequest

_ENCODER = msgspec.json.Encoder()


class TaskClient:
    """Client for the tasks on the platform's workers."""

    def __init__(self, *, client: PlatformClient) -> None:
        self.client = client

    async def async_list(self, *, after: int) -> Result[TaskList, PlatformError]:
        """Read the tasks that changed after a change number; 0 reads all."""
        return await self.client.async_call("GET", f"/tasks?after={after}", TaskList)

    async def async_start(self, task: str, request: TaskRequest) -> Result[TaskView, PlatformError]:
        """Start a task; a repeat with the same id has no effect."""
        return await self._async_send("PUT", _path(task), request)

    async def async_stop(self, task: str, instance: str) -> Result[TaskView, PlatformError]:
        """Stop a task; one that hasn't started becomes void."""
        return await self._async_send("POST", _path(task, "stop"), StopRequest(instance=instance))

    async def async_checkpoint(self, task: str) -> Result[TaskView, PlatformError]:
        """Request a checkpoint, after which the task stops."""
        return await self._async_send("POST", _path(task, "checkpoint"), None)

    async def async_throttle(
        self, task: str, request: ThrottleRequest
    ) -> Result[TaskView, PlatformError]:
        """Limit the CPU use of a task."""
        return await self._async_send("POST", _path(task, "throttle"), request)

    async def _async_send(
        self, method: str, path: str, body: msgspec.Struct | None
    ) -> Result[TaskView, PlatformError]:
        encoded = b"" if body is None else _ENCODER.encode(body)
        return await self.client.async_call(method, path, TaskView, encoded)


def _path(task: str, action: str = "") -> str:
    suffix = f"/{action}" if action else ""
    return f"/tasks/{quote(task, safe=':')}{suffix}"
