"""Each promise is found broken when it is, and passes what is allowed."""

from __future__ import annotations

from typing import Any

from heatherkeel.soak.callers import Call, Fate, JobHistory, QueueAnswer, Shown
from heatherkeel.soak.plan import PlannedJob
from heatherkeel.soak.promises import PROMISES, check_promises
from heatherkeel.soak.record import Change, Disturbance, RunRecord
from heatherkeel.standins.history import Happening, TaskEvent

JOB = "00000000000000aa"
TASK = f"{JOB}.0.0.0"
ASKED_S = 50.0
"""When a caller asks: long after what happened before, and with nothing disturbed."""
KNOWN = "nothing accepted is lost"
STAYS = "a final state stays"
CANCELLED = "a cancelled job stays so"
RUNNING = "a job with room runs"
CONFIGURATION = "no configuration is older than its bound"
SERVING = "a part that is cut off serves on"
ATTEMPTS = "attempts are bounded"


def shown(state: str, at_s: float = ASKED_S) -> Shown:
    return Shown(asked_s=at_s, at_s=at_s + 0.1, instance="edge-0", state=state)


def make_job(*answers: Shown, spec: str = "work 100", **known: Any) -> JobHistory:
    plan = PlannedJob(
        at_s=0.0,
        job_id=JOB,
        kind="ordinary",
        spec=spec,
        steps=[],
        cancel_after_s=None,
        draw=1,
        tasks=1,
    )
    given: dict[str, Any] = {"fate": Fate.ACCEPTED, "accepted_s": 1.0} | known
    return JobHistory(plan=plan, shown=list(answers), **given)


def make_record(*jobs: JobHistory, **known: Any) -> RunRecord:
    given: dict[str, Any] = {"until_s": 100.0, "history": [], "instances": ["edge-0"]}
    return RunRecord(jobs=jobs, **(given | known))


def disturbed(from_s: float, until_s: float, kind: str = "kill-instance") -> Disturbance:
    return Disturbance(part="edge-0", kind=kind, what="", from_s=from_s, until_s=until_s)


def find_broken(record: RunRecord) -> list[str]:
    return [name for name, found in check_promises(record).items() if found.broken]


def count_applied(record: RunRecord, name: str) -> int:
    return PROMISES[name](record).applied


def event(at_s: float, what: Happening, life: int = 1, outcome: str = "") -> TaskEvent:
    return TaskEvent(
        at_s=at_s, what=what, life=(f"i-{life}", life), task=TASK, attempt=life, outcome=outcome
    )


def run_once(at_s: float = 2.0) -> list[TaskEvent]:
    return [event(at_s, Happening.STARTED), event(at_s + 1, Happening.ENDED, 1, "done")]


def test_an_accepted_job_has_to_be_known_and_to_end() -> None:
    assert find_broken(make_record(make_job(shown("")))) == [KNOWN]
    assert find_broken(make_record(make_job(shown("", at_s=2.0)))) == []
    excused = make_record(make_job(shown("")), disturbances=[disturbed(45.0, 48.0)])
    assert find_broken(excused) == []
    assert count_applied(excused, KNOWN) == 0
    active = make_job(shown("active"))
    assert find_broken(make_record(active)) == []
    assert find_broken(make_record(active, is_over=True)) == [KNOWN]


def test_a_final_state_stays_and_complete_needs_its_ends() -> None:
    complete = shown("complete", at_s=10.0)
    assert find_broken(make_record(make_job(complete), history=run_once())) == []
    assert find_broken(make_record(make_job(complete))) == ["complete only when done"]
    again = make_job(complete, shown("active"))
    assert find_broken(make_record(again, history=run_once())) == [STAYS]
    soon = make_job(complete, shown("active", at_s=11.0))
    assert find_broken(make_record(soon, history=run_once())) == []
    failed = make_job(complete, shown("failed", at_s=11.0))
    assert STAYS in find_broken(make_record(failed, history=run_once()))


