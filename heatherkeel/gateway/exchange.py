"""One request of a caller: what it asks for, and its answer."""

from __future__ import annotations

import logging
import re
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Final

import trio
from result import Err

from heatherkeel.directory.directory import DirectoryState
from heatherkeel.dispatch.models import JobState
from heatherkeel.dispatch.records import (
    CANCEL_PREFIX,
    REQUEST_PREFIX,
    StoredRequest,
    encode_request,
)
from heatherkeel.helpers.asgi import (
    Request,
    Send,
    async_respond,
    async_respond_problem,
)
from heatherkeel.helpers.clock import monotonic_ms, wall_ms
from heatherkeel.ownership.const import JOBS_TOPIC
from heatherkeel.platform.callers import (
    decode_job,
    encode_job_state,
    encode_queue_length,
)
from heatherkeel.platform.const import DEADLINE_HEADER
from heatherkeel.platform.errors import Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.operator import Queue
from heatherkeel.platform.store import StoreClient

from .const import (
    ANSWER_MARGIN_MS,
    APPEND_TIMEOUT_S,
    CUT_OFF_LOOKUP_S,
    DEFAULT_DEADLINE_MS,
    REPEAT_PAUSE_S,
    RETRY_AWAY_S,
    RETRY_BUSY_S,
)
from .lookup import Lookup
from .metrics import GatewayMetrics
from .reasons import Refusal
from .routing import find_queue

