"""Claim records of idempotency keys, and the folded state of this subject."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Annotated

import msgspec
from msgspec import Meta

from heatherkeel.catalogue.models import Name
from heatherkeel.core.models import Effect, RecordBody
from heatherkeel.membership.models import EntryInstanceId

from .const import MAX_KEPT_ANSWER_CHARS, MAX_KEY_CHARS

CallerKey = Annotated[str, Meta(min_length=1, max_length=MAX_KEY_CHARS)]
Digest = Annotated[str, Meta(min_length=1, max_length=64)]
"""SHA-256 in hexadecimal."""


class ClaimStatus(StrEnum):
    """Status of a claimed request according to the log."""

    CLAIMED = "claimed"
    """No outcome yet: in progress while the claimant holds its lease, unknown after that."""
    RAN = "ran"
    NOT_RUN = "not_run"
    """The claimant reported that it ran on no target; the key may be claimed again."""
    UNKNOWN = "unknown"


class RecordedAnswer(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A target's recorded answer; `body` is base64, or empty if only the digest is kept."""

    http_status: Annotated[int, Meta(ge=100, le=599)]
    content_type: Annotated[str, Meta(max_length=128)] = ""
    body: Annotated[str, Meta(max_length=MAX_KEPT_ANSWER_CHARS)] = ""
    body_sha256: Digest
    body_bytes: Annotated[int, Meta(ge=0)] = 0


class KeyClaim(RecordBody, frozen=True, kw_only=True):
    """An entry instance requests the exclusive right to send the request with this key.

    `fingerprint` is a digest of method, path and body; a key identifies exactly one request.
    """

    service: Name
    key: CallerKey
    fingerprint: Digest
    instance: EntryInstanceId
    incarnation: str


class ClaimOutcome(RecordBody, frozen=True, kw_only=True):
    """The claimant reports how the request ended; `claim` is the id of its claim record."""

    service: Name
    key: CallerKey
    claim: str
    status: ClaimStatus
    answer: RecordedAnswer | None = None


@dataclass(kw_only=True)
class Claim:
    """The latest claim of one key; times are in log milliseconds.

    `attempt` counts the claims of the key; all but the last one ended *not run*.
    """

    claim: str
    fingerprint: str
    instance: str
    incarnation: str
    changed_ms: int
    offset: int
    attempt: int = 1
    not_run_attempts: int = 0
    status: ClaimStatus = ClaimStatus.CLAIMED
    answer: RecordedAnswer | None = None


@dataclass(kw_only=True)
class ClaimsState:
    """Claims, keyed by service name and the caller's key, joined by a slash."""

    claims: dict[str, Claim] = field(default_factory=dict)
    purged_ms: int = 0
    kept_chars: int = 0
    """Total characters of the kept answer bodies."""


def claim_name(service: str, key: str) -> str:
    """Return the name of a claim; service names contain no slash."""
    return f"{service}/{key}"


def claim_id(incarnation: str, request_id: str) -> str:
    """Return the id of the claim record for a request to one incarnation of an entry instance."""
    return f"{incarnation}-{request_id}"


def claimed_request_id(incarnation: str, claim: str) -> str | None:
    """Return the request id of a claim made by this incarnation, or `None` for other claims."""
    prefix = claim_id(incarnation, "")
    return claim.removeprefix(prefix) if claim.startswith(prefix) else None


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimChanged(Effect):
    """A key was claimed, or its outcome was recorded."""

    service: str
    key: str
    claim: str
    status: ClaimStatus
    offset: int
