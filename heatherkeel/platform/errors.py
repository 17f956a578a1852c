"""Errors of calls to the platform and to workers."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Failure(StrEnum):
    """What is known about a failed call."""

    REFUSED = "refused"
    """Not carried out; a later call may succeed."""
    INVALID = "invalid"
    """Not carried out, and repeating the same call cannot succeed."""
    UNKNOWN = "unknown"
    """No answer: it may have been carried out, or may still be seconds later."""
    FENCED = "fenced"
    """A holder of a higher token or epoch has taken over; nothing was done."""
    OUT_OF_ORDER = "out_of_order"
    """The log expects another sequence number of this producer; nothing was done."""
    FORGOTTEN = "forgotten"
    """The requested records are no longer retained."""
    OTHER_INSTANCE = "other_instance"
    """The address belongs to another incarnation of a worker; the intended one is gone."""
    RESERVED = "reserved"
    """Refused by the worker for the reason in `detail`; nothing was done."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallError:
    """A failed call.

    `number` is the sequence number that the log expects (OUT_OF_ORDER) or the first retained
    record (FORGOTTEN); `clock_ms` is the worker's clock, if it was reported.
    """

    failure: Failure
    detail: str = ""
    status: int = 0
    number: int = 0
    clock_ms: int | None = None
    is_timeout: bool = False
    """The call was given up; a connection that breaks shows at once that the other end is gone."""

    def is_final(self) -> bool:
        """Return whether the same call will never be carried out."""
        return self.failure is Failure.INVALID
