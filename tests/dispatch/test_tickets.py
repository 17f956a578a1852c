"""Steps whose workers are chosen by an advisor."""

from __future__ import annotations

import dataclasses

import msgspec

from heatherkeel.dispatch.events import (
    AdviceReceived,
    AskAdvice,
    Effect,
    QueuesChanged,
    StartAnswered,
)
from heatherkeel.platform.advice import Advisor
from heatherkeel.platform.errors import CallError, Failure

from .partition import Partition, make_step, started_runs


def make_advised_partition(**sizes: int) -> Partition:
    """Return a partition whose queue has an advisor."""
    partition = Partition(**sizes)
    queue = msgspec.structs.replace(
        partition.state.queues["quotes"], advisor=Advisor(decision_ms=20, validity_ms=3000)
    )
    partition.apply(QueuesChanged(**partition.event_times(), queues={"quotes": queue}))
    return partition


def find_question(effects: list[Effect]) -> AskAdvice:
    """Return the only question to the advisor among the effects."""
    (question,) = [effect for effect in effects if isinstance(effect, AskAdvice)]
    return question


def answer_question(partition: Partition, question: AskAdvice, **tickets: str) -> list[Effect]:
    """Apply the advisor's answer to a question."""
    partition.now_ms += 30
    answer = AdviceReceived(
        **partition.event_times(),
        step=question.step,
        worker_ids=question.worker_ids,
        tickets=tickets,
        asked_ms=partition.now_ms - 30,
        validity_ms=3000,
    )
    return partition.apply(answer)


def test_nothing_starts_before_the_advisor_has_answered() -> None:
    partition = make_advised_partition(workers=3)
    effects = partition.submit(make_step(count=2))
    assert not started_runs(effects)
    assert sorted(find_question(effects).worker_ids) == ["w0", "w1", "w2"]


def test_starts_go_to_allowed_workers_with_their_tickets() -> None:
    partition = make_advised_partition(workers=3)
    question = find_question(partition.submit(make_step(count=2)))
    runs = started_runs(answer_question(partition, question, w1="t1"))
    assert {(run.worker_id, run.ticket) for run in runs} == {("w1", "t1")}


def test_unanswered_question_is_asked_again() -> None:
    partition = make_advised_partition(workers=1)
    question = find_question(partition.submit(make_step()))
    no_answer = dataclasses.replace(
        AdviceReceived(
            **partition.event_times(),
            step=question.step,
            worker_ids=question.worker_ids,
            tickets=None,
            asked_ms=partition.now_ms,
            validity_ms=0,
        )
    )
    partition.apply(no_answer)
    partition.effects.clear()
    partition.tick(2000)
    assert find_question(partition.effects).worker_ids == ("w0",)


def test_refused_ticket_is_requested_again() -> None:
    """Guards against reuse of a ticket that expired before its start reached the worker."""
    partition = make_advised_partition(workers=1)
    question = find_question(partition.submit(make_step()))
    (run,) = started_runs(answer_question(partition, question, w0="old"))
    error = CallError(failure=Failure.RESERVED, detail="ticket")
    effects = partition.apply(StartAnswered(**partition.event_times(), run=run, error=error))
    assert not started_runs(effects)
    (run,) = started_runs(answer_question(partition, find_question(effects), w0="new"))
    assert run.ticket == "new"


def test_disallowed_worker_is_not_asked_about_again() -> None:
    partition = make_advised_partition(workers=2, cpu=2000)
    question = find_question(partition.submit(make_step(count=2)))
    answer_question(partition, question, w0="t0")
    partition.effects.clear()
    partition.tick(2000)
    assert not [effect for effect in partition.effects if isinstance(effect, AskAdvice)]
