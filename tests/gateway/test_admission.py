"""Submissions that are refused before they are stored, since they could not be served."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import Any

import msgspec
import pytest
import trio
from result import Ok, Result

from heatherkeel.gateway.admission import spread_retry_s
from heatherkeel.gateway.app import JobApiApp
from heatherkeel.platform.errors import CallError
from heatherkeel.platform.store import PartitionHealth
from heatherkeel.questions.messages import AdmissionAnswer, AdmissionQuestion, Answer, Question
from tests.instance.site import STEP

from .calling import async_call, make_app
from .test_lookup import FakeLinks, FakeStore

REFUSED = AdmissionAnswer(refusal="no_room", retry_s=4, ends_ms=9000, worthless_ms=5000)


class KeepingStore(FakeStore):
    """A store that keeps what is appended."""

    def __init__(self) -> None:
        super().__init__(down=set())
        self.values: list[bytes] = []

    def find_health(self, topic: str, partition: int) -> PartitionHealth:
        """Return a healthy partition."""
        return PartitionHealth()

    async def async_append(
        self, topic: str, partition: int, records: Any, **_: Any
    ) -> Result[None, CallError]:
        """Keep the records."""
        self.values += [record.value for record in records]
        return Ok(None)


class AdmissionLinks(FakeLinks):
    """An owner that gives the same answer to each question about admission."""

    def __init__(self, answer: Answer | None) -> None:
        super().__init__({})
        self.answer_given = answer
        self.asked: list[AdmissionQuestion] = []

    async def async_ask(
        self, address: str, question: Question, *, timeout_s: float = 0.5
    ) -> Answer | None:
        """Return the answer."""
        assert isinstance(question, AdmissionQuestion)
        self.asked.append(question)
        return self.answer_given


def make_admitting_app(
    store: KeepingStore, links: AdmissionLinks, *, is_on: bool = True
) -> JobApiApp:
    """Return an application that asks for admission."""
    app = make_app(store, links)
    app.context = replace(app.context, admits_by_backlog=lambda: is_on)
    return app


def submit(app: JobApiApp, **more: object) -> dict[str, Any]:
    """Submit a job; returns the start message of the response."""
    body = msgspec.json.encode({"spec": "work 50", "steps": [STEP], **more})
    return trio.run(partial(async_call, app, "POST", deadline_ms=3000, body=body))


def test_refused_job_is_not_stored_and_told_when_to_return() -> None:
    store, links = KeepingStore(), AdmissionLinks(REFUSED)
    head = submit(make_admitting_app(store, links))
    assert head["status"] == 503
    assert (b"retry-after", b"4") in head["headers"]
    assert store.values == []
    assert links.asked[0].work == 200 and links.asked[0].path_ms == 100


@pytest.mark.parametrize("reason", ["beyond_weight", "at_limit"])
def test_what_a_workspace_causes_itself_has_a_status_of_its_own(reason: str) -> None:
    answer = msgspec.structs.replace(REFUSED, refusal=reason)
    assert submit(make_admitting_app(KeepingStore(), AdmissionLinks(answer)))["status"] == 429


def test_job_is_accepted_if_its_owner_does_not_answer() -> None:
    """Guards against guesses of an instance that is cut off from the owner."""
    store = KeepingStore()
    assert submit(make_admitting_app(store, AdmissionLinks(None)))["status"] == 200
    assert len(store.values) == 1 and b'"attempt"' in store.values[0]


def test_silent_owner_is_not_asked_about_each_job() -> None:
    """Guards against a lost owner that delays every submission to its partition."""
    links = AdmissionLinks(None)
    app = make_admitting_app(KeepingStore(), links)
    for _ in range(3):
        app.context.lookup.recent.clear()
        assert submit(app)["status"] == 200
    assert len(links.asked) == 1
    assert app.context.metrics.admissions_unanswered._value.get() == 1


def submit_without_store(answer: Answer | None) -> tuple[int, int]:
    """Submit a job while the store is silent; returns the status and the number of appends."""
    store, links = KeepingStore(), AdmissionLinks(answer)
    app = make_admitting_app(store, links)
    app.context = replace(app.context, reaches_store=lambda: False)
    status = submit(app)["status"]
    assert all(question.only_known for question in links.asked)
    return status, len(store.values)


def test_job_is_refused_at_once_while_the_store_answers_nothing() -> None:
    """Guards against callers that are held until their deadline by a store that is known silent."""
    assert submit_without_store(AdmissionAnswer()) == (503, 0)


def test_job_that_may_be_stored_is_not_refused_without_the_store() -> None:
    """Guards against "never runs" for a job that another process has stored or is about to."""
    assert submit_without_store(AdmissionAnswer(doubt="known")) == (200, 1)


def test_job_whose_owner_is_silent_is_not_refused_without_the_store() -> None:
    assert submit_without_store(None) == (200, 1)


def test_returns_after_an_outage_are_spread() -> None:
    retries = {spread_retry_s(f"{number:016x}") for number in range(100)}
    assert retries == {1, 2, 3, 4}


def test_silent_store_changes_nothing_where_it_is_off() -> None:
    app = make_admitting_app(KeepingStore(), AdmissionLinks(REFUSED), is_on=False)
    app.context = replace(app.context, reaches_store=lambda: False)
    assert submit(app)["status"] == 200


def test_accepted_job_is_not_refused_when_it_is_submitted_again() -> None:
    links = AdmissionLinks(AdmissionAnswer())
    app = make_admitting_app(KeepingStore(), links)
    assert submit(app)["status"] == 200
    links.answer_given = REFUSED
    assert submit(app)["status"] == 200


@pytest.mark.parametrize(
    "more",
    [
        pytest.param({"steps": [{**STEP, "longRunning": True}]}, id="long-running"),
        pytest.param({"steps": [{**STEP, "fills": True}]}, id="best-effort"),
        pytest.param({"repeatCount": 2, "startAtMs": 1, "intervalMs": 5}, id="scheduled"),
    ],
)
def test_jobs_that_can_wait_are_never_refused(more: dict[str, object]) -> None:
    links = AdmissionLinks(REFUSED)
    assert submit(make_admitting_app(KeepingStore(), links), **more)["status"] == 200
    assert links.asked == []


def test_nothing_changes_where_it_is_off() -> None:
    """Earlier deployments send no questions, and their records stay the same."""
    store, links = KeepingStore(), AdmissionLinks(REFUSED)
    assert submit(make_admitting_app(store, links, is_on=False))["status"] == 200
    assert links.asked == []
    assert len(store.values) == 1 and b'"attempt"' not in store.values[0]
