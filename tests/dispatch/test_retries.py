"""Tests for the pauses between listings of a worker that doesn't answer."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from heatherkeel.dispatch.const import FAILED_LIST_PAUSE_MS
from heatherkeel.dispatch.retries import (
    JITTER,
    MAX_RETRY_PAUSE_MS,
    PROMPT_RETRIES,
    choose_retry_pause_ms,
)


def count_retries(worker_id: str, *, within_ms: int, has_runs: bool) -> int:
    """Return how many listings that fail at once are begun within a time."""
    begun = elapsed_ms = 0
    while elapsed_ms < within_ms:
        begun += 1
        elapsed_ms += choose_retry_pause_ms(worker_id, failures=begun, has_runs=has_runs)
    return begun


@given(worker_id=st.text(max_size=12))
def test_silent_worker_without_runs_costs_about_one_call_a_second(worker_id: str) -> None:
    """Guards against an owner that spends its processor on machines that are off.

    Beyond the prompt retries and the doublings to the longest pause, there is one call per
    shortest jittered pause: at most 5 + 60 / 0.9 in a minute, where a fixed pause made 200.
    """
    shortest_ms = MAX_RETRY_PAUSE_MS * (1 - JITTER)
    bound = PROMPT_RETRIES + 2 + 60_000 / shortest_ms
    assert count_retries(worker_id, within_ms=60_000, has_runs=False) <= bound


@given(failures=st.integers(1, 10_000))
def test_worker_with_runs_is_asked_again_at_once(failures: int) -> None:
    """Guards against leases that expire while a worker with runs can be reached again."""
    pause_ms = choose_retry_pause_ms("w", failures=failures, has_runs=True)
    assert pause_ms == FAILED_LIST_PAUSE_MS


@given(worker_id=st.text(max_size=12), failures=st.integers(1, 10_000))
def test_pause_stays_between_its_bounds(worker_id: str, failures: int) -> None:
    pause_ms = choose_retry_pause_ms(worker_id, failures=failures, has_runs=False)
    assert FAILED_LIST_PAUSE_MS <= pause_ms <= MAX_RETRY_PAUSE_MS


def test_workers_lost_together_are_not_asked_together() -> None:
    """Guards against bursts of calls after the loss of a rack or of an owner."""
    pauses = {
        choose_retry_pause_ms(f"w{number}", failures=PROMPT_RETRIES + 2, has_runs=False)
        for number in range(100)
    }
    assert len(pauses) > 50
