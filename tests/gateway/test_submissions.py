"""Submissions whose append gets no answer."""

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
    """A store whose answers to appends are lost; it does them, or it doesn't."""

    def __init__(self) -> None:
        self.down = set()
        self.appends = 0

    def find_health(self, topic: str, partition: int) -> PartitionHealth:
        """Say that writes have gone well."""
        return PartitionHealth()

    async def async_append(self, *_: Any, **__: Any) -> Result[None, CallError]:
        """Take a record, and lose the answer."""
        self.appends += 1
        await trio.sleep(APPEND_S)
        return Err(CallError(failure=Failure.UNKNOWN, detail="no answer in time"))


class ReadingLinks(FakeLinks):
    """An owner that has read the job from the store, if it is there."""

    def __init__(self, *, knows: bool) -> None:
        self.knows = knows

    async def async_ask(
        self, address: str, question: Question, *, timeout_s: float = 0.5
    ) -> Answer | None:
        """Tell whether the job was read."""
        return JobAnswer(state="pending" if self.knows else "")


def submit(*, knows: bool) -> tuple[int, int]:
    """Hand a job in; returns the status, and how often it was appended."""
    store = LossyStore()
    app = make_app(store, ReadingLinks(knows=knows))
    body = msgspec.json.encode({"spec": "work 50", "steps": [STEP]})
    head = trio.run(partial(async_call, app, "POST", deadline_ms=DEADLINE_MS, body=body))
    return head["status"], store.appends


def test_job_that_its_owner_knows_is_accepted_without_another_append() -> None:
    """The store has done the append and its answer is lost; the owner reads the job at once.

    Appended again, and once more, each record would wait its turn in a partition that is slow
    already, and the caller would hear nothing until its deadline.
    """
    assert submit(knows=True) == (200, 1)


def test_job_that_nobody_knows_is_appended_again_and_never_said_not_to_run() -> None:
    status, appends = submit(knows=False)
    assert status == 504
    assert 2 <= appends <= 5
