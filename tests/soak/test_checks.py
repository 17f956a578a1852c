"""The checks of tasks find what they have to, and let pass what has a cause."""

from __future__ import annotations

from heatherkeel.soak.checks import (
    find_refused_starts,
    find_unjustified_failures,
    find_violations,
)
from heatherkeel.standins.history import LEFT, Happening, TaskEvent

TASK = "0123.0.0.0"
SHOWN_S = 100.0
OF_LIFE = (Happening.LIFE_BEGAN, Happening.LIFE_ENDED, Happening.LEASE_LAPSED)


def event(at_s: float, what: Happening, life: int = 1, outcome: str = "") -> TaskEvent:
    is_of_task = what not in OF_LIFE
    return TaskEvent(
        at_s=at_s,
        what=what,
        life=(f"i-{life}", life),
        task=TASK if is_of_task else "",
        attempt=1,
        outcome=outcome,
    )


def crash(at_s: float, life: int) -> list[TaskEvent]:
    return [event(at_s, Happening.STARTED, life), event(at_s + 1, Happening.LIFE_ENDED, life)]


def failure(at_s: float, life: int = 1) -> list[TaskEvent]:
    return [
        event(at_s, Happening.STARTED, life),
        event(at_s + 1, Happening.ENDED, life, "failed"),
        event(at_s + 2, Happening.ACKNOWLEDGED, life, "failed"),
    ]


def is_justified(history: list[TaskEvent], shown_s: float = SHOWN_S) -> bool:
    return not find_unjustified_failures(history, {"0123": shown_s}, max_failures=2)


def test_failed_has_a_cause_after_enough_ends_or_two_crashes() -> None:
    assert is_justified(failure(1) + failure(5))
    assert is_justified(crash(1, life=1) + crash(5, life=2))
    dark = [event(1, Happening.STARTED), event(2, Happening.DARK)]
    assert is_justified(dark + crash(5, life=2))


def test_failed_has_no_cause_after_one_of_them_or_one_of_each() -> None:
    assert not is_justified([])
    assert not is_justified(failure(1))
    assert not is_justified(crash(1, life=1))
    assert not is_justified(failure(1) + crash(5, life=2))


def test_a_worker_that_was_only_cut_off_is_no_cause() -> None:
    lapsed = [
        event(1, Happening.STARTED, 1),
        event(8, Happening.ENDED, 1, "lapsed"),
        event(9, Happening.STARTED, 2),
        event(16, Happening.ENDED, 2, "lapsed"),
    ]
    assert not is_justified(lapsed)
    # Both are killed later, when the task was not there any more.
    later = [event(20, Happening.LIFE_ENDED, 1), event(20, Happening.LIFE_ENDED, 2)]
    assert not is_justified(lapsed + later)


def test_a_crash_after_the_job_was_shown_or_the_end_acknowledged_is_no_cause() -> None:
    history = crash(1, life=1) + crash(5, life=2)
    assert not is_justified(history, shown_s=5.5)
    stopped = [
        event(1, Happening.STARTED, 1),
        event(2, Happening.ENDED, 1, "stopped"),
        event(3, Happening.ACKNOWLEDGED, 1, "stopped"),
        event(4, Happening.LIFE_ENDED, 1),
    ]
    assert not is_justified(stopped + crash(5, life=2))


def test_a_task_that_runs_twice_at_a_time_is_found() -> None:
    twice = [event(1, Happening.STARTED, 1), event(2, Happening.STARTED, 2)]
    assert "runs twice" in find_violations(twice)[0]
    after_crash = [*crash(1, life=1), event(3, Happening.STARTED, 2)]
    assert find_violations(after_crash) == []


def test_a_start_after_an_acknowledged_end_is_found() -> None:
    done = [
        event(1, Happening.STARTED, 1),
        event(2, Happening.ENDED, 1, "done"),
        event(3, Happening.ACKNOWLEDGED, 1, "done"),
    ]
    assert find_violations(done) == []
    again = [*done, event(4, Happening.STARTED, 2)]
    assert "after its end was acknowledged" in find_violations(again)[0]


def test_a_machine_that_was_moved_or_drained_is_no_crash() -> None:
    moved = [
        event(1, Happening.STARTED, 1),
        event(2, Happening.LIFE_ENDED, 1, LEFT),
    ]
    assert not is_justified(moved + crash(5, life=2))


def test_a_start_of_a_refused_job_is_found() -> None:
    started = [event(1, Happening.STARTED)]
    assert find_refused_starts(started, ["0123"]) != []
    assert find_refused_starts(started, ["4567"]) == []


def test_an_end_whose_lease_ran_out_before_it_was_acknowledged_is_excused_if_asked_for() -> None:
    again = [
        event(1, Happening.STARTED, 1),
        event(2, Happening.ENDED, 1, "done"),
        event(7, Happening.LEASE_LAPSED, 1),
        event(8, Happening.ACKNOWLEDGED, 1, "done"),
        event(9, Happening.STARTED, 2),
    ]
    assert find_violations(again) != []
    assert find_violations(again, is_excused_by_lapse=True) == []
    assert find_violations([*again[:2], *again[3:]], is_excused_by_lapse=True) != []
