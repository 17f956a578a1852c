"""Tests for calls on behalf of peers."""

from __future__ import annotations

from typing import cast

import pytest
import trio
from prometheus_client import CollectorRegistry
from result import Ok, Result

from heatherkeel.helpers.clock import wall_ms
from heatherkeel.platform.caller import Reply
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.route import StoreCall
from heatherkeel.platform.store import StoreClient
from heatherkeel.questions.messages import RelayAnswer, RelayQuestion
from heatherkeel.relay.answering import StoreRelay
from heatherkeel.relay.const import MAX_BODY_BYTES, MAX_CALL_AGE_MS, MAX_CONCURRENT_CALLS
from heatherkeel.relay.metrics import RelayMetrics, Served


class FakeStore:
    """Answers all calls with the same body."""

    def __init__(self, body: bytes = b"done") -> None:
        self.body = body
        self.made: list[StoreCall] = []

    async def async_call_for_peer(self, call: StoreCall) -> Result[Reply, CallError]:
        self.made.append(call)
        return Ok(Reply(status=200, body=self.body))


def make_relay(store: FakeStore) -> StoreRelay:
    metrics = RelayMetrics(registry=CollectorRegistry())
    return StoreRelay(store=cast(StoreClient, store), metrics=metrics)


def ask(target: str = "/heatherkeel/log-join", *, age_ms: int = 0) -> RelayQuestion:
    return RelayQuestion(
        method="POST", target=target, body=b"{}", timeout_s=0.5, sent_wall_ms=wall_ms() - age_ms
    )


def test_call_is_made_and_its_answer_returned() -> None:
    store = FakeStore()
    answer = trio.run(make_relay(store).async_answer, ask())
    assert answer == RelayAnswer(status=200, body=b"done")
    assert [call.target for call in store.made] == ["/heatherkeel/log-join"]


@pytest.mark.parametrize(
    ("target", "age_ms", "why"),
    [
        ("/heatherkeel/run-start", 0, Served.NOT_ALLOWED),
        ("http://10.0.0.1/heatherkeel/log-join", 0, Served.NOT_ALLOWED),
        ("/heatherkeel/log-join", MAX_CALL_AGE_MS + 1000, Served.TOO_OLD),
        ("/heatherkeel/log-join", -60_000, Served.TOO_OLD),
    ],
)
def test_late_call_or_call_to_other_target_is_refused(
    target: str, age_ms: int, why: Served
) -> None:
    """A delayed renewal must not bring back a member that has left; other targets are refused."""
    asked = ask(target, age_ms=age_ms)
    store = FakeStore()
    answer = trio.run(make_relay(store).async_answer, asked)
    assert (answer.failure, answer.detail) == (Failure.REFUSED, why.value)
    assert store.made == []


def test_concurrent_calls_are_limited() -> None:
    store = FakeStore()
    relay = make_relay(store)
    relay.active_calls = MAX_CONCURRENT_CALLS
    answer = trio.run(relay.async_answer, ask())
    assert (answer.failure, answer.detail) == (Failure.REFUSED, Served.TOO_MANY.value)


def test_too_large_answer_is_reported_as_unknown() -> None:
    relay = make_relay(FakeStore(b"x" * (MAX_BODY_BYTES + 1)))
    answer = trio.run(relay.async_answer, ask())
    assert answer.failure is Failure.UNKNOWN
