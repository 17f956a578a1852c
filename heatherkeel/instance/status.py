"""ASGI application for the readiness probe and the metrics endpoint."""

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

STORE_ANSWER_MAX_AGE_MS: Final = 1200
"""Age of the store's last answer at which a process stops being ready, in milliseconds. Two
consecutive renewals of a member, 450 ms apart, have then failed."""


class StatusApp:
    """Serves the readiness and the metrics of this process."""

    def __init__(
        self,
        *,
        directory: DirectoryState,
        metrics: GatewayMetrics,
        store_answered_ms: Callable[[], int],
    ) -> None:
        self.directory = directory
        self.metrics = metrics
        self.store_answered_ms = store_answered_ms
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
        """Return whether this process should receive new callers.

        A process that is cut off from the store can't accept jobs, while others may. One whose
        configuration may be outdated would deny queues that others serve. If no process is ready,
        the platform keeps using all of them.
        """
        return (
            self.directory.is_config_recent()
            and bool(self.directory.layout.shares)
            and not self.is_stopping
            and self.reaches_store()
        )

    def reaches_store(self) -> bool:
        """Return whether the store has answered this process lately."""
        return monotonic_ms() - self.store_answered_ms() < STORE_ANSWER_MAX_AGE_MS
