"""Which jobs an owner refuses, and what it remembers of that."""

from __future__ import annotations

import msgspec
import pytest

from heatherkeel.admission.const import MAX_QUESTION_AGE_MS, QUIET_MS, REMEMBERED_MS
from heatherkeel.admission.desk import AdmissionDesk, Decision
from heatherkeel.admission.memory import AdmissionMemory
from heatherkeel.admission.models import Doubt, PoolBacklog
from heatherkeel.questions.messages import AdmissionQuestion
from tests.dispatch.partition import Partition, make_step
from tests.durations.test_book import teach

NOW_MS = 100_000
WALL_MS = 1_000_000
QUESTION = AdmissionQuestion(
    partition=0,
    job_id="00000000000000cc",
    queue="quotes",
    workspace="",
    attempt="a1",
    sent_wall_ms=WALL_MS,
    work=8000.0,
    path_ms=1000.0,
)


def make_desk(partition: Partition, *, opened_ms: int = 0) -> AdmissionDesk:
    """Return a desk whose pool has far too much to do."""
    desk = AdmissionDesk(state=partition.state, opened_ms=opened_ms)
    desk.meter.measured["portal"] = PoolBacklog(
        measured_ms=NOW_MS, cores=10.0, running=1_000_000.0, lasted_ms=10_000
    )
    return desk


def decide(
    desk: AdmissionDesk,
    question: AdmissionQuestion = QUESTION,
    *,
    is_current: bool = True,
    wall_ms: int = WALL_MS,
) -> Decision:
    """Decide on a job at the usual time."""
    return desk.decide(
        question, now_ms=NOW_MS, wall_ms=wall_ms, is_current=is_current, partitions=1
    )


def refuse(desk: AdmissionDesk, question: AdmissionQuestion = QUESTION) -> int:
    """Refuse a job, and return its Retry-After."""
    decision = decide(desk, question)
    assert decision.is_refusal()
    return desk.refuse(question, decision, now_ms=NOW_MS, wall_ms=WALL_MS)


def name(number: int) -> AdmissionQuestion:
    """Return the question about another job."""
    return msgspec.structs.replace(QUESTION, job_id=f"{number:016x}")


def test_hopeless_job_is_refused() -> None:
    assert decide(make_desk(Partition())).is_refusal()


def test_learned_durations_take_the_place_of_declared_ones() -> None:
    """Guards against refusals by declared durations that are far off."""
    partition = Partition()
    desk = make_desk(partition)
    step = make_step(count=4, cpu=1000, estimated_ms=20_000)
    question = msgspec.structs.replace(QUESTION, work=80_000.0, path_ms=20_000.0, steps=(step,))
    assert decide(desk, question).work == 80_000
    teach(partition.state.durations, queue=QUESTION.queue)
    assert decide(desk, question).work < 40_000


def test_stored_job_is_never_refused() -> None:
    """Guards against "never runs" for a job that another entry instance has accepted."""
    partition = Partition()
    partition.submit(make_step(), job_id=QUESTION.job_id)
    assert decide(make_desk(partition)).doubt is Doubt.KNOWN


def test_admitted_job_is_never_refused_when_it_is_submitted_again() -> None:
    """Guards against a refusal while the admitted submission is still being stored."""
    desk = make_desk(Partition())
    desk.admit(QUESTION.job_id, now_ms=NOW_MS - REMEMBERED_MS + 1)
    assert decide(desk).doubt is Doubt.KNOWN


def test_new_owner_refuses_nothing() -> None:
    """Guards against refusals of what the predecessor has just admitted."""
    desk = make_desk(Partition(), opened_ms=NOW_MS - QUIET_MS + 1)
    assert decide(desk).doubt is Doubt.NEW_OWNER
    assert decide(make_desk(Partition(), opened_ms=NOW_MS - QUIET_MS)).is_refusal()


def test_owner_that_may_miss_stored_jobs_refuses_nothing() -> None:
    assert decide(make_desk(Partition()), is_current=False).doubt is Doubt.NOT_CURRENT
    partition = Partition()
    partition.state.can_start = False
    assert decide(make_desk(partition)).doubt is Doubt.NOT_CURRENT


