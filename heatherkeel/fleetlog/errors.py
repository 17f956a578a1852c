"""How a call to the platform can fail."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class PlatformFailure(StrEnum):
    """What is known about a failed call."""

    NOT_SENT = "not_sent"
    """No connection: the call surely had no effect."""
    UNKNOWN = "unknown"
    """Sent, but no answer: it may have taken effect."""
    REFUSED = "refused"
    """The platform refused for now (429, 503): the call had no effect, a later one may."""
    INVALID = "invalid"
    """The platform refused this very call (other 4xx): it had no effect and never will."""
    OUT_OF_RETENTION = "out_of_retention"
    """The offset that was asked for is no longer kept."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlatformError:
    """A failed call; `oldest` is the first retained offset where that is the reason."""

    failure: PlatformFailure
    detail: str = ""
    oldest: int = 0
