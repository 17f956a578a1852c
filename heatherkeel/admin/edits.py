"""Appends edits to the log and reports their outcome to the operator."""

from __future__ import annotations

import hashlib
from typing import Final

import msgspec
from result import Err, Ok

from heatherkeel.core.envelopes import encode_body
from heatherkeel.core.models import (
    Accepted,
    RecordBody,
    RecordOutcome,
    Rejected,
    RejectReason,
    Settled,
)
from heatherkeel.fleetlog.writer import WriteFailure

from .const import (
    EDIT_LIFETIME_MS,
    IN_PROGRESS_RETRY_AFTER_S,
    RECORD_HEADER,
    RETRY_AFTER_S,
)
from .models import Answer, Call, FieldFault, Problem, Reply
from .preconditions import format_etag
from .reasons import ApiRefusal

STATUS_OF_REASON: Final = {
    RejectReason.STALE_VERSION: 412,
    RejectReason.NOT_FOUND: 404,
    RejectReason.NOT_OWNER: 403,
    RejectReason.CONFLICT: 409,
    RejectReason.IN_USE: 409,
    RejectReason.EXPIRED: 503,
}
DEFAULT_STATUS: Final = 422
TITLE_OF_REASON: Final = {
    RejectReason.STALE_VERSION: "Someone else changed the entry",
    RejectReason.NOT_FOUND: "No such entry",
    RejectReason.NOT_OWNER: "The entry belongs to another team",
    RejectReason.EXPIRED: "The edit came too late and was not accepted",
}


class AcceptedEdit(msgspec.Struct, frozen=True, kw_only=True):
    """Log position of an accepted edit and the entry version it created."""

    record: str
    offset: int
    version: int


def record_id_of(call: Call, key: str) -> str:
    """Return the record id of an edit; unambiguous, as a team's name has no colon."""
    return f"{call.team}:{key}"


async def async_submit(call: Call, body: RecordBody, *, key: str) -> Reply:
    """Append an edit and wait until the fold here has decided it.

    A retry under the same key has the same record id, so the fold applies the edit once and
    the retry gets the outcome of the first attempt.
    """
    record_id = record_id_of(call, key)
    node = call.node
    if record_id in node.state.fleet.outcomes:
        return _remembered_reply(call, body, record_id)
    if record_id in node.writer.waiting:
        return Err(_in_progress(record_id))
    written = await node.writer.async_write(
        body,
        timeout_s=node.settings.admin.write_timeout_ms / 1000,
        record_id=record_id,
        lifetime_ms=EDIT_LIFETIME_MS,
    )
    # The record may have been decided although the write reported a failure.
    if record_id in node.state.fleet.outcomes:
        return _remembered_reply(call, body, record_id)
    match written:
        case Ok(settled):
            return _settled_reply(settled)
        case Err(failure):
            repeated = "idempotency-key" in call.request.headers
            return Err(_write_failure_problem(failure, record_id, key, repeated=repeated))


def _remembered_reply(call: Call, body: RecordBody, record_id: str) -> Reply:
    """Return the remembered outcome of this edit.

    If another edit used the same key, the fold ignored this one as a duplicate, so the other
    edit's outcome must not be returned.
    """
    outcome = call.node.state.fleet.outcomes[record_id]
    if outcome.body_sha256 != hashlib.sha256(encode_body(body)).hexdigest():
        return Err(_key_reused(record_id))
    if outcome.reason:
        return Err(refusal_problem(record_id, outcome))
    return Ok(_accepted_answer(record_id, outcome.offset, outcome.version))


def _settled_reply(settled: Settled) -> Reply:
    """Return an outcome that the fold doesn't remember, such as that of an expired record."""
    outcome = settled.outcome
    if isinstance(outcome, Accepted):
        return Ok(_accepted_answer(settled.record_id, settled.offset, outcome.version))
    return Err(refusal_problem(settled.record_id, _as_outcome(settled.offset, outcome)))


def _as_outcome(offset: int, rejected: Rejected) -> RecordOutcome:
    return RecordOutcome(
        offset=offset,
        body_sha256="",
        version=rejected.version,
        reason=rejected.reason,
        detail=rejected.detail,
    )


