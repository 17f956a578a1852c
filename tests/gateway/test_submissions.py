"""Tests of submissions whose append gets no response."""

from __future__ import annotations

from functools import partial
from typing import Any

import msgspec
import trio
from result import Err, Result

from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.store import PartitionHealth
from heatherkeel.questions.messages import Answer, JobAnswer, Question
from tests.instance.site import STEP

from .calling import async_call, make_app
from .test_lookup import FakeLinks, FakeStore

APPEND_S = 0.05
DEADLINE_MS = 750


class LossyStore(FakeStore):
    """A store whose responses to appends are lost."""

    def __init__(self) -> None:
        self.down = set()
        self.appends = 0

    def find_health(self, topic: str, partition: int) -> PartitionHealth:
        """Return a healthy partition."""
        return PartitionHealth()

    async def async_append(self, *_: Any, **__: Any) -> Result[None, CallError]:
        """Count the append, and fail without a result."""
        self.appends += 1
        await trio.sleep(APPEND_S)
        return Err(CallError(failure=Failure.UNKNOWN, detail="no answer in time"))


class JobLinks(FakeLinks):
    """An owner that has read the job from the store, or hasn't."""

    def __init__(self, *, is_known: bool) -> None:
        self.is_known = is_known

    async def async_ask(
        self, address: str, question: Question, *, timeout_s: float = 0.5
    ) -> Answer | None:
        """Return the job's state, or none."""
        return JobAnswer(state="pending" if self.is_known else "")


def submit(*, is_known: bool) -> tuple[int, int]:
    """Submit a job; returns the status and the number of appends."""
    store = LossyStore()
    app = make_app(store, JobLinks(is_known=is_known))
    body = msgspec.json.encode({"spec": "work 50", "steps": [STEP]})
    head = trio.run(partial(async_call, app, "POST", deadline_ms=DEADLINE_MS, body=body))
    return head["status"], store.appends


def test_job_that_its_owner_knows_is_accepted_without_another_append() -> None:
    """Repeated appends would add to the load of a slow partition and delay the response."""
    assert submit(is_known=True) == (200, 1)


def test_unknown_job_is_appended_again_and_never_reported_as_not_run() -> None:
    status, appends = submit(is_known=False)
    assert status == 504
    assert 2 <= appends <= 5
