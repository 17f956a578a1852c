"""Tests for adaptive timeouts."""

from __future__ import annotations

from heatherkeel.platform.adaptive_timeout import AdaptiveTimeout
from heatherkeel.platform.store import SHORTEST_TIMEOUT_S, StoreClient


def test_timeout_stays_short_after_fast_answers() -> None:
    timeout = AdaptiveTimeout(shortest_s=0.3, longest_s=3.5)
    for _ in range(10):
        timeout.record_answer(0.01)
    assert timeout.timeout_s() == 0.3


def test_timeout_grows_until_slow_store_answers() -> None:
    """A timeout learned from a fast store must grow when the store becomes slow."""
    timeout = AdaptiveTimeout(shortest_s=0.3, longest_s=3.5)
    for _ in range(6):
        timeout.record_timeout()
    assert timeout.timeout_s() == 3.5
    timeout.record_answer(0.6)
    assert 0.6 < timeout.timeout_s() < 3.5


def test_append_timeout_follows_response_time_of_reads() -> None:
    """The append timeout must follow slow reads, or retries overload a slow partition."""
    store = StoreClient(address="127.0.0.1:1")
    assert store._write_timeout_s() == SHORTEST_TIMEOUT_S
    for _ in range(4):
        store.read_timeout.record_answer(0.25)
    assert store._write_timeout_s() > 0.8
    for _ in range(20):
        store.read_timeout.record_answer(0.01)
    assert store._write_timeout_s() == SHORTEST_TIMEOUT_S
