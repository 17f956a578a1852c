"""Returns the state of a job, or the length of a queue."""

from __future__ import annotations

import logging

import trio
from result import Err

from heatherkeel.dispatch.models import JobState
from heatherkeel.helpers.asgi import async_respond
from heatherkeel.platform.callers import encode_queue_length
from heatherkeel.platform.operator import Queue

from .const import NOT_READY_LOOKUP_TIMEOUT_S
from .exchange import Exchange
from .lookup import FoundJob
from .reasons import Refusal

_LOGGER = logging.getLogger(__name__)


async def async_query(exchange: Exchange, queue: Queue, job_id: str) -> None:
    """Send a job's state."""
    found = await async_find_state(exchange, queue, job_id)
    if isinstance(found, Refusal):
        return await exchange.async_refuse(found, job_id=job_id)
    return await exchange.async_send_state(found)


async def async_find_state(exchange: Exchange, queue: Queue, job_id: str) -> JobState | Refusal:
    """Return a job's state, or the reason why it is not available."""
    found: FoundJob | Err[str] | None = Err("no answer in time")
    remaining_s = max(0.0, exchange.remaining_s())
    if not exchange.context.accepts_callers():
        remaining_s = min(remaining_s, NOT_READY_LOOKUP_TIMEOUT_S)
    with trio.move_on_after(remaining_s):
        found = await exchange.context.lookup.async_find_job(
            exchange.find_partition(job_id), job_id
        )
    if isinstance(found, Err):
        return Refusal.OWNER_SILENT
    if found is None:
        return Refusal.NO_SUCH_JOB
    if not queue.is_public and not exchange.caller.may_use(found.workspace):
        # The same answer as for a job that doesn't exist: callers of one workspace learn
        # nothing of another's jobs.
        _log_foreign_job(exchange, job_id, found.workspace)
        return Refusal.NO_SUCH_JOB
    return found.state


def _log_foreign_job(exchange: Exchange, job_id: str, workspace: str) -> None:
    _LOGGER.info(
        "job belongs to another workspace",
        extra={
            "event": "foreign_job",
            "job": job_id,
            "workspace": exchange.caller.workspace,
            "job_workspace": workspace,
            **exchange.describe_config(),
        },
    )


async def async_send_queue_length(exchange: Exchange, queue: Queue) -> None:
    """Send the number of a queue's pending jobs."""
    pending: int | None = None
    with trio.move_on_after(max(0.0, exchange.remaining_s())):
        directory = exchange.context.directory
        # A queue whose home isn't known yet has no jobs.
        home = directory.find_home(queue) or queue.service
        partitions = directory.layout.partitions_of(home)
        pending = await exchange.context.lookup.async_count_pending(partitions, queue.name)
    if pending is None:
        return await exchange.async_refuse(Refusal.OWNER_SILENT)
    _LOGGER.info(
        "queue length answered",
        extra={
            "event": "queue_counted",
            "path": exchange.request.path,
            "pending": pending,
            **exchange.describe_config(),
        },
    )
    return await async_respond(exchange.send, status=200, body=encode_queue_length(pending))
