"""Which calls a process makes for others."""

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
from heatherkeel.relay.const import LARGEST_BODY, MOST_AT_ONCE, OLDEST_MS
from heatherkeel.relay.metrics import RelayMetrics, Served


class FakeStore:
    """Answers every call with one body."""

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


def test_call_is_made_and_its_answer_told() -> None:
    store = FakeStore()
    told = trio.run(make_relay(store).async_answer, ask())
    assert told == RelayAnswer(status=200, body=b"done")
    assert [call.target for call in store.made] == ["/heatherkeel/log-join"]


@pytest.mark.parametrize(
    ("asked", "why"),
    [
        (ask("/heatherkeel/run-start"), Served.NOT_ALLOWED),
        (ask("http://10.0.0.1/heatherkeel/log-join"), Served.NOT_ALLOWED),
        (ask(age_ms=OLDEST_MS + 1000), Served.TOO_OLD),
        (ask(age_ms=-60_000), Served.TOO_OLD),
    ],
)
def test_call_that_is_not_for_the_store_or_comes_late_is_not_made(
    asked: RelayQuestion, why: Served
) -> None:
    """A partition holds a renewal up, and the member has left by the time that it heals.

    Made so late, it would bring the member back, and partitions would go to a process that is
    gone. What isn't a call to the store on records or groups is nobody else's to make.
    """
    store = FakeStore()
    told = trio.run(make_relay(store).async_answer, asked)
    assert (told.failure, told.detail) == (Failure.REFUSED, why.value)
    assert store.made == []


def test_only_so_many_calls_of_others_are_made_at_once() -> None:
    store = FakeStore()
    relay = make_relay(store)
    relay.under_way = MOST_AT_ONCE
    told = trio.run(relay.async_answer, ask())
    assert (told.failure, told.detail) == (Failure.REFUSED, Served.TOO_MANY.value)


def test_answer_that_is_too_large_for_a_message_is_not_told_as_not_done() -> None:
    relay = make_relay(FakeStore(b"x" * (LARGEST_BODY + 1)))
    told = trio.run(relay.async_answer, ask())
    assert told.failure is Failure.UNKNOWN
