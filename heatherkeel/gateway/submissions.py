"""Stores what callers send: what waits for a partition goes there in one append."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from itertools import islice

import trio
from result import Err, Result

from heatherkeel.ownership.const import JOBS_TOPIC
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient

from .const import (
    APPEND_TIMEOUT_S,
    MAX_GROUP_BYTES,
    OVERDUE_FACTOR,
    OVERDUE_LEAST_S,
    UNSENT_WAIT_S,
)

WAITED_TOO_LONG = CallError(failure=Failure.REFUSED, detail="others were still being stored")
NO_ANSWER = CallError(failure=Failure.UNKNOWN, detail="no answer in time")


@dataclass(kw_only=True, eq=False, slots=True)
class Submission:
    """A record that waits to be stored, and how that went."""

    record: KeyedRecord
    settled: trio.Event = field(default_factory=trio.Event)
    outcome: Result[None, CallError] | None = None
    is_sent: bool = False

    def settle(self, outcome: Result[None, CallError]) -> None:
        """Tell whoever waits how it went."""
        self.outcome = outcome
        self.settled.set()


@dataclass(kw_only=True, slots=True)
class Line:
    """What waits for one partition, and the appends that are on their way there."""

    waiting: deque[Submission] = field(default_factory=deque)
    sent_s: list[float] = field(default_factory=list)
    """When each of these appends left."""


class Submissions:
    """Group commit for the records of callers, a line for each partition.

    A partition takes one append after the other. While the store is slow, each may take it a
    tenth of a second and more, so with an append for each submission eight a second get through,
    and the callers of all others are told 503 or 504. While it is fast hardly any two meet.

    Only while the last append is overdue does another one leave beside it: one whose answer is
    lost must not hold up those behind it.
    """

    def __init__(self, *, store: StoreClient) -> None:
        self.store = store
        self.lines: dict[int, Line] = {}
        self.nursery: trio.Nursery | None = None

    def start(self, nursery: trio.Nursery) -> None:
        """Begin to send."""
        self.nursery = nursery

    async def async_store(
        self, partition: int, record: KeyedRecord, *, longest_s: float
    ) -> Result[None, CallError]:
        """Store a record with others that wait for its partition.

        REFUSED if it surely isn't stored and never will be, UNKNOWN if it may be.
        """
        line = self.lines.setdefault(partition, Line())
        submission = Submission(record=record)
        line.waiting.append(submission)
        try:
            await self._async_wait(partition, line, submission, longest_s=longest_s)
        finally:
            if not submission.is_sent:
                line.waiting.remove(submission)
        if submission.outcome is not None:
            return submission.outcome
        return Err(NO_ANSWER if submission.is_sent else WAITED_TOO_LONG)

    async def _async_wait(
        self, partition: int, line: Line, submission: Submission, *, longest_s: float
    ) -> None:
        """Wait until a record is stored, its time is up, or it waited too long to be sent."""
        began_s = trio.current_time()
        self._send_waiting(partition, line)
        while not submission.is_sent:
            left_s = began_s + min(longest_s, UNSENT_WAIT_S) - trio.current_time()
            if left_s <= 0:
                return
            with trio.move_on_after(min(left_s, self._until_overdue_s(line))):
                await submission.settled.wait()
            self._send_waiting(partition, line)
        with trio.move_on_after(max(0.0, began_s + longest_s - trio.current_time())):
            await submission.settled.wait()

    def _until_overdue_s(self, line: Line) -> float:
        """Return for how long the newest append may still be on its way before another leaves."""
        if not line.sent_s:
            return 0.0
        usual_s = max(OVERDUE_LEAST_S, OVERDUE_FACTOR * self.store.write_patience.usual_s)
        return max(0.0, max(line.sent_s) + usual_s - trio.current_time())

    def _send_waiting(self, partition: int, line: Line) -> None:
        """Send all that waits, unless an append is on its way that isn't overdue."""
        assert self.nursery is not None
        if not line.waiting or self._until_overdue_s(line) > 0:
            return
        group = _take_group(line.waiting)
        now_s = trio.current_time()
        line.sent_s.append(now_s)
        self.nursery.start_soon(self._async_send, partition, line, group, now_s)

    async def _async_send(
        self, partition: int, line: Line, group: list[Submission], sent_s: float
    ) -> None:
        outcome = await self.store.async_append(
            JOBS_TOPIC,
            partition,
            [submission.record for submission in group],
            longest_s=APPEND_TIMEOUT_S,
        )
        line.sent_s.remove(sent_s)
        for submission in group:
            submission.settle(outcome)
        self._send_waiting(partition, line)


def _take_group(waiting: deque[Submission]) -> list[Submission]:
    """Take the first that wait, as many as one append may hold."""
    group: list[Submission] = []
    left = MAX_GROUP_BYTES
    for submission in islice(waiting, len(waiting)):
        left -= len(submission.record.value) + len(submission.record.key)
        if group and left < 0:
            break
        group.append(submission)
    for submission in group:
        waiting.popleft()
        submission.is_sent = True
    return group
