"""Tests for applying a catalogue file."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest
from result import Err, Ok, Result

from heatherkeel.admin.applying import Applier, ApplyOutcome, ApplyResult, diff_lines
from heatherkeel.admin.client import ApiAnswer, CallError, CallFailure

POOL = {"kind": "pool", "owner": "sheetal", "size": 3}
Answer = Result[ApiAnswer, CallError]


def answer(status: int, value: Any = None, **headers: str) -> Answer:
    return Ok(ApiAnswer(status=status, headers=headers, value=value))


def problem(status: int, kind: str, detail: str = "told") -> Answer:
    return answer(status, {"type": f"urn:heatherkeel:problem:{kind}", "detail": detail})


ABSENT = problem(404, "not_found")
ACCEPTED = answer(200, {"record": "sheetal:k", "version": 1, "offset": 7})
LOST: Answer = Err(CallError(failure=CallFailure.UNKNOWN, detail="read failed"))
NO_CONNECTION: Answer = Err(CallError(failure=CallFailure.NOT_SENT, detail="refused"))
NOT_APPENDED = problem(503, "not_appended")


@dataclass(kw_only=True)
class ScriptedClient:
    """Returns the scripted answers in order and records the calls."""

    answers: list[Answer]
    calls: list[tuple[str, str, dict[str, str]]] = field(default_factory=list)

    def call(
        self, method: str, path: str, *, value: Any = None, headers: dict[str, str] | None = None
    ) -> Answer:
        self.calls.append((method, path, headers or {}))
        return self.answers.pop(0)


@dataclass(kw_only=True)
class Clock:
    """A clock that only `sleep` advances."""

    now_s: float = 0.0

    def sleep(self, duration_s: float) -> None:
        self.now_s += duration_s


def apply(client: ScriptedClient, wanted: Any = POOL) -> ApplyResult:
    clock = Clock()
    applier = Applier(
        client=client,  # type: ignore[arg-type]
        repeat_for_s=2.5,
        sleep=clock.sleep,
        now_s=lambda: clock.now_s,
    )
    return applier.apply("desk", wanted)


def test_unchanged_entry_is_not_sent() -> None:
    full = POOL | {"service_class": "interactive"}
    client = ScriptedClient(answers=[answer(200, full, etag='"4"')])
    assert apply(client).outcome is ApplyOutcome.UNCHANGED
    absent = ScriptedClient(answers=[ABSENT])
    assert apply(absent, None).outcome is ApplyOutcome.UNCHANGED


def test_change_sends_its_version_as_precondition() -> None:
    client = ScriptedClient(answers=[answer(200, POOL | {"size": 2}, etag='"4"'), ACCEPTED])
    applied = apply(client)
    assert (applied.outcome, applied.lines) == (ApplyOutcome.CHANGED, ("size: 2 -> 3",))
    assert client.calls[1][2]["if-match"] == '"4"'


@pytest.mark.parametrize("first", [LOST, problem(503, "unknown"), problem(409, "in_progress")])
def test_unknown_outcome_is_retried_under_the_same_key(first: Answer) -> None:
    # The answer to an accepted edit is lost. A retry under a new key would be refused, as if
    # someone else had created the entry.
    client = ScriptedClient(answers=[ABSENT, first, ACCEPTED])
    assert apply(client).outcome is ApplyOutcome.CREATED
    keys = [headers["idempotency-key"] for _, _, headers in client.calls[1:]]
    assert len(keys) == 2 and keys[0] == keys[1]


@pytest.mark.parametrize("later", [NOT_APPENDED, NO_CONNECTION])
def test_possibly_accepted_edit_stays_unknown(later: Answer) -> None:
    # The first attempt may be in the log although the retry isn't. If "not accepted" were
    # reported, the operator would send the edit again.
    client = ScriptedClient(answers=[ABSENT, LOST, later, later, later])
    applied = apply(client)
    assert (applied.outcome, client.answers) == (ApplyOutcome.UNKNOWN, [])
    assert applied.lines[-1].startswith("sent under Idempotency-Key ")
    client = ScriptedClient(answers=[ABSENT, LOST, later, ACCEPTED])
    assert apply(client).outcome is ApplyOutcome.CREATED


@pytest.mark.parametrize("first", [NOT_APPENDED, NO_CONNECTION])
def test_edit_that_was_not_accepted_is_reported_at_once(first: Answer) -> None:
    client = ScriptedClient(answers=[ABSENT, first])
    assert apply(client).outcome is ApplyOutcome.NOT_ACCEPTED


def test_differences_are_listed_by_field() -> None:
    before = {"budget": {"min_serving": 1, "reserve": "rack"}, "pool": "desk"}
    after = {"budget": {"min_serving": 2, "reserve": "rack"}, "owner": "sheetal"}
    assert list(diff_lines(before, after)) == [
        "budget.min_serving: 1 -> 2",
        'owner: (none) -> "sheetal"',
        'pool: "desk" -> (none)',
    ]
