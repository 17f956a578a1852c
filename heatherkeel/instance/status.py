"""The application that the platform and operators look at: readiness and metrics."""

from __future__ import annotations

from prometheus_client import CONTENT_TYPE_LATEST

from heatherkeel.directory.directory import DirectoryState
from heatherkeel.dispatch.owner import PartitionOwner
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
from heatherkeel.monitoring.const import METRICS_PATH
from heatherkeel.platform.const import READINESS_PATH


class StatusApp:
    """Says whether this process takes callers, and shows its counters."""

    def __init__(
        self,
        *,
        directory: DirectoryState,
        metrics: GatewayMetrics,
        owners: dict[int, PartitionOwner],
    ) -> None:
        self.directory = directory
        self.metrics = metrics
        self.owners = owners
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
        is_ready = self.directory.config is not None and not self.is_stopping
        return await async_respond_json(send, {"ready": is_ready}, status=200 if is_ready else 503)
