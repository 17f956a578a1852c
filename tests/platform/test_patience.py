"""Timeouts that follow the answers."""

from __future__ import annotations

from heatherkeel.platform.patience import Patience
from heatherkeel.platform.store import SHORTEST_TIMEOUT_S, StoreClient


def test_lost_answer_costs_little_where_answers_are_quick() -> None:
    patience = Patience(shortest_s=0.3, longest_s=3.5)
    for _ in range(10):
        patience.take_answer(0.01)
    assert patience.timeout_s() == 0.3


def test_timeout_grows_until_a_slow_store_is_heard() -> None:
    """The store slows down sixtyfold; a timeout learned before never waits for its answers."""
    patience = Patience(shortest_s=0.3, longest_s=3.5)
    for _ in range(6):
        patience.take_silence()
    assert patience.timeout_s() == 3.5
    patience.take_answer(0.6)
    assert 0.6 < patience.timeout_s() < 3.5


def test_append_waits_as_long_as_the_store_takes_for_anything() -> None:
    """The store slows down fiftyfold, and a process gets the first caller since then.

    Its own appends have told it nothing yet. Given up after 300 ms, the append would be sent again,
    and again through a peer, and each waits its turn in a partition that takes ten a second.
    """
    store = StoreClient(address="127.0.0.1:1")
    assert store._write_timeout_s() == SHORTEST_TIMEOUT_S
    for _ in range(4):
        store.read_patience.take_answer(0.25)
    assert store._write_timeout_s() > 0.8
    for _ in range(20):
        store.read_patience.take_answer(0.01)
    assert store._write_timeout_s() == SHORTEST_TIMEOUT_S