def _accepted_answer(record_id: str, offset: int, version: int) -> Answer:
    return Answer(
        value=AcceptedEdit(record=record_id, offset=offset, version=version),
        headers={"etag": format_etag(version), RECORD_HEADER: record_id},
    )


def refusal_problem(record_id: str, outcome: RecordOutcome) -> Problem:
    """Return the problem for an edit that the fold rejected."""
    reason = RejectReason(outcome.reason)
    status = STATUS_OF_REASON.get(reason, DEFAULT_STATUS)
    headers = {RECORD_HEADER: record_id}
    extra = {"record": record_id, "offset": outcome.offset}
    if outcome.version:
        headers["etag"] = format_etag(outcome.version)
        extra["version"] = outcome.version
    if status == 503:
        headers["retry-after"] = str(RETRY_AFTER_S)
    return Problem(
        status=status,
        kind=reason,
        title=TITLE_OF_REASON.get(reason, "The edit was refused"),
        detail=outcome.detail,
        faults=tuple(_split_faults(outcome.detail)),
        headers=headers,
        extra=extra,
    )


def _split_faults(detail: str) -> list[FieldFault]:
    """Split the `field: reason` lines of a rejection's detail."""
    parts = [line.partition(": ") for line in detail.splitlines()]
    return [FieldFault(field=name, reason=reason) for name, found, reason in parts if found]


def _write_failure_problem(
    failure: WriteFailure, record_id: str, key: str, *, repeated: bool
) -> Problem:
    if failure is WriteFailure.TOO_LARGE:
        title = "The entry is too large"
        return Problem(
            status=413, kind=ApiRefusal.TOO_LARGE, title=title, detail="entry: was not accepted"
        )
    if failure is WriteFailure.UNKNOWN:
        return _may_have_been_accepted(record_id, key)
    return _not_accepted(failure, record_id, repeated=repeated)


def _not_accepted(failure: WriteFailure, record_id: str, *, repeated: bool) -> Problem:
    """Return the problem for an attempt that was not appended.

    With the operator's own key this can be a retry whose first attempt was accepted, perhaps
    through another entry instance, so the detail only speaks of this attempt.
    """
    detail = "The edit was not accepted, and will not be later: the platform's log is down."
    if repeated:
        detail = (
            "This attempt was not accepted: the platform's log is down. An earlier attempt "
            f"under the same key may have been; GET /records/{record_id} tells."
        )
    return Problem(
        status=503,
        kind=ApiRefusal(failure.value),
        title="The edit was not accepted",
        detail=detail,
        headers={"retry-after": str(RETRY_AFTER_S), RECORD_HEADER: record_id},
        extra={"record": record_id},
    )


def _may_have_been_accepted(record_id: str, key: str) -> Problem:
    detail = (
        "The edit may have been accepted: the platform's log did not confirm it. Repeat the "
        f"same edit with `Idempotency-Key: {key}`: it is taken once at most. "
        f"GET /records/{record_id} tells what became of it."
    )
    return Problem(
        status=503,
        kind=ApiRefusal.UNKNOWN,
        title="The edit may have been accepted",
        detail=detail,
        headers={"retry-after": str(RETRY_AFTER_S), RECORD_HEADER: record_id},
        extra={"record": record_id, "idempotency_key": key},
    )


def _in_progress(record_id: str) -> Problem:
    return Problem(
        status=409,
        kind=ApiRefusal.IN_PROGRESS,
        title="The same edit is in progress",
        detail="idempotency-key: an edit under this key waits for the log",
        headers={"retry-after": str(IN_PROGRESS_RETRY_AFTER_S), RECORD_HEADER: record_id},
        extra={"record": record_id},
    )


def _key_reused(record_id: str) -> Problem:
    detail = "idempotency-key: another edit came under this key; this one was not accepted"
    return Problem(
        status=422,
        kind=ApiRefusal.IDEMPOTENCY_KEY_REUSED,
        title="The key belongs to another edit",
        detail=detail,
        faults=tuple(_split_faults(detail)),
        headers={RECORD_HEADER: record_id},
        extra={"record": record_id},
    )
