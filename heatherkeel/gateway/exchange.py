"""One request of a caller, and how it is answered."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Final

from heatherkeel.directory.directory import DirectoryState
from heatherkeel.directory.metrics import ConfigMetrics
from heatherkeel.dispatch.models import JobState
from heatherkeel.helpers.asgi import Request, Send, async_respond, async_respond_problem
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.platform.callers import encode_job_state
from heatherkeel.platform.const import DEADLINE_HEADER
from heatherkeel.platform.operator import Queue
from heatherkeel.platform.settings import DEFAULT_RECORD_BYTES
from heatherkeel.platform.store import StoreClient
from heatherkeel.workspaces.access import PUBLIC_CALLER

from .const import ANSWER_MARGIN_MS, DEFAULT_DEADLINE_MS, MAX_DEADLINE_DIGITS
from .lookup import Lookup
from .metrics import GatewayMetrics
from .reasons import Refusal
from .routing import QueueTable

_LOGGER = logging.getLogger(__name__)
_STATUS_BY_REASON: Final = {
    Refusal.NO_CONFIGURATION: 503,
    Refusal.CONFIG_OUTDATED: 503,
    Refusal.UNKNOWN_KEY: 401,
    Refusal.NO_LAYOUT: 503,
    Refusal.NO_HOME: 503,
    Refusal.NO_SUCH_QUEUE: 404,
    Refusal.NO_SUCH_JOB: 410,
    Refusal.BAD_REQUEST: 400,
    Refusal.TOO_LARGE: 413,
    Refusal.BODY_TOO_SLOW: 408,
    Refusal.NO_MEMORY: 503,
    Refusal.WRONG_METHOD: 405,
    Refusal.NO_ROOM: 503,
    Refusal.BEYOND_WEIGHT: 429,
    Refusal.AT_LIMIT: 429,
    Refusal.NO_JOB_MEMORY: 503,
    Refusal.STORE_AWAY: 503,
    Refusal.STORE_REFUSED: 503,
    Refusal.STORE_SILENT: 504,
    Refusal.OWNER_SILENT: 504,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayContext:
    """Services that the handling of a request uses."""

    store: StoreClient
    directory: DirectoryState
    lookup: Lookup
    metrics: GatewayMetrics
    config_metrics: ConfigMetrics
    async_wait_recent: Callable[[float], Awaitable[None]]
    """Waits until the configuration is recent, for at most so many seconds."""
    accepts_callers: Callable[[], bool]
    """Returns whether this process is ready for callers."""
    admits_by_backlog: Callable[[], bool] = lambda: False
    """Returns whether jobs that surely can't be served are refused."""
    reaches_store: Callable[[], bool] = lambda: True
    """Returns whether the store has answered this process lately, also through other processes."""
    record_bytes: int = DEFAULT_RECORD_BYTES
    """Largest record that the store takes, in bytes."""
    queues: QueueTable = field(default_factory=QueueTable)
    """Finds the queues of requests."""


class Exchange:
    """One request of a caller and its response."""

    def __init__(self, *, context: GatewayContext, request: Request, send: Send) -> None:
        self.context = context
        self.request = request
        self.send = send
        deadline = request.headers.get(DEADLINE_HEADER, "")
        is_valid = deadline.isdecimal() and len(deadline) <= MAX_DEADLINE_DIGITS
        wait_ms = int(deadline) if is_valid else DEFAULT_DEADLINE_MS
        self.deadline_ms = monotonic_ms() + wait_ms - ANSWER_MARGIN_MS
        self.caller = PUBLIC_CALLER
        self.home = ""
        """The service whose partitions accept the queue's jobs; empty until it is looked up."""
        self.partition: int | None = None
        """The partition of the job that the request is about; None until it is looked up."""

    def remaining_s(self) -> float:
        """Return the time until the response has to be sent, in seconds; may be negative."""
        return (self.deadline_ms - monotonic_ms()) / 1000

    def describe_config(self) -> dict[str, int | None]:
        """Return the configuration's version and age for a log line."""
        directory = self.context.directory
        return {
            "version": directory.config_version(),
            "config_age_ms": directory.config_age_ms(),
        }

    def find_partition(self, job_id: str) -> int:
        """Return the partition that accepts a job, whatever service its queue has by now."""
        assert self.home, "requests for queues without a known home are refused"
        partition = self.context.directory.layout.partition_of_job(self.home, job_id)
        assert partition is not None, "a service in the layout is never removed"
        self.partition = partition
        return partition

    def find_other_partition(self, queue: Queue, job_id: str, *, accepting: int) -> int | None:
        """Return the partition that runs a job; None if that is the one that accepts it."""
        layout = self.context.directory.layout
        if accepting in layout.partitions_of(queue.service):
            return None
        return layout.partition_of_job(queue.service, job_id)

    def workspace_of_job(self, queue: Queue) -> str:
        """Return the workspace of a job that the caller submits; none for a public queue."""
        return "" if queue.is_public else self.caller.workspace

    async def async_send_state(self, state: JobState) -> None:
        """Send a job's state."""
        await async_respond(self.send, status=200, body=encode_job_state(state.value))

    async def async_refuse(
        self, reason: Refusal, *, job_id: str = "", detail: str = "", retry_s: int = 0
    ) -> None:
        """Refuse the request; `retry_s` is when it may be sent again, in whole seconds."""
        self.context.metrics.count_refusal(reason, workspace=self.caller.workspace)
        _LOGGER.info(
            "request refused",
            extra={
                "event": "refused",
                "reason": reason.value,
                "job": job_id,
                "method": self.request.method,
                "path": self.request.path,
                "workspace": self.caller.workspace,
                "partition": self.partition,
                "detail": detail,
                **self.describe_config(),
            },
        )
        await async_respond_problem(
            self.send,
            status=_STATUS_BY_REASON[reason],
            kind=reason.value,
            title=reason.value.replace("_", " "),
            detail=detail,
            headers={"retry-after": str(retry_s)} if retry_s else None,
        )