@pytest.mark.parametrize("age_ms", [MAX_QUESTION_AGE_MS + 1, -MAX_QUESTION_AGE_MS - 1])
def test_late_question_is_not_answered_by_a_refusal(age_ms: int) -> None:
    """Guards against a refusal that arrives once the entry instance has stored the job."""
    desk = make_desk(Partition())
    assert decide(desk, wall_ms=WALL_MS + age_ms).doubt is Doubt.OLD_QUESTION


def test_returns_are_spread_and_the_longest_refused_come_first() -> None:
    desk = make_desk(Partition())
    desk.meter.measured["portal"] = PoolBacklog(
        measured_ms=NOW_MS, cores=10.0, running=100_000.0, lasted_ms=10_000
    )
    retries = [refuse(desk, name(number)) for number in range(10)]
    assert retries == sorted(retries) and retries[-1] >= retries[0] + 5
    assert refuse(desk, name(9)) == retries[0]


def test_room_is_kept_for_jobs_that_are_about_to_return() -> None:
    """Guards against newcomers that take the room which refused jobs were told of."""
    partition = Partition()
    desk = make_desk(partition)
    for number in range(20):
        refuse(desk, name(number))
        desk.memory.refused[f"{number:016x}"].returns_ms = NOW_MS
    desk.meter.measured["portal"] = PoolBacklog(measured_ms=NOW_MS, cores=10.0, lasted_ms=10_000)
    assert decide(desk, name(50)).is_refusal()
    assert not decide(desk, name(0)).is_refusal()


def test_submission_from_before_the_refusal_is_late() -> None:
    """Guards against running a job after its caller was told that it never runs."""
    desk = make_desk(Partition())
    refuse(desk)
    memory = desk.memory
    job_id = QUESTION.job_id
    assert memory.is_late(job_id, attempt="a0", accepted_wall_ms=WALL_MS - 500)
    assert not memory.is_late(job_id, attempt="a2", accepted_wall_ms=WALL_MS + 2000)


def test_refused_submission_whose_refusal_got_lost_runs() -> None:
    """Guards against losing a job that its entry instance accepted without an answer."""
    desk = make_desk(Partition())
    refuse(desk)
    assert not desk.memory.is_late(
        QUESTION.job_id, attempt=QUESTION.attempt, accepted_wall_ms=WALL_MS - 500
    )


def test_job_that_was_admitted_when_it_returned_is_never_late() -> None:
    desk = make_desk(Partition())
    refuse(desk)
    desk.admit(QUESTION.job_id, now_ms=NOW_MS)
    assert not desk.memory.is_late(QUESTION.job_id, attempt="a0", accepted_wall_ms=0)
    assert desk.judge.waiting == []


def test_decisions_are_forgotten() -> None:
    memory = AdmissionMemory()
    memory.admit("aa", now_ms=0)
    memory.admit("bb", now_ms=REMEMBERED_MS)
    memory.forget_old(REMEMBERED_MS + 1)
    assert list(memory.admitted) == ["bb"]


def test_refusal_is_wrong_if_the_pool_has_room_after_all() -> None:
    desk = make_desk(Partition())
    refuse(desk)
    assert desk.judge.observe({"portal": 7999.0}, now_ms=NOW_MS + 200) == []
    (verdict,) = desk.judge.observe({"portal": 1.0}, now_ms=NOW_MS + 400)
    assert not verdict.is_right
    refuse(desk, name(1))
    (verdict,) = desk.judge.observe({}, now_ms=NOW_MS + 60_000)
    assert verdict.is_right


def test_returns_begin_anew_at_the_longest_retry_after() -> None:
    """Guards against callers of a long overload who all return together."""
    memory = AdmissionMemory()
    planned = [
        memory.plan_return("portal", room_ms=1000, takes_ms=100, latest_ms=20_000)
        for _ in range(400)
    ]
    assert max(planned) <= 20_000
    assert len(set(planned)) > 100
    assert planned.count(20_000) < 10
