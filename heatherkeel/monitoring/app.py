"""ASGI applications that serve the monitoring paths and measure request durations."""

from __future__ import annotations

import time

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST

from heatherkeel.entry.const import OUTCOME_HEADER
from heatherkeel.helpers.asgi import (
    App,
    Message,
    Receive,
    Send,
    async_respond,
    async_respond_json,
    async_respond_problem,
)
from heatherkeel.requests.reasons import Outcome

from .const import HEALTH_PATH, METRICS_PATH, READINESS_PATH
from .metrics import Metrics
from .readiness import NotReadyReason, Readiness

_OUTCOME_NAME = OUTCOME_HEADER.encode()
_OUTCOMES = {outcome.value.encode(): outcome for outcome in Outcome}


class ReadinessAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """The response body of `/readyz`."""

    ready: bool
    reasons: list[NotReadyReason]


class MonitoringApp:
    """Serves the monitoring paths and forwards other requests to the inner application."""

    def __init__(self, *, inner: App, metrics: Metrics, readiness: Readiness) -> None:
        self.inner = inner
        self.metrics = metrics
        self.readiness = readiness

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        paths = (METRICS_PATH, HEALTH_PATH, READINESS_PATH)
        if scope["type"] != "http" or scope["path"] not in paths:
            return await self.inner(scope, receive, send)
        if scope["method"] not in ("GET", "HEAD"):
            return await async_respond_problem(
                send,
                status=405,
                kind="wrong_method",
                title="The path has no such method",
                headers={"allow": "GET, HEAD"},
            )
        return await self._async_answer(scope["path"], send)

    async def _async_answer(self, path: str, send: Send) -> None:
        if path == METRICS_PATH:
            body = self.metrics.render()
            return await async_respond(
                send, status=200, body=body, content_type=CONTENT_TYPE_LATEST
            )
        if path == HEALTH_PATH:
            return await async_respond_json(send, {"alive": True})
        reasons = self.readiness.find_reasons()
        answer = ReadinessAnswer(ready=not reasons, reasons=reasons)
        return await async_respond_json(send, answer, status=503 if reasons else 200)


class TimedApp:
    """Measures request durations by outcome, and counts the requests in progress."""

    def __init__(self, *, inner: App, metrics: Metrics) -> None:
        self.inner = inner
        self.metrics = metrics
        self.in_progress = 0

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] != "http":
            return await self.inner(scope, receive, send)
        started = time.monotonic()
        outcome: Outcome | None = None

        async def async_send(message: Message) -> None:
            nonlocal outcome
            if message["type"] == "http.response.start":
                outcome = find_outcome(message["headers"])
            await send(message)

        self.in_progress += 1
        try:
            await self.inner(scope, receive, async_send)
        finally:
            self.in_progress -= 1
            if outcome is not None:
                self.metrics.observe_request(outcome=outcome, seconds=time.monotonic() - started)
        return None


def find_outcome(headers: list[tuple[bytes, bytes]]) -> Outcome | None:
    """Return the outcome in a response's headers, or None if it is missing or unknown."""
    values = [value for name, value in headers if name == _OUTCOME_NAME]
    return _OUTCOMES.get(values[-1]) if values else None
