"""Reasons for which the API refuses a request; the fold has its own `RejectReason`."""

from __future__ import annotations

from enum import StrEnum


class ApiRefusal(StrEnum):
    """The last part of a problem's `type`, and a label of the refusals counter."""

    BAD_HEADER = "bad_header"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    IN_PROGRESS = "in_progress"
    INVALID = "invalid"
    NO_SUCH_PATH = "no_such_path"
    NOT_FOUND = "not_found"
    NOT_READY = "not_ready"
    PRECONDITION_REQUIRED = "precondition_required"
    UNAUTHORIZED = "unauthorized"
    WRONG_CONTENT_TYPE = "wrong_content_type"
    WRONG_METHOD = "wrong_method"
    NOT_APPENDED = "not_appended"
    UNKNOWN = "unknown"
    """The edit may have been accepted."""
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    BY_FOLD = "by_fold"
    """The fold refused the edit; `heatherkeel_rejected_records_total` has the reason."""
