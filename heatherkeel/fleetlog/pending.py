"""Records that wait to be appended, and the results returned to their authors."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import trio
from result import Err, Ok, Result

from heatherkeel.core.models import Envelope, Settled


class WriteFailure(StrEnum):
    """Why the decision on a record is not known to its author."""

    NOT_APPENDED = "not_appended"
    """The record is not in the log and never will be."""
    UNKNOWN = "unknown"
    """The record may have been accepted, or may still be before its lifetime ends."""
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"


@dataclass(kw_only=True, eq=False)
class PendingRecord:
    """A record that waits for its append or its decision."""

    envelope: Envelope
    data: bytes
    sent: bool = False
    may_be_appended: bool = False
    """An earlier append of it got no answer, so it may be in the log."""
    is_separate: bool = False
    """Sent in a separate batch, because the platform rejected a batch that contained it."""
    authors: int = 0
    settled: Settled | None = None
    failure: WriteFailure | None = None
    done: trio.Event = field(default_factory=trio.Event)

    def finish(
        self, *, settled: Settled | None = None, failure: WriteFailure | None = None
    ) -> None:
        """Wake the authors with the decision or the failure; only the first result counts.

        The record can be read back before its append fails with a lost answer, which must not
        turn an accepted edit into an unknown one.
        """
        if self.done.is_set():
            return
        self.settled = settled
        self.failure = failure
        self.done.set()

    def conclude(self) -> Result[Settled, WriteFailure]:
        """Return the result for an author that has stopped waiting."""
        if self.settled is not None:
            return Ok(self.settled)
        if self.failure is not None:
            return Err(self.failure)
        return Err(WriteFailure.UNKNOWN if self.sent else WriteFailure.NOT_APPENDED)
