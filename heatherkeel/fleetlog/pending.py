"""A record on its way into the log, and what its author is told."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import trio
from result import Err, Ok, Result

from heatherkeel.core.models import Envelope, Settled


class WriteFailure(StrEnum):
    """Why an author doesn't know its record as decided."""

    NOT_APPENDED = "not_appended"
    """The record surely is not in the log and never will be."""
    UNKNOWN = "unknown"
    """The record may have been accepted, or may be before its lifetime ends."""
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"


@dataclass(kw_only=True, eq=False)
class PendingRecord:
    """A record on its way into the log."""

    envelope: Envelope
    data: bytes
    sent: bool = False
    perhaps_appended: bool = False
    """An earlier append of it got no answer, so it may stand in the log."""
    alone: bool = False
    """Sent in a batch of its own: the platform refused one that held it."""
    authors: int = 0
    settled: Settled | None = None
    failure: WriteFailure | None = None
    done: trio.Event = field(default_factory=trio.Event)

    def finish(
        self, *, settled: Settled | None = None, failure: WriteFailure | None = None
    ) -> None:
        """Wake the authors with the decision or the failure; the first one stands.

        The record can be read back while its append is still without an answer. Were the lost
        answer taken after that, an accepted edit would be called unknown.
        """
        if self.done.is_set():
            return
        self.settled = settled
        self.failure = failure
        self.done.set()

    def conclude(self) -> Result[Settled, WriteFailure]:
        """Return what an author that waits no longer is told."""
        if self.settled is not None:
            return Ok(self.settled)
        if self.failure is not None:
            return Err(self.failure)
        return Err(WriteFailure.UNKNOWN if self.sent else WriteFailure.NOT_APPENDED)
