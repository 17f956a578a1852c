"""Bodies that are too slow, too large once decoded, or for which there is no memory."""

from __future__ import annotations

from functools import partial
from typing import Any

import msgspec
import pytest
import trio
import trio.testing

from heatherkeel.admission.models import Doubt
from heatherkeel.helpers.asgi import ACCOUNT_KEY
from heatherkeel.http_server.budget import MemoryBudget, RequestAccount
from heatherkeel.questions.messages import AdmissionAnswer, Answer

from .calling import JOB_PATH
from .test_admission import AdmissionLinks, KeepingStore, make_admitting_app

SMALL = msgspec.json.encode({"spec": "work 5", "steps": [{"count": 1, "cpu": 1}]})
LARGE = msgspec.json.encode({"spec": "work 5", "steps": [{"count": 20_000, "cpu": 1}]})
ADMITTED = AdmissionAnswer()


def submit(
    body: bytes,
    *,
    links: AdmissionLinks | None = None,
    is_on: bool = False,
    budget_bytes: int = 1 << 20,
    fields: tuple[tuple[bytes, bytes], ...] = (),
    is_stalled: bool = False,
) -> tuple[dict[str, Any], int]:
    """Submit a job; return the start of the answer and the number of stored records."""
    store = KeepingStore()
    app = make_admitting_app(store, links or AdmissionLinks(ADMITTED), is_on=is_on)
    account = RequestAccount(budget=MemoryBudget(limit_bytes=budget_bytes))
    scope = {
        "type": "http",
        "method": "POST",
        "path": JOB_PATH,
        "raw_path": JOB_PATH.encode(),
        "query_string": b"",
        "headers": [(b"host", b"a.example"), *fields],
        "state": {ACCOUNT_KEY: account},
    }
    sent: list[dict[str, Any]] = []

    async def async_receive() -> dict[str, Any]:
        if is_stalled:
            await trio.sleep_forever()
        return {"type": "http.request", "body": body}

    async def async_send(message: dict[str, Any]) -> None:
        sent.append(message)

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(partial(app, scope, async_receive, async_send), clock=clock)
    return sent[0], len(store.values)


def status_of(answer: tuple[dict[str, Any], int]) -> tuple[int, bool, int]:
    """Return the status, whether it says when to return, and the number of stored records."""
    head, stored = answer
    return head["status"], any(name == b"retry-after" for name, _ in head["headers"]), stored


def test_small_job_is_accepted_without_a_question() -> None:
    links = AdmissionLinks(ADMITTED)
    assert status_of(submit(SMALL, links=links)) == (200, False, 1)
    assert links.asked == []


def test_body_that_never_ends_is_refused_after_a_time() -> None:
    """Guards against a request that is held for ever."""
    assert status_of(submit(SMALL, is_stalled=True)) == (408, False, 0)


def test_declared_length_over_the_limit_is_refused_before_the_body_is_read() -> None:
    fields = ((b"content-length", b"999999999"),)
    assert status_of(submit(SMALL, fields=fields, is_stalled=True)) == (413, False, 0)


def test_body_without_memory_is_refused_for_a_moment() -> None:
    body = SMALL + b" " * 100_000
    assert status_of(submit(body, budget_bytes=1000)) == (503, True, 0)


def test_body_whose_values_take_too_much_is_refused_for_good() -> None:
    body = b'{"spec":"x","steps":[' + b",".join([b"{}"] * 20_000) + b"]}"
    assert status_of(submit(body)) == (413, False, 0)


def test_large_job_is_stored_once_its_owner_has_memory() -> None:
    links = AdmissionLinks(ADMITTED)
    assert status_of(submit(LARGE, links=links)) == (200, False, 1)
    (question,) = links.asked
    assert question.kept_bytes > 10_000_000 and question.only_memory and not question.steps


def test_large_job_without_memory_never_runs() -> None:
    refused = AdmissionAnswer(refusal="no_job_memory", retry_s=5)
    assert status_of(submit(LARGE, links=AdmissionLinks(refused))) == (503, True, 0)


@pytest.mark.parametrize(
    "answer",
    [
        None,
        AdmissionAnswer(doubt=Doubt.NEW_OWNER.value),
        AdmissionAnswer(doubt=Doubt.STORE_SILENT.value),
    ],
)
@pytest.mark.parametrize("is_on", [True, False])
def test_large_job_of_an_unsure_owner_is_neither_stored_nor_denied(
    answer: Answer | None, is_on: bool
) -> None:
    """Guards against "never runs" for a job that an earlier submission may have stored."""
    result = submit(LARGE, links=AdmissionLinks(answer), is_on=is_on)
    assert status_of(result) == (504, False, 0)


def test_large_job_that_is_known_is_accepted_again() -> None:
    known = AdmissionAnswer(doubt=Doubt.KNOWN.value)
    assert status_of(submit(LARGE, links=AdmissionLinks(known))) == (200, False, 1)
