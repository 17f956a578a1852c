"""Tests of what a partition's owner answers about durations."""

from __future__ import annotations

from typing import cast

from heatherkeel.directory.directory import DirectoryState
from heatherkeel.dispatch.events import Event
from heatherkeel.dispatch.owner import PartitionOwner
from heatherkeel.dispatch.reducer import reduce_event
from heatherkeel.dispatch.state import PartitionState
from heatherkeel.durations.messages import DurationsOffer, QueueRow
from heatherkeel.durations.models import StepTimes
from heatherkeel.durations.sums import QueueSums
from heatherkeel.questions.answering import answer_question
from heatherkeel.questions.messages import PoolsAnswer, PoolsQuestion


class Owner:
    """The part of an owner that answers about pools."""

    def __init__(self) -> None:
        self.is_restored = True
        self.state = PartitionState(token=7, lease_ms=6000, status_ms=1000, now_ms=5000)

    def set_leaving_workers(
        self, worker_ids: frozenset[str], *, due: frozenset[str], yielding: frozenset[str]
    ) -> None:
        """Empty no workers."""

    def times(self) -> tuple[int, int]:
        """Return the time of the question."""
        return 5000, 5000

    def handle_event(self, event: Event) -> None:
        """Apply an event."""
        reduce_event(self.state, event)


def ask(owner: Owner, offer: DurationsOffer | None) -> PoolsAnswer:
    question = PoolsQuestion(partition=1, leaving=[], durations=offer)
    answer = answer_question({1: cast(PartitionOwner, owner)}, DirectoryState(), question)
    assert isinstance(answer, PoolsAnswer)
    return answer


def test_an_offer_is_taken_over_and_answered_with_a_report() -> None:
    owner = Owner()
    sums = QueueSums()
    times = StepTimes()
    times.add(900)
    sums.record(300, times, predicted_log=sums.predict_log(300))
    rows = [QueueRow(queue="checks", sums=sums.to_row())]
    offer = DurationsOffer(relay=5, owner=0, since=0, age_ms=200, queues=rows)
    report = ask(owner, offer).durations
    assert report is not None and report.owner == 7
    known = owner.state.durations.queues["checks"]
    assert (round(known.told.steps), known.told_ms) == (1, 4800)


def test_without_an_offer_no_report_is_sent() -> None:
    assert ask(Owner(), None).durations is None
