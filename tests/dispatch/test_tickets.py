"""Steps that only some workers may run, as only the advisor knows."""

from __future__ import annotations

import dataclasses

import msgspec

from heatherkeel.dispatch.events import AdviceTold, AskAdvice, Effect, QueuesChanged, StartAnswered
from heatherkeel.platform.advice import Advisor
from heatherkeel.platform.errors import CallError, Failure

from .partition import Partition, make_step, started_runs


def advised(**sizes: int) -> Partition:
    """Return a partition whose queue needs advice."""
    partition = Partition(**sizes)
    queue = msgspec.structs.replace(
        partition.state.queues["quotes"], advisor=Advisor(decision_ms=20, validity_ms=3000)
    )
    partition.apply(QueuesChanged(**partition.event_times(), queues={"quotes": queue}))
    return partition


def asked(effects: list[Effect]) -> AskAdvice:
    """Return the one question among effects."""
    (question,) = [effect for effect in effects if isinstance(effect, AskAdvice)]
    return question


def tell(partition: Partition, question: AskAdvice, **tickets: str) -> list[Effect]:
    """Answer a question."""
    partition.now_ms += 30
    told = AdviceTold(
        **partition.event_times(),
        step=question.step,
        worker_ids=question.worker_ids,
        tickets=tickets,
        asked_ms=partition.now_ms - 30,
        validity_ms=3000,
    )
    return partition.apply(told)


def test_nothing_starts_before_the_advisor_has_told() -> None:
    partition = advised(workers=3)
    effects = partition.submit(make_step(count=2))
    assert not started_runs(effects)
    assert sorted(asked(effects).worker_ids) == ["w0", "w1", "w2"]


def test_starts_go_to_allowed_workers_with_their_tickets() -> None:
    partition = advised(workers=3)
    question = asked(partition.submit(make_step(count=2)))
    runs = started_runs(tell(partition, question, w1="t1"))
    assert {(run.worker_id, run.ticket) for run in runs} == {("w1", "t1")}


def test_question_without_an_answer_is_asked_again() -> None:
    partition = advised(workers=1)
    question = asked(partition.submit(make_step()))
    silent = dataclasses.replace(
        AdviceTold(
            **partition.event_times(),
            step=question.step,
            worker_ids=question.worker_ids,
            tickets=None,
            asked_ms=partition.now_ms,
            validity_ms=0,
        )
    )
    partition.apply(silent)
    partition.effects.clear()
    partition.tick(2000)
    assert asked(partition.effects).worker_ids == ("w0",)


def test_ticket_that_a_worker_refuses_is_asked_for_anew() -> None:
    """A start waits for the store, and its ticket runs out before it reaches the worker.

    Kept, the ticket would be refused again and again; each refused start is priced.
    """
    partition = advised(workers=1)
    question = asked(partition.submit(make_step()))
    (run,) = started_runs(tell(partition, question, w0="old"))
    error = CallError(failure=Failure.RESERVED, detail="ticket")
    effects = partition.apply(StartAnswered(**partition.event_times(), run=run, error=error))
    assert not started_runs(effects)
    (run,) = started_runs(tell(partition, asked(effects), w0="new"))
    assert run.ticket == "new"


def test_worker_that_may_not_run_a_step_is_not_asked_about_again() -> None:
    partition = advised(workers=2, cpu=2000)
    question = asked(partition.submit(make_step(count=2)))
    tell(partition, question, w0="t0")
    partition.effects.clear()
    partition.tick(2000)
    assert not [effect for effect in partition.effects if isinstance(effect, AskAdvice)]
