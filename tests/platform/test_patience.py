"""Timeouts that follow the answers."""

from __future__ import annotations

from heatherkeel.platform.patience import Patience


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
