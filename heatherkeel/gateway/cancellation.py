"""Cancels a job."""

from __future__ import annotations

import logging

from heatherkeel.dispatch.models import JobState
from heatherkeel.dispatch.records import CANCEL_PREFIX, CANCEL_VALUE, make_caller_key
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.operator import Queue

from .exchange import Exchange
from .query import async_find_state
from .reasons import Refusal
from .storing import async_store

_LOGGER = logging.getLogger(__name__)


async def async_cancel(exchange: Exchange, queue: Queue, job_id: str) -> None:
    """Store a job's cancellation, unless it has ended."""
    found = await async_find_state(exchange, queue, job_id)
    if found is Refusal.NO_SUCH_JOB:
        return await exchange.async_refuse(Refusal.NO_SUCH_JOB, job_id=job_id)
    if not isinstance(found, JobState) or not found.is_final():
        key = make_caller_key(CANCEL_PREFIX, job_id, exchange.workspace_of_job(queue))
        record = KeyedRecord(key=key, value=CANCEL_VALUE)
        if await async_store(exchange, exchange.find_partition(job_id), record, job_id) is not None:
            return None
    _LOGGER.info(
        "cancel accepted",
        extra={
            "event": "cancel_accepted",
            "job": job_id,
            "queue": queue.name,
            "workspace": exchange.caller.workspace,
            **exchange.describe_config(),
        },
    )
    return await exchange.async_send_state(JobState.CANCELED)
