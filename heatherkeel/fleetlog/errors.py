"""Errors of calls to the platform."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class PlatformFailure(StrEnum):
    """What is known about a failed call."""

    NOT_SENT = "not_sent"
    """No connection: the call had no effect."""
    UNKNOWN = "unknown"
    """Sent, but no answer: it may have taken effect."""
    REFUSED = "refused"
    """Temporarily refused (429, 503): the call had no effect; a later one may succeed."""
    INVALID = "invalid"
    """Rejected (other 4xx): the call had no effect, and repeating it cannot succeed."""
    OUT_OF_RETENTION = "out_of_retention"
    """The requested offset is no longer retained."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformError:
    """A failed call; `oldest` is the first retained offset if OUT_OF_RETENTION."""

    failure: PlatformFailure
    detail: str = ""
    oldest: int = 0
