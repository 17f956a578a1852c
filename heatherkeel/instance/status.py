"""The application that the platform and operators look at: readiness and metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

from prometheus_client import CONTENT_TYPE_LATEST

from heatherkeel.directory.directory import DirectoryState
from heatherkeel.gateway.metrics import GatewayMetrics
from heatherkeel.helpers.asgi import (
    Message,
    Receive,
    Send,
    async_respond,
    async_respond_json,
    async_respond_problem,
    async_run_lifespan,
)
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.monitoring.const import METRICS_PATH
from heatherkeel.platform.const import READINESS_PATH

STORE_SILENT_MS: Final = 1200
"""Without an answer of the store for this long a process takes no new callers, in milliseconds. A
member renews every 450 ms, so two in a row have failed; others read on each 800 ms."""


class StatusApp:
    """Says whether this process takes callers, and shows its counters."""

    def __init__(
        self,
        *,
        directory: DirectoryState,
        metrics: GatewayMetrics,
        store_heard_ms: Callable[[], int],
    ) -> None:
        self.directory = directory
        self.metrics = metrics
        self.store_heard_ms = store_heard_ms
        self.is_stopping = False

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            return await async_run_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        if scope["path"] == METRICS_PATH:
            return await async_respond(
                send, status=200, body=self.metrics.render(), content_type=CONTENT_TYPE_LATEST
            )
        if scope["path"] != READINESS_PATH:
            return await async_respond_problem(
                send, status=404, kind="no_such_page", title="no such page"
            )
        is_ready = self.is_ready()
        return await async_respond_json(send, {"ready": is_ready}, status=200 if is_ready else 503)

    def is_ready(self) -> bool:
        """Say whether this process should get new callers.

        One that is cut off from the store can accept nothing, while another may. Where none can,
        the platform goes on using all of them.
        """
        heard_ago_ms = monotonic_ms() - self.store_heard_ms()
        return (
            self.directory.config is not None
            and bool(self.directory.layout.shares)
            and not self.is_stopping
            and heard_ago_ms < STORE_SILENT_MS
        )
