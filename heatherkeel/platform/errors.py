"""How a call to the platform, or to a worker, can fail."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum


class Failure(StrEnum):
    """What is known about a failed call."""

    REFUSED = "refused"
    """Surely not done; a later call may be."""
    INVALID = "invalid"
    """Surely not done, and this very call never will be."""
    UNKNOWN = "unknown"
    """No answer: it may have been done, or may be done seconds later."""
    FENCED = "fenced"
    """Somebody with a higher token or epoch has taken over; nothing was done."""
    OUT_OF_ORDER = "out_of_order"
    """The log expects another sequence number of this producer; nothing was done."""
    FORGOTTEN = "forgotten"
    """The records that were asked for are no longer kept."""
    OTHER_INSTANCE = "other_instance"
    """The address belongs to another life of a worker; the one that was meant is gone."""
    RESERVED = "reserved"
    """Refused for a reason of the worker's own, which `detail` names; nothing was done."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallError:
    """A failed call.

    `number` is the sequence number that the log expects (OUT_OF_ORDER) or the first record that
    it still keeps (FORGOTTEN); `clock_ms` the worker's clock where it told it.
    """

    failure: Failure
    detail: str = ""
    status: int = 0
    number: int = 0
    clock_ms: int | None = None
