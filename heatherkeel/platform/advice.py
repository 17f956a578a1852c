"""Calls to the service that knows which workers may run a step."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from .caller import HttpCaller
from .errors import CallError, Failure
from .ranges import Duration, FloatDuration

MARGIN_S = 1.0
"""Added to the time that the advisor says it needs, in seconds."""


class Advisor(msgspec.Struct, frozen=True, kw_only=True):
    """How long the advisor of a queue takes, and how long its tickets are valid, in ms."""

    decision_ms: Duration = msgspec.field(name="decisionMs", default=0)
    per_worker_ms: FloatDuration = msgspec.field(name="perWorkerMs", default=0.0)
    validity_ms: Duration = msgspec.field(name="validityMs", default=0)

    def timeout_s(self, workers: int) -> float:
        """Return the timeout of a call that asks about this number of workers, in seconds."""
        return (self.decision_ms + self.per_worker_ms * workers) / 1000 + MARGIN_S


class Advice(msgspec.Struct, frozen=True, kw_only=True):
    """The tickets of the workers that may run a step."""

    allowed: list[tuple[str, str]] = []
    validity_ms: Duration = msgspec.field(name="validityMs", default=0)

    def tickets(self) -> dict[str, str]:
        """Return each worker's ticket."""
        return dict(self.allowed)


class AdvisorClient:
    """Client of the advisor, which accepts one call from a machine at a time."""

    def __init__(self, *, address: str) -> None:
        self.caller = HttpCaller(address=address, connections=1)

    async def close(self) -> None:
        """Close the connection."""
        await self.caller.close()

    async def async_advise(
        self, step: str, workers: list[str], *, timeout_s: float
    ) -> Result[Advice, CallError]:
        """Ask which of these workers may run a step."""
        called = await self.caller.async_call(
            "POST",
            "/heatherkeel/advise",
            body=msgspec.json.encode({"step": step, "workers": workers}),
            timeout_s=timeout_s,
        )
        if isinstance(called, Err):
            return called
        reply = called.ok_value
        if reply.status != 200:
            failure = Failure.REFUSED if reply.status in (429, 503) else Failure.INVALID
            return Err(CallError(failure=failure, status=reply.status))
        try:
            return Ok(msgspec.json.decode(reply.body, type=Advice))
        except (ValueError, RecursionError) as err:
            return Err(CallError(failure=Failure.INVALID, detail=str(err)))
