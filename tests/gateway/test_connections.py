"""Tests of the connections of callers to a process that is not ready."""

from __future__ import annotations

from typing import Any

import pytest
import trio
import trio.testing

from heatherkeel.gateway.app import CLOSE_HEADER
from heatherkeel.platform.transfer import Transfer
from heatherkeel.questions.messages import Answer, JobAnswer, Question

from .calling import async_call, make_app
from .test_lookup import FakeLinks, FakeStore

DEADLINE_MS = 3000


class UnresponsiveLinks(FakeLinks):
    """Unresponsive owners: each question takes its whole timeout."""

    async def async_ask(
        self, address: str, question: Question, *, timeout_s: float = 0.5
    ) -> Answer | None:
        """Wait for the timeout."""
        await trio.sleep(timeout_s)
        return None


class ActiveJobLinks(FakeLinks):
    """Owners that know every job."""

    async def async_ask(
        self, address: str, question: Question, *, timeout_s: float = 0.5
    ) -> Answer | None:
        """Return that the job is active."""
        return JobAnswer(state="active")


class UnresponsiveStore(FakeStore):
    """An unresponsive store."""

    async def async_read_all_newest(
        self, topic: str, partition: int, *, transfer: Transfer | None = None
    ) -> Any:
        """Wait for longer than any deadline."""
        await trio.sleep(60)


def ask(links: FakeLinks, *, accepts_callers: bool) -> tuple[int, bool, float]:
    """Query a job; returns the status, whether the connection is closed, and the seconds."""
    app = make_app(UnresponsiveStore(down=set()), links, accepts_callers=accepts_callers)

    async def async_ask() -> tuple[int, bool, float]:
        started_s = trio.current_time()
        head = await async_call(app, "GET", deadline_ms=DEADLINE_MS)
        took_s = trio.current_time() - started_s
        return head["status"], CLOSE_HEADER in head["headers"], took_s

    return trio.run(async_ask, clock=trio.testing.MockClock(autojump_threshold=0))


def test_process_that_is_not_ready_responds_soon_and_closes_the_connection() -> None:
    """Guards against keeping a caller at a partitioned process while others could answer."""
    status, is_closed, took_s = ask(UnresponsiveLinks({}), accepts_callers=False)
    assert (status, is_closed) == (504, True)
    assert took_s < 1.0


def test_ready_process_waits_until_the_deadline() -> None:
    """A ready process must not give up before the deadline because of one slow response."""
    status, is_closed, took_s = ask(UnresponsiveLinks({}), accepts_callers=True)
    assert (status, is_closed) == (504, False)
    assert took_s == pytest.approx(DEADLINE_MS / 1000, abs=0.3)


def test_process_that_is_not_ready_still_returns_job_states() -> None:
    assert ask(ActiveJobLinks({}), accepts_callers=False)[:2] == (200, True)
    assert ask(ActiveJobLinks({}), accepts_callers=True)[:2] == (200, False)
