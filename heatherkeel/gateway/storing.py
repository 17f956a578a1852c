"""Stores the records of callers: submissions and cancellations."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Final

import trio
from result import Err, Result

from heatherkeel.ownership.const import JOBS_TOPIC
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord

from .const import (
    APPEND_RETRY_DELAY_S,
    APPEND_TIMEOUT_S,
    OWNER_TIME_FRACTION,
    RETRY_LATER_S,
    RETRY_SOON_S,
)
from .exchange import Exchange
from .reasons import Refusal

_TOO_MANY_REQUESTS: Final = 429


async def async_store(
    exchange: Exchange,
    partition: int,
    record: KeyedRecord,
    job_id: str,
    *,
    is_stored: Callable[[], Awaitable[bool]] | None = None,
) -> Refusal | None:
    """Store a record; if that fails, send the refusal to the caller and return it.

    `is_stored` checks whether an append without a response has taken effect. The record is
    reported as not accepted only if every append was refused, since an append without a
    response may still take effect.
    """
    outcome_unknown = False
    if exchange.context.store.find_health(JOBS_TOPIC, partition).is_unavailable():
        await exchange.async_refuse(Refusal.STORE_AWAY, job_id=job_id, retry_s=RETRY_LATER_S)
        return Refusal.STORE_AWAY
    while True:
        remaining_s = exchange.remaining_s()
        if remaining_s <= 0:
            break
        appended = await _async_append(exchange, partition, record, remaining_s=remaining_s)
        if not isinstance(appended, Err):
            return None
        error = appended.err_value
        if error.is_final() and not outcome_unknown:
            await exchange.async_refuse(Refusal.TOO_LARGE, job_id=job_id, detail=error.detail)
            return Refusal.TOO_LARGE
        outcome_unknown |= error.failure is not Failure.REFUSED
        if not outcome_unknown:
            retry_s = RETRY_SOON_S if error.status == _TOO_MANY_REQUESTS else RETRY_LATER_S
            await exchange.async_refuse(
                Refusal.STORE_REFUSED, job_id=job_id, detail=error.detail, retry_s=retry_s
            )
            return Refusal.STORE_REFUSED
        if is_stored is not None and await is_stored():
            return None
        await trio.sleep(APPEND_RETRY_DELAY_S)
    await exchange.async_refuse(Refusal.STORE_SILENT, job_id=job_id)
    return Refusal.STORE_SILENT


async def _async_append(
    exchange: Exchange, partition: int, record: KeyedRecord, *, remaining_s: float
) -> Result[None, CallError]:
    """Append a record: through the partition's owner if the store is slow, else directly.

    Appends are idempotent, so a second way may be tried after the first.
    """
    if exchange.context.store.is_slow():
        stored = await exchange.context.lookup.async_store(
            partition, record, timeout_s=remaining_s * OWNER_TIME_FRACTION
        )
        if stored is not None:
            return stored
    return await exchange.context.store.async_append(
        JOBS_TOPIC, partition, [record], longest_s=min(APPEND_TIMEOUT_S, remaining_s)
    )
