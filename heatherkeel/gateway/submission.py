"""Accepts a job."""

from __future__ import annotations

import logging
from dataclasses import dataclass

from result import Err, Ok, Result

from heatherkeel.dispatch.models import JobState
from heatherkeel.dispatch.records import (
    REQUEST_PREFIX,
    StoredRequest,
    encode_request,
    find_size_fault,
    make_caller_key,
)
from heatherkeel.dispatch.terms import make_terms
from heatherkeel.helpers.asgi import (
    BODY_TIMEOUT_S,
    BodyFault,
    BodyTooLarge,
    BodyTooSlow,
    NoMemory,
)
from heatherkeel.helpers.clock import wall_ms
from heatherkeel.http_server.const import MAX_READ_TIMEOUT_S
from heatherkeel.platform.callers import JobRequest, decode_job, estimate_decoded_bytes
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.operator import Queue

from .admission import async_refuse_hopeless, make_attempt_name
from .const import RETRY_SOON_S
from .exchange import Exchange
from .reasons import Refusal
from .storing import async_store

_LOGGER = logging.getLogger(__name__)


async def async_submit(exchange: Exchange, queue: Queue, job_id: str) -> None:
    """Store a job, so that it runs."""
    read = await _async_read(exchange)
    if isinstance(read, Err):
        refused = read.err_value
        return await exchange.async_refuse(
            refused.reason, job_id=job_id, detail=refused.detail, retry_s=refused.retry_s
        )
    partition = exchange.find_partition(job_id)
    other = exchange.find_other_partition(queue, job_id, accepting=partition)
    stored = StoredRequest(
        queue=queue.name,
        service=queue.service,
        accepted_wall_ms=wall_ms(),
        version=exchange.context.directory.config_version(),
        workspace=exchange.workspace_of_job(queue),
        request=read.ok_value,
        # Its partition's owner knows the backlog of its own workers only.
        attempt=make_attempt_name(exchange, read.ok_value) if other is None else "",
        partition=other,
        terms=make_terms(queue),
    )
    if await async_refuse_hopeless(exchange, stored, partition=partition, job_id=job_id):
        return None
    record = KeyedRecord(
        key=make_caller_key(REQUEST_PREFIX, job_id, stored.workspace),
        value=encode_request(stored),
    )
    fault = find_size_fault(stored, record, record_bytes=exchange.context.record_bytes)
    if fault is not None:
        return await exchange.async_refuse(Refusal.TOO_LARGE, job_id=job_id, detail=fault)
    # After a lost or late response of the store, another append would add to its load.
    refusal = await async_store(
        exchange,
        partition,
        record,
        job_id,
        is_stored=lambda: exchange.context.lookup.async_is_accepted(
            partition, job_id, workspace=stored.workspace
        ),
    )
    if refusal is not None:
        return None
    exchange.context.lookup.remember(job_id, stored.workspace)
    _LOGGER.info(
        "job accepted",
        extra={
            "event": "job_accepted",
            "job": job_id,
            "queue": queue.name,
            "workspace": stored.workspace,
            "partition": partition,
            "service": queue.service,
            "forwarded_to": other,
            **exchange.describe_config(),
        },
    )
    return await exchange.async_send_state(JobState.PENDING)


@dataclass(frozen=True, kw_only=True, slots=True)
class RefusedBody:
    """Why a job's body isn't accepted."""

    reason: Refusal
    detail: str = ""
    retry_s: int = 0


async def _async_read(exchange: Exchange) -> Result[JobRequest, RefusedBody]:
    """Read and decode the body, as far as there is memory for it."""
    config = exchange.context.directory.config
    limit = config.limits.body_bytes if config else 0
    timeout_s = min(max(BODY_TIMEOUT_S, exchange.remaining_s()), MAX_READ_TIMEOUT_S)
    body = await exchange.request.async_body(limit_bytes=limit, timeout_s=timeout_s)
    if isinstance(body, Err):
        return Err(_describe_fault(body.err_value))
    decoded_bytes = estimate_decoded_bytes(body.ok_value)
    if not exchange.request.account.fits(decoded_bytes):
        detail = f"its values take {decoded_bytes} bytes once they are decoded"
        return Err(RefusedBody(reason=Refusal.TOO_LARGE, detail=detail))
    if not exchange.request.account.take(decoded_bytes):
        return Err(RefusedBody(reason=Refusal.NO_MEMORY, retry_s=RETRY_SOON_S))
    decoded = decode_job(body.ok_value)
    if isinstance(decoded, Err):
        return Err(RefusedBody(reason=Refusal.BAD_REQUEST, detail=decoded.err_value))
    return Ok(decoded.ok_value)


def _describe_fault(fault: BodyFault) -> RefusedBody:
    match fault:
        case BodyTooLarge(limit_bytes=limit):
            return RefusedBody(reason=Refusal.TOO_LARGE, detail=f"at most {limit} bytes are taken")
        case BodyTooSlow(timeout_s=timeout_s):
            return RefusedBody(
                reason=Refusal.BODY_TOO_SLOW, detail=f"waited {timeout_s:g} s for the body"
            )
        case NoMemory():
            return RefusedBody(reason=Refusal.NO_MEMORY, retry_s=RETRY_SOON_S)
