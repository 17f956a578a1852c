"""Asks the owner of a job's partition whether the job may be stored."""

from __future__ import annotations

import logging
import uuid
from typing import Final

import msgspec
import trio

from heatherkeel.admission.const import ANSWER_WAIT_S
from heatherkeel.admission.models import Doubt, RefusalReason
from heatherkeel.dispatch.building import (
    LARGE_JOB_BYTES,
    critical_paths_ms,
    estimate_kept_bytes,
    remaining_work,
)
from heatherkeel.dispatch.records import StoredRequest
from heatherkeel.helpers.clock import wall_ms
from heatherkeel.ownership.const import JOBS_TOPIC
from heatherkeel.platform.callers import JobRequest
from heatherkeel.questions.messages import AdmissionAnswer, AdmissionQuestion

from .const import MAX_AWAY_RETRY_S
from .exchange import Exchange
from .reasons import Refusal

_LOGGER = logging.getLogger(__name__)
_MEMORY_UNKNOWN: Final = frozenset(
    {
        Doubt.NEW_OWNER.value,
        Doubt.NOT_CURRENT.value,
        Doubt.OLD_QUESTION.value,
        Doubt.STORE_SILENT.value,
    }
)
_KNOWN_REASONS: Final = frozenset(reason.value for reason in RefusalReason)


def make_attempt_name(exchange: Exchange, request: JobRequest) -> str:
    """Return a name for a submission; empty where its partition's owner needn't admit it."""
    is_asked = exchange.context.admits_by_backlog() or is_large(request)
    return uuid.uuid4().hex[:12] if is_asked else ""


def is_large(request: JobRequest) -> bool:
    """Return whether a job takes so much memory that its partition's owner is asked first."""
    return estimate_kept_bytes(request) >= LARGE_JOB_BYTES


async def async_refuse_hopeless(
    exchange: Exchange, stored: StoredRequest, *, partition: int, job_id: str
) -> bool:
    """Refuse a job that surely can't be served; returns whether it was refused.

    A job is accepted if its owner doesn't answer, since its backlog isn't known then.
    """
    if not _needs_admission(exchange, stored, partition=partition, job_id=job_id):
        return False
    question = _make_question(exchange, stored, partition=partition, job_id=job_id)
    if not exchange.context.reaches_store():
        return await _async_refuse_without_store(exchange, question)
    if exchange.context.store.find_health(JOBS_TOPIC, partition).is_unavailable():
        # The caller is told so at once.
        return False
    answer = await _async_ask(exchange, question)
    if question.kept_bytes and _is_memory_unknown(answer):
        # Whether an earlier submission was stored isn't known, so this doesn't say "never runs".
        await exchange.async_refuse(Refusal.OWNER_SILENT, job_id=job_id)
        return True
    if answer is None or answer.refusal not in _KNOWN_REASONS:
        # An owner of a later release may have reasons that aren't known here; its job is accepted.
        return False
    _log_expected(question, answer)
    await exchange.async_refuse(
        Refusal(answer.refusal), job_id=job_id, detail=_describe(answer), retry_s=answer.retry_s
    )
    return True


def _is_memory_unknown(answer: AdmissionAnswer | None) -> bool:
    return answer is None or answer.doubt in _MEMORY_UNKNOWN


def _make_question(
    exchange: Exchange, stored: StoredRequest, *, partition: int, job_id: str
) -> AdmissionQuestion:
    steps = stored.request.steps
    kept_bytes = estimate_kept_bytes(stored.request)
    by_backlog = exchange.context.admits_by_backlog() and can_be_refused(stored.request)
    return AdmissionQuestion(
        partition=partition,
        job_id=job_id,
        queue=stored.queue,
        workspace=stored.workspace,
        attempt=stored.attempt,
        sent_wall_ms=wall_ms(),
        work=round(max(remaining_work(steps)), 1),
        path_ms=max(critical_paths_ms(steps)),
        steps=steps if by_backlog else (),
        kept_bytes=kept_bytes if kept_bytes >= LARGE_JOB_BYTES else 0,
        only_memory=not by_backlog,
    )


async def _async_ask(exchange: Exchange, question: AdmissionQuestion) -> AdmissionAnswer | None:
    """Ask the owner; None if it doesn't answer in time."""
    answer: AdmissionAnswer | None = None
    with trio.move_on_after(max(0.0, min(ANSWER_WAIT_S, exchange.remaining_s()))):
        answer = await exchange.context.lookup.async_ask_admission(question)
    if answer is None:
        _record_silence(exchange, question)
    return answer


async def _async_refuse_without_store(exchange: Exchange, question: AdmissionQuestion) -> bool:
    """Refuse a job while the store answers nothing, if its owner surely doesn't know it.

    An append would hold the caller until its deadline. Nothing was sent, so the job never runs,
    unless another process has stored it or is about to. Each of them asks the owner first; only one
    that got no answer may have stored it all the same.
    """
    known = msgspec.structs.replace(question, only_known=True)
    answer = await _async_ask(exchange, known)
    if answer is None or answer.doubt:
        return False
    await exchange.async_refuse(
        Refusal.STORE_AWAY,
        job_id=question.job_id,
        retry_s=spread_retry_s(question.job_id),
    )
    return True


def spread_retry_s(job_id: str) -> int:
    """Return a Retry-After by the job's ID, in seconds, so that those refused return spread."""
    return 1 + int(job_id, 16) % MAX_AWAY_RETRY_S


def _needs_admission(
    exchange: Exchange, stored: StoredRequest, *, partition: int, job_id: str
) -> bool:
    """Return whether a job may be refused.

    A repeated submission never is. An owner that has just failed to answer isn't asked.
    """
    lookup = exchange.context.lookup
    return (
        bool(stored.attempt)
        and (can_be_refused(stored.request) or is_large(stored.request))
        and not lookup.has_accepted(job_id)
        and (not lookup.is_silent(partition) or is_large(stored.request))
    )


def can_be_refused(request: JobRequest) -> bool:
    """Return whether a job has to be served soon; others can wait for any backlog."""
    is_scheduled = request.repeat_count > 0 or request.start_at_ms > 0
    return not is_scheduled and not any(step.lasts or step.fills for step in request.steps)


def _describe(answer: AdmissionAnswer) -> str:
    return (
        f"would end in {answer.ends_ms / 1000:.1f} s at the earliest, "
        f"and is worth nothing after {answer.worthless_ms / 1000:.1f} s"
    )


def _record_silence(exchange: Exchange, question: AdmissionQuestion) -> None:
    exchange.context.metrics.admissions_unanswered.inc()
    exchange.context.lookup.record_silence(question.partition)
    _LOGGER.warning(
        "the owner did not answer about admission",
        extra={
            "event": "admission_unknown",
            "job": question.job_id,
            "partition": question.partition,
        },
    )


def _log_expected(question: AdmissionQuestion, answer: AdmissionAnswer) -> None:
    _LOGGER.info(
        "job surely can't be served",
        extra={
            "event": "admission_refused",
            "job": question.job_id,
            "queue": question.queue,
            "workspace": question.workspace,
            "partition": question.partition,
            "reason": answer.refusal,
            "begins_ms": answer.begins_ms,
            "ends_ms": answer.ends_ms,
            "worthless_ms": answer.worthless_ms,
            "ahead": answer.ahead,
            "cores": answer.cores,
            "age_ms": answer.age_ms,
            "retry_s": answer.retry_s,
        },
    )
