"""What callers of the users' platform send: jobs, questions for their state, cancellations."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any, Final

import httpcore
import msgspec

HOST: Final = "soak.example"
PREFIX: Final = "/soak/"
SERVICE: Final = "portal"
SPARE_SERVICE: Final = "spare"
NEVER_RUNS: Final = frozenset({429, 503})
"""Statuses that promise that a job was not accepted and never runs."""
GONE: Final = 410
NO_SUCH_QUEUE: Final = 404

TASK: Final = {"cpu": 1000, "memMb": 100, "estimatedMs": 200}


def make_queue(*, max_failures: int, name: str = "soak", prefix: str = PREFIX) -> dict[str, Any]:
    """Return a queue as operators write it."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "service": SERVICE,
        "maxAttempts": max_failures,
        "slackFactor": 1.6,
        "targetLatencyMs": 600,
    }


def make_step(*, count: int, lasts: bool = False, depends_on: list[int] | None = None) -> Any:
    """Return one step of a job."""
    step: dict[str, Any] = TASK | {"count": count}
    if lasts:
        step |= {"longRunning": True}
    if depends_on:
        step |= {"dependsOn": depends_on}
    return step


@dataclass(frozen=True, kw_only=True, slots=True)
class Said:
    """What a caller was told."""

    status: int | None
    """None if no whole answer came."""
    body: dict[str, Any] = field(default_factory=dict)


class JobCaller:
    """A caller of one instance that keeps its connection open until that breaks."""

    def __init__(self, *, address: str, timeout_s: float) -> None:
        self.address = address
        self.timeout = dict.fromkeys(("connect", "read", "write", "pool"), timeout_s)
        self.pool = httpcore.AsyncConnectionPool(max_connections=4, retries=0)

    async def close(self) -> None:
        """Close its connections."""
        await self.pool.aclose()

    async def async_submit(self, job_id: str, spec: str, steps: list[Any]) -> Said:
        """Hand a job in."""
        return await self._async_call("POST", PREFIX + job_id, {"spec": spec, "steps": steps})

    async def async_ask(self, job_id: str) -> Said:
        """Ask for a job's state, which stands under `state` in the body."""
        return await self._async_call("GET", PREFIX + job_id)

    async def async_cancel(self, job_id: str) -> Said:
        """Cancel a job."""
        return await self._async_call("DELETE", PREFIX + job_id)

    async def async_count_pending(self, prefix: str = PREFIX) -> Said:
        """Ask how many of a queue's jobs haven't begun."""
        return await self._async_call("GET", prefix)

    async def _async_call(self, method: str, path: str, body: Any = None) -> Said:
        try:
            response = await self.pool.request(
                method,
                f"http://{self.address}{path}",
                headers=[("host", HOST), ("content-type", "application/json")],
                content=msgspec.json.encode(body) if body is not None else None,
                extensions={"timeout": self.timeout},
            )
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException):
            return Said(status=None)
        try:
            decoded = msgspec.json.decode(response.content or b"{}", type=dict[str, Any])
        except ValueError:
            decoded = {}
        return Said(status=response.status, body=decoded)
