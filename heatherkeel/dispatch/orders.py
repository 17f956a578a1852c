"""Handles the answers to orders, and orders that weren't answered."""

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
"""A worker's refusal of a start whose ticket is missing or has expired."""
NO_CAPACITY = "room"
"""The refusal of a start that doesn't fit, by a worker that enforces its capacity."""
_UNREACHABLE = frozenset({Failure.REFUSED, Failure.UNKNOWN})
_NOT_DONE = frozenset(
    {Failure.REFUSED, Failure.INVALID, Failure.RESERVED, Failure.OTHER_INSTANCE, Failure.FENCED}
)


@handles(StartAnswered)
def handle_start_answer(state: PartitionState, event: StartAnswered, effects: Effects) -> None:
    """Handle the result of a start.

    A start without an answer may be carried out seconds later, beside a second run elsewhere. So
    the task is stopped there, which makes the worker refuse a late start, and waits again once the
    worker has confirmed that. A long-running task is stopped only if the next listing doesn't
    show it, since it may already serve its users.
    """
    run = event.run
    if run not in run.task.runs:
        return
    if event.error is None:
        run.begun_ms = event.now_ms
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
    if worker is not None and event.error.failure in _UNREACHABLE:
        # Otherwise the emptiest worker of a pool would be tried again and again.
        mark_unresponsive(state, worker, effects, error=event.error)
    if worker is not None and _is_refusal_persistent(event.error):
        # Its capacity has shrunk and its entry doesn't say so yet, or it can't read the order.
        # Without a pause it would be sent the same start every few milliseconds.
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
        run.start_timed_out_ms = event.now_ms
    else:
        stop_run(state, run, effects)


def _is_refusal_persistent(error: CallError) -> bool:
    """Return whether the worker would refuse the same start again for some time."""
    return error.detail == NO_CAPACITY or error.failure is Failure.INVALID


@handles(StopAnswered)
def handle_stop_answer(state: PartitionState, event: StopAnswered, effects: Effects) -> None:
    """Handle the result of a stop; it is sent again if it failed, while the worker is known."""
    run = event.run
    if run not in run.task.runs:
        return
    if event.error is None:
        run.answered_ms = event.now_ms
        return
    worker = state.workers.get(run.worker_id)
    if event.error.failure is Failure.OTHER_INSTANCE and worker is not None:
        end_incarnation(state, worker, effects, reason=LossReason.ADDRESS_TAKEN)
        return
    if event.error.failure is Failure.OTHER_INSTANCE:
        lose_run(state, run, effects, reason=LossReason.WORKER_GONE)
        return
    if event.error.failure is not Failure.FENCED and run.worker_id in state.workers:
        effects.add(StopTask(run=run))
