"""Answers to orders, and what an order without an answer means."""

from __future__ import annotations

import logging

from heatherkeel.platform.errors import CallError, Failure

from .const import FULL_PAUSE_MS
from .ends import lose_run
from .events import Effects, StartAnswered, StopAnswered, StopTask
from .incarnations import end_incarnation
from .jobs import stop_run
from .models import LossReason, RunState
from .registry import handles
from .state import PartitionState
from .workers import mark_unresponsive

_LOGGER = logging.getLogger(__name__)

NO_TICKET = "ticket"
"""Why a worker refuses a start whose ticket is missing, or not good any more."""
NO_ROOM = "room"
"""Why a worker that guards its room refuses a start that doesn't fit."""
_NOT_REACHED = frozenset({Failure.REFUSED, Failure.UNKNOWN})
_NOT_DONE = frozenset(
    {Failure.REFUSED, Failure.INVALID, Failure.RESERVED, Failure.OTHER_INSTANCE, Failure.FENCED}
)


@handles(StartAnswered)
def take_start_answer(state: PartitionState, event: StartAnswered, effects: Effects) -> None:
    """Take in how a start went.

    Without an answer it may be carried out seconds later, on top of a second run elsewhere. A
    stop makes the worker refuse it from then on, so the task is stopped there, and waits again
    when the worker has said so. A lasting task may be at work by now, and a stop would take it
    from its users: it is stopped only if the next listing doesn't show it.
    """
    run = event.run
    if run not in run.task.runs:
        return
    if event.error is None:
        run.has_begun = True
        run.answered_ms = event.now_ms
        if run.state is RunState.PLANNED or run.state is RunState.SENT:
            run.state = RunState.RUNNING
        return
    _LOGGER.info(
        "start failed",
        extra={
            "event": "start_failed",
            "task": run.task.name,
            "attempt": run.attempt,
            "worker": run.worker_id,
            "failure": event.error.failure.value,
            "detail": event.error.detail,
        },
    )
    worker = state.workers.get(run.worker_id)
    if worker is not None and event.error.failure is Failure.OTHER_INSTANCE:
        lose_run(state, run, effects, reason=LossReason.START_NOT_DONE)
        end_incarnation(state, worker, effects, reason=LossReason.ADDRESS_TAKEN)
        return
    if worker is not None and event.error.failure in _NOT_REACHED:
        # The emptiest worker of a pool would be tried again at once, and again.
        mark_unresponsive(state, worker, effects, detail=event.error.detail)
    if worker is not None and _is_refused_for_some_time(event.error):
        # Its room has shrunk, and its entry doesn't say so yet, or it can't read the order. Still
        # the emptiest of its pool, it would be sent the same start every few milliseconds.
        worker.full_until_ms = state.now_ms + FULL_PAUSE_MS
    if event.error.detail == NO_TICKET:
        run.task.step.tickets.pop(run.worker_id, None)
    if event.error.failure in _NOT_DONE and run.state is not RunState.STOPPING:
        lose_run(state, run, effects, reason=LossReason.START_NOT_DONE)
        return
    if run.state is RunState.STOPPING:
        return
    run.state = RunState.SENT
    if run.task.step.request.lasts:
        run.unanswered_ms = event.now_ms
    else:
        stop_run(state, run, effects)


def _is_refused_for_some_time(error: CallError) -> bool:
    """Say whether the same start would be refused again for some time."""
    return error.detail == NO_ROOM or error.failure is Failure.INVALID


@handles(StopAnswered)
def take_stop_answer(state: PartitionState, event: StopAnswered, effects: Effects) -> None:
    """Take in how a stop went; one without an answer is sent again while the worker lives."""
    run = event.run
    if run not in run.task.runs:
        return
    if event.error is None:
        run.answered_ms = event.now_ms
        return
    if event.error.failure is Failure.OTHER_INSTANCE:
        lose_run(state, run, effects, reason=LossReason.WORKER_GONE)
        return
    if event.error.failure is not Failure.FENCED and run.worker_id in state.workers:
        effects.add(StopTask(run=run))
