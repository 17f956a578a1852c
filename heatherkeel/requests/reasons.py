"""Outcomes and reasons that are sent to callers and used as metric labels."""

from __future__ import annotations

from enum import StrEnum


class Outcome(StrEnum):
    """Outcome of a request, as reported with its final answer."""

    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class RefusalReason(StrEnum):
    """Why a request got no answer from a target."""

    NO_SERVICE = "no_service"
    NO_TARGET = "no_target"
    QUEUE_FULL = "queue_full"
    QUEUE_TOO_SLOW = "queue_too_slow"
    DEADLINE = "deadline"
    LEASE_LAPSED = "lease_lapsed"
    NO_SPONSOR = "no_sponsor"
    TARGET_REFUSED = "target_refused"
    CONNECT_FAILED = "connect_failed"
    BROKEN_AFTER_SEND = "broken_after_send"
    BROKEN_IN_ANSWER = "broken_in_answer"
    TIMED_OUT = "timed_out"
    CALLER_GONE = "caller_gone"
    SHUTTING_DOWN = "shutting_down"
    KEY_CONFLICT = "key_conflict"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_OUTCOME_UNKNOWN = "key_outcome_unknown"
    KEY_ANSWER_NOT_KEPT = "key_answer_not_kept"
    CLAIM_NOT_WRITTEN = "claim_not_written"
    TOO_MANY_CLAIMS = "too_many_claims"
    BAD_HEADER = "bad_header"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    NO_MEMORY = "no_memory"
    """Other requests hold the memory for requests."""
    HEADERS_TOO_LARGE = "headers_too_large"


class RetryReason(StrEnum):
    """Why a request was retried."""

    TARGET_REFUSED = "target_refused"
    CONNECT_FAILED = "connect_failed"
    BROKEN_AFTER_SEND = "broken_after_send"
    TIMED_OUT = "timed_out"


class NoRetryReason(StrEnum):
    """Why a failed attempt was not retried."""

    NOT_IDEMPOTENT = "not_idempotent"
    ANSWER_STARTED = "answer_started"
    ATTEMPTS_USED = "attempts_used"
    BUDGET_EMPTY = "budget_empty"
    DEADLINE = "deadline"
    NO_OTHER_TARGET = "no_other_target"
    LEASE_LAPSED = "lease_lapsed"
    CALLER_GONE = "caller_gone"
