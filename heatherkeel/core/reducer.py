"""The deterministic reducer over the log: `fold` decides each record and returns its effects.

It uses no I/O, clock or randomness. The caller owns the state, which is changed in place to
avoid a copy per record (`docs/design/reducer.md`).
"""

from __future__ import annotations

import hashlib

import msgspec
from result import Ok

from .const import (
    MAX_ID_CHARS,
    MAX_RECORD_BYTES,
    MAX_RECORD_LIFETIME_MS,
    SEEN_PURGE_INTERVAL_MS,
)
from .errors import OffsetGapError
from .models import (
    Accepted,
    Duplicate,
    Effect,
    Envelope,
    LogRecord,
    RecordMeta,
    RecordOutcome,
    Rejected,
    RejectReason,
    Settled,
    Skipped,
)
from .registry import FOLLOW_UPS, RECORD_KINDS, RecordKind
from .state import FleetState

_ENVELOPE_DECODER = msgspec.json.Decoder(Envelope)


def fold(state: FleetState, record: LogRecord) -> list[Effect]:
    """Decide one record, change the state, and return the effects.

    Raises `OffsetGapError` if the record is not the next one. A skipped record can't be folded
    later, so the process must rebuild its state.
    """
    if record.offset != state.next_offset:
        raise OffsetGapError(expected=state.next_offset, found=record.offset)
    state.next_offset += 1
    state.now_ms = max(state.now_ms, record.at_ms)
    _purge_expired_ids(state)
    # Follow-ups that depend on log time run before the record itself. Otherwise a snapshot taken
    # by the record would not include them, and an instance that restored it would diverge.
    effects = _run_follow_ups(state, record.offset)
    effects += _process_record(state, record)
    effects += _run_follow_ups(state, record.offset)
    return effects


def _run_follow_ups(state: FleetState, offset: int) -> list[Effect]:
    return [effect for follow_up in FOLLOW_UPS for effect in follow_up(state, offset)]


def _process_record(state: FleetState, record: LogRecord) -> list[Effect]:
    envelope = _decode_envelope(record)
    if isinstance(envelope, Skipped):
        return [envelope]
    # If the answer to a successful append is lost, the author appends the same record again.
    # Without this check an edit or a job would be applied twice.
    if envelope.id in state.seen:
        return [Duplicate(record_id=envelope.id, offset=record.offset)]
    return _decide(state, record.offset, envelope)


def _decode_envelope(record: LogRecord) -> Envelope | Skipped:
    """Decode an envelope, or return why every reader skips it."""
    if len(record.data) > MAX_RECORD_BYTES:
        return _skip(record, f"{len(record.data)} bytes, at most {MAX_RECORD_BYTES} are read")
    try:
        envelope = _ENVELOPE_DECODER.decode(record.data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        return _skip(record, str(err))
    if not 0 < len(envelope.id) <= MAX_ID_CHARS:
        return _skip(record, f"id has {len(envelope.id)} characters")
    return envelope


def _skip(record: LogRecord, detail: str) -> Skipped:
    return Skipped(offset=record.offset, reason=RejectReason.MALFORMED, detail=detail)


def _decide(state: FleetState, offset: int, envelope: Envelope) -> list[Effect]:
    """Check the lifetime and the body, call the handler of the kind, and settle the record."""
    refusal = _check_lifetime(state, envelope)
    if refusal is not None:
        return [_settle(offset, envelope, refusal)]
    state.seen[envelope.id] = envelope.not_after_ms
    kind = RECORD_KINDS.get(envelope.kind)
    if kind is None:
        unknown = Rejected(reason=RejectReason.UNKNOWN_KIND, detail=envelope.kind)
        return [_settle(offset, envelope, unknown)]
    return _call_handler(state, offset, envelope, kind)


def _check_lifetime(state: FleetState, envelope: Envelope) -> Rejected | None:
    """Reject a record that is past its lifetime, or whose lifetime is too long."""
    if envelope.not_after_ms < state.now_ms:
        return Rejected(reason=RejectReason.EXPIRED, detail=f"not after {envelope.not_after_ms}")
    if envelope.not_after_ms > state.now_ms + MAX_RECORD_LIFETIME_MS:
        return Rejected(reason=RejectReason.MALFORMED, detail="not_after_ms is too far ahead")
    return None


def _call_handler(
    state: FleetState, offset: int, envelope: Envelope, kind: RecordKind
) -> list[Effect]:
    try:
        body = kind.decoder.decode(envelope.body)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        malformed = Rejected(reason=RejectReason.MALFORMED, detail=str(err))
        return [_settle(offset, envelope, malformed)]
    meta = RecordMeta(
        id=envelope.id,
        kind=envelope.kind,
        author=envelope.author,
        offset=offset,
        now_ms=state.now_ms,
    )
    outcome = kind.handler(state, meta, body)
    decided = outcome.ok_value if isinstance(outcome, Ok) else outcome.err_value
    if kind.remembered:
        _store_outcome(state, offset, envelope, decided)
    effects = decided.effects if isinstance(decided, Accepted) else ()
    return [_settle(offset, envelope, decided), *effects]


def _store_outcome(
    state: FleetState, offset: int, envelope: Envelope, outcome: Accepted | Rejected
) -> None:
    """Store an outcome so that an author can query it after a restart or a lost answer."""
    state.outcomes[envelope.id] = RecordOutcome(
        offset=offset,
        body_sha256=hashlib.sha256(envelope.body).hexdigest(),
        version=outcome.version,
        reason=outcome.reason if isinstance(outcome, Rejected) else "",
        detail=outcome.detail if isinstance(outcome, Rejected) else "",
    )


def _settle(offset: int, envelope: Envelope, outcome: Accepted | Rejected) -> Settled:
    return Settled(
        record_id=envelope.id,
        kind=envelope.kind,
        author=envelope.author,
        offset=offset,
        outcome=outcome,
    )


def _purge_expired_ids(state: FleetState) -> None:
    """Remove expired ids and their outcomes, at most once per purge interval."""
    if state.now_ms - state.seen_purged_ms < SEEN_PURGE_INTERVAL_MS:
        return
    state.seen_purged_ms = state.now_ms
    state.seen = {
        record_id: not_after_ms
        for record_id, not_after_ms in state.seen.items()
        if not_after_ms >= state.now_ms
    }
    state.outcomes = {
        record_id: outcome
        for record_id, outcome in state.outcomes.items()
        if record_id in state.seen
    }