_LOGGER = logging.getLogger(__name__)
_JOB_ID: Final = re.compile(r"[0-9a-f]{16}\Z")
_TOO_MANY: Final = 429
_STATUS: Final = {
    Refusal.NO_CONFIGURATION: 503,
    Refusal.NO_LAYOUT: 503,
    Refusal.NO_SUCH_QUEUE: 404,
    Refusal.NO_SUCH_JOB: 410,
    Refusal.BAD_REQUEST: 400,
    Refusal.TOO_LARGE: 413,
    Refusal.WRONG_METHOD: 405,
    Refusal.STORE_AWAY: 503,
    Refusal.STORE_REFUSED: 503,
    Refusal.STORE_SILENT: 504,
    Refusal.OWNER_SILENT: 504,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class GatewayParts:
    """What requests are answered from."""

    store: StoreClient
    directory: DirectoryState
    lookup: Lookup
    metrics: GatewayMetrics
    takes_callers: Callable[[], bool]
    """Whether this process should get callers now."""


class Exchange:
    """One request of a caller, and its answer."""

    def __init__(self, *, parts: GatewayParts, request: Request, send: Send) -> None:
        self.parts = parts
        self.request = request
        self.send = send
        deadline = request.headers.get(DEADLINE_HEADER, "")
        wait_ms = int(deadline) if deadline.isdecimal() else DEFAULT_DEADLINE_MS
        self.deadline_ms = monotonic_ms() + wait_ms - ANSWER_MARGIN_MS

    async def async_serve(self) -> None:
        """Answer the request."""
        config = self.parts.directory.config
        if config is None:
            return await self._async_refuse(Refusal.NO_CONFIGURATION, retry_s=RETRY_BUSY_S)
        path = self.request.path
        queue = find_queue(config, host=self.request.headers.get("host", ""), path=path)
        if queue is None:
            return await self._async_refuse(Refusal.NO_SUCH_QUEUE)
        job_id = path[len(queue.path_prefix) :]
        actions: dict[str, Callable[[Queue, str], Awaitable[None]]] = {
            "POST": self._async_submit,
            "GET": self._async_tell,
            "DELETE": self._async_cancel,
        }
        action = actions.get(self.request.method)
        if action is None:
            return await self._async_refuse(Refusal.WRONG_METHOD)
        if not self.parts.directory.layout.partitions_of(queue.service):
            # A new service, or a process that has just started: no job of it is stored anywhere
            # before every process would send it to the same owner.
            return await self._async_refuse(Refusal.NO_LAYOUT, retry_s=RETRY_BUSY_S)
        if not job_id and self.request.method == "GET":
            return await self._async_tell_length(queue)
        if not _JOB_ID.match(job_id):
            return await self._async_refuse(Refusal.NO_SUCH_QUEUE)
        return await action(queue, job_id)

    def _partition(self, queue: Queue, job_id: str) -> int:
        partition = self.parts.directory.layout.partition_of_job(queue.service, job_id)
        assert partition is not None, "a service that is laid out stays so"
        return partition

    async def _async_submit(self, queue: Queue, job_id: str) -> None:
        config = self.parts.directory.config
        limit = config.limits.body_bytes if config else 0
        body = await self.request.async_body(limit_bytes=limit)
        if isinstance(body, Err):
            return await self._async_refuse(Refusal.TOO_LARGE, job_id=job_id)
        decoded = decode_job(body.ok_value)
        if isinstance(decoded, Err):
            return await self._async_refuse(
                Refusal.BAD_REQUEST, job_id=job_id, detail=decoded.err_value
            )
        stored = StoredRequest(
            queue=queue.name,
            service=queue.service,
            accepted_wall_ms=wall_ms(),
            request=decoded.ok_value,
        )
        record = KeyedRecord(key=f"{REQUEST_PREFIX}{job_id}", value=encode_request(stored))
        partition = self._partition(queue, job_id)
        # Where answers of the store are lost, or late, another append would only add to its load.
        refusal = await self._async_store(
            partition,
            record,
            job_id,
            is_stored=lambda: self.parts.lookup.async_is_taken(partition, job_id),
        )
        if refusal is not None:
            return None
        self.parts.lookup.remember(job_id)
        _LOGGER.info(
            "job accepted",
            extra={
                "event": "job_accepted",
                "job": job_id,
                "queue": queue.name,
                "partition": partition,
                "version": config.version if config else 0,
            },
        )
        return await self._async_tell_state(JobState.PENDING)

    async def _async_store(
        self,
        partition: int,
        record: KeyedRecord,
        job_id: str,
        *,
        is_stored: Callable[[], Awaitable[bool]] | None = None,
    ) -> Refusal | None:
        """Store a record, and answer the caller if that can't be done in time.

        `is_stored` finds out whether an append that wasn't answered has been done all the same.
        "Not accepted" is said only if no append was left without an answer: such an append may
        be carried out seconds later.
        """
        is_unknown = False
        if self.parts.store.find_health(JOBS_TOPIC, partition).is_unavailable():
            await self._async_refuse(Refusal.STORE_AWAY, job_id=job_id, retry_s=RETRY_AWAY_S)
            return Refusal.STORE_AWAY
        while True:
            left_s = (self.deadline_ms - monotonic_ms()) / 1000
            if left_s <= 0:
                break
            appended = await self.parts.store.async_append(
                JOBS_TOPIC,
                partition,
                [record],
                longest_s=min(APPEND_TIMEOUT_S, left_s),
            )
            if not isinstance(appended, Err):
                return None
            error = appended.err_value
            is_unknown |= error.failure is not Failure.REFUSED
            if not is_unknown:
                retry_s = RETRY_BUSY_S if error.status == _TOO_MANY else RETRY_AWAY_S
                await self._async_refuse(
                    Refusal.STORE_REFUSED, job_id=job_id, detail=error.detail, retry_s=retry_s
                )
                return Refusal.STORE_REFUSED
            if is_stored is not None and await is_stored():
                return None
            await trio.sleep(REPEAT_PAUSE_S)
        await self._async_refuse(Refusal.STORE_SILENT, job_id=job_id)
        return Refusal.STORE_SILENT

    async def _async_tell(self, queue: Queue, job_id: str) -> None:
        found = await self._async_find(queue, job_id)
        if isinstance(found, Refusal):
            return await self._async_refuse(found, job_id=job_id)
        return await self._async_tell_state(found)

    async def _async_find(self, queue: Queue, job_id: str) -> JobState | Refusal:
        """Return a job's state, or why it can't be told."""
        found: JobState | Err[str] | None = Err("no answer in time")
        left_s = max(0.0, (self.deadline_ms - monotonic_ms()) / 1000)
        if not self.parts.takes_callers():
            left_s = min(left_s, CUT_OFF_LOOKUP_S)
        with trio.move_on_after(left_s):
            found = await self.parts.lookup.async_find_state(self._partition(queue, job_id), job_id)
        if isinstance(found, Err):
            return Refusal.OWNER_SILENT
        return Refusal.NO_SUCH_JOB if found is None else found

    async def _async_cancel(self, queue: Queue, job_id: str) -> None:
        found = await self._async_find(queue, job_id)
        if found is Refusal.NO_SUCH_JOB:
            return await self._async_refuse(Refusal.NO_SUCH_JOB, job_id=job_id)
        if not isinstance(found, JobState) or not found.is_final():
            record = KeyedRecord(key=f"{CANCEL_PREFIX}{job_id}", value=b"1")
            if await self._async_store(self._partition(queue, job_id), record, job_id) is not None:
                return None
        _LOGGER.info(
            "cancel accepted",
            extra={"event": "cancel_accepted", "job": job_id, "queue": queue.name},
        )
        return await self._async_tell_state(JobState.CANCELED)

    async def _async_tell_length(self, queue: Queue) -> None:
        pending: int | None = None
        with trio.move_on_after(max(0.0, (self.deadline_ms - monotonic_ms()) / 1000)):
            partitions = self.parts.directory.layout.partitions_of(queue.service)
            pending = await self.parts.lookup.async_count_pending(partitions, queue.name)
        if pending is None:
            return await self._async_refuse(Refusal.OWNER_SILENT)
        return await async_respond(self.send, status=200, body=encode_queue_length(pending))

    async def _async_tell_state(self, state: JobState) -> None:
        await async_respond(self.send, status=200, body=encode_job_state(state.value))

    async def _async_refuse(
        self, reason: Refusal, *, job_id: str = "", detail: str = "", retry_s: int = 0
    ) -> None:
        self.parts.metrics.count_refusal(reason)
        _LOGGER.info(
            "request refused",
            extra={
                "event": "refused",
                "reason": reason.value,
                "job": job_id,
                "method": self.request.method,
                "path": self.request.path,
                "detail": detail,
            },
        )
        await async_respond_problem(
            self.send,
            status=_STATUS[reason],
            kind=reason.value,
            title=reason.value.replace("_", " "),
            detail=detail,
            headers={"retry-after": str(retry_s)} if retry_s else None,
        )