def test_failed_needs_its_cause() -> None:
    assert find_broken(make_record(make_job(shown("failed")))) == ["failed only with its cause"]


def test_a_cancelled_job_stays_so_and_no_other_is() -> None:
    assert find_broken(make_record(make_job(shown("canceled")))) == [CANCELLED]
    cancelled: dict[str, Any] = {"cancel_sent_s": 20.0, "cancelled_s": 21.0}
    assert find_broken(make_record(make_job(shown("canceled"), **cancelled))) == []
    assert find_broken(make_record(make_job(shown("active"), **cancelled))) == [CANCELLED]
    late = [event(40.0, Happening.STARTED)]
    assert find_broken(make_record(make_job(**cancelled), history=late)) == [CANCELLED]


def test_a_job_has_something_running_once_all_faults_are_over() -> None:
    waits = make_record(make_job(), healed_s=50.0)
    assert find_broken(waits) == [RUNNING]
    runs = [event(60.0, Happening.STARTED)]
    assert find_broken(make_record(make_job(), history=runs, healed_s=50.0)) == []
    stands = [*runs, event(70.0, Happening.ENDED, 1, "stopped")]
    assert find_broken(make_record(make_job(), history=stands, healed_s=50.0)) == [RUNNING]


def test_what_was_refused_never_runs() -> None:
    refused = make_job(fate=Fate.REFUSED)
    assert find_broken(make_record(refused, history=run_once())) == ["what is refused never runs"]


def test_attempts_are_bounded() -> None:
    failures = [
        happening
        for life in range(1, 5)
        for happening in (
            event(10.0 * life, Happening.STARTED, life),
            event(10.0 * life + 1, Happening.ENDED, life, "failed"),
            event(10.0 * life + 2, Happening.ACKNOWLEDGED, life, "failed"),
        )
    ]
    assert find_broken(make_record(make_job(), history=failures)) == []
    more = [*failures, event(60.0, Happening.STARTED, 5)]
    assert find_broken(make_record(make_job(), history=more)) == [ATTEMPTS]


def test_a_task_that_crashes_workers_is_not_started_again_and_again() -> None:
    crashes = [
        happening
        for life in range(1, 7)
        for happening in (
            event(10.0 * life, Happening.STARTED, life),
            event(10.0 * life + 1, Happening.LIFE_ENDED, life),
        )
    ]
    guilty = make_job(spec="crashes 0 100")
    assert find_broken(make_record(guilty, history=crashes)) == [ATTEMPTS]
    assert find_broken(make_record(guilty, history=crashes[:10])) == []
    assert find_broken(make_record(make_job(), history=crashes)) == []


def test_an_instance_in_touch_knows_the_newest_configuration() -> None:
    changes = [
        Change(at_s=1.0, version=1, queues=frozenset({"/a/"})),
        Change(at_s=20.0, version=2, queues=frozenset({"/b/"})),
    ]

    def find(prefix: str, *, is_there: bool, at_s: float = ASKED_S) -> list[str]:
        answer = QueueAnswer(
            asked_s=at_s, at_s=at_s + 0.1, instance="edge-0", prefix=prefix, is_there=is_there
        )
        return find_broken(make_record(changes=changes, queue_answers=[answer]))

    assert find("/b/", is_there=True) == find("/a/", is_there=False) == []
    assert find("/a/", is_there=True) == find("/b/", is_there=False) == [CONFIGURATION]
    assert find("/a/", is_there=True, at_s=21.0) == []


def test_an_instance_without_the_store_serves_callers() -> None:
    cut = disturbed(10.0, 20.0, kind="cut-store")

    def find(status: int | None, *others: Disturbance) -> list[str]:
        calls = [
            Call(asked_s=14.0 + place, at_s=14.5 + place, instance="edge-0", status=status)
            for place in range(5)
        ]
        return find_broken(make_record(calls=calls, disturbances=[cut, *others]))

    assert find(200) == []
    assert find(503) == find(None) == [SERVING]
    assert find(503, disturbed(12.0, 13.0)) == []
