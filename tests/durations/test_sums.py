"""Tests of what is learned of one queue."""

from __future__ import annotations

from math import exp, log
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherkeel.durations.const import MAX_LOG_ERROR, MEMORY_STEPS, MIN_STEPS
from heatherkeel.durations.estimator import estimate_step
from heatherkeel.durations.models import StepTimes
from heatherkeel.durations.sums import QueueSums, add_up


def learn(*, off: float, steps: int = 200, seed: int = 5, tasks: int = 6) -> QueueSums:
    """Return sums of steps whose declared durations are off by a log-normal factor."""
    random = Random(seed)
    sums = QueueSums()
    for _ in range(steps):
        real = random.gauss(log(800), 0.5)
        times = StepTimes()
        for _ in range(tasks):
            times.add(exp(random.gauss(real, 0.3)))
        declared_ms = exp(real + random.gauss(0, off))
        sums.record(declared_ms, times, predicted_log=sums.predict_log(declared_ms))
    return sums


def test_without_ends_declared_durations_hold() -> None:
    assert exp(QueueSums().predict_log(700)) == pytest.approx(700)
    assert not QueueSums().is_better(is_used=False)


def test_far_off_declarations_are_replaced() -> None:
    sums = learn(off=0.9)
    assert sums.is_better(is_used=False)
    assert sums.learned_rms() < 0.6 * sums.declared_rms()
    # Most of what is declared beyond the usual isn't believed.
    assert exp(sums.predict_log(8000)) < 3000
    assert exp(sums.predict_log(80)) > 300


@pytest.mark.parametrize("off", [0.1, 0.2, 0.35])
def test_good_declarations_are_kept(off: float) -> None:
    """Guards against a change for callers who declare durations well."""
    for steps in (MIN_STEPS, 20, 200):
        assert not learn(off=off, steps=steps).is_better(is_used=False)


def test_a_shared_bias_is_learned() -> None:
    sums = QueueSums()
    for number in range(40):
        times = StepTimes()
        times.add(3 * (500 + 10 * number))
        declared_ms = 500 + 10 * number
        sums.record(declared_ms, times, predicted_log=sums.predict_log(declared_ms))
    assert exp(sums.predict_log(700)) == pytest.approx(2100, rel=0.1)
    assert sums.is_better(is_used=False)


def test_a_changed_bias_is_learned_again() -> None:
    sums = QueueSums()
    for number in range(2 * MEMORY_STEPS):
        times = StepTimes()
        times.add(300 if number < MEMORY_STEPS else 1500)
        sums.record(500, times, predicted_log=sums.predict_log(500))
    assert exp(sums.predict_log(500)) == pytest.approx(1500, rel=0.75)


def test_a_few_steps_on_slow_workers_change_little() -> None:
    sums = learn(off=0.2, steps=100)
    before = sums.predict_log(800)
    for _ in range(3):
        times = StepTimes()
        times.add(800 * 200)
        sums.record(800, times, predicted_log=sums.predict_log(800))
    assert sums.predict_log(800) - before < 4 * MAX_LOG_ERROR / 100


def test_sums_of_owners_add_up() -> None:
    first, second = learn(off=0.9, steps=30, seed=1), learn(off=0.9, steps=30, seed=2)
    total = add_up([first, second])
    assert total.steps == pytest.approx(first.steps + second.steps)
    assert total.is_better(is_used=False)


def test_rows_round_trip_and_malformed_ones_are_rejected() -> None:
    sums = learn(off=0.9, steps=20)
    restored = QueueSums.from_row(sums.to_row())
    assert restored is not None
    assert restored.predict_log(900) == pytest.approx(sums.predict_log(900), abs=0.01)
    for row in ([], [1.0], [float("nan")] * 9, [-1.0] * 9, [float("inf")] * 9):
        assert QueueSums.from_row(row) is None


def test_known_spread_of_tasks() -> None:
    assert learn(off=0.2).task_spread() == pytest.approx(0.09, rel=0.25)


@given(st.lists(st.floats(allow_nan=False, allow_infinity=False), min_size=9, max_size=9))
def test_whatever_is_told_estimates_stay_finite(row: list[float]) -> None:
    """Guards against a process that stops by sums that overflow."""
    sums = QueueSums.from_row(row)
    if sums is None:
        return
    for declared_ms in (0, 900, 1 << 40):
        estimate = estimate_step(sums, declared_ms=declared_ms, tasks=20_000, known=None)
        assert 0 <= estimate.task_ms <= estimate.longest_ms
