"""Tickets: which workers may run a step, where only the advisor knows."""

from __future__ import annotations

from heatherkeel.platform.operator import Queue

from .const import ADVICE_RETRY_MS, MAX_ADVISED, TICKET_MARGIN_MS
from .events import AdviceTold, AskAdvice, Effects
from .models import Step, Ticket, Worker
from .registry import handles
from .state import PartitionState


def needs_advice(state: PartitionState, step: Step) -> bool:
    """Say whether starts of a step need tickets."""
    queue: Queue | None = state.queues.get(step.job.queue)
    return queue is not None and queue.advisor is not None


def find_ticketed(
    state: PartitionState, step: Step, workers: list[Worker], effects: Effects
) -> list[Worker]:
    """Return the workers for which there is a good ticket; asks for others if none has room."""
    good = [worker for worker in workers if _is_good(state, step, worker)]
    if not any(worker.fits(step.request) for worker in good):
        _ask(state, step, workers, effects)
    return good


def _is_good(state: PartitionState, step: Step, worker: Worker) -> bool:
    ticket = step.tickets.get(worker.id)
    return ticket is not None and state.now_ms < ticket.until_ms - TICKET_MARGIN_MS


def _ask(state: PartitionState, step: Step, workers: list[Worker], effects: Effects) -> None:
    """Ask about the workers with the most room, once at a time.

    What is allowed doesn't change, so only workers are named that weren't refused before.
    """
    if step.advice_asked_ms and state.now_ms - step.advice_asked_ms < ADVICE_RETRY_MS:
        return
    unknown = [
        worker
        for worker in workers
        if worker.id not in step.barred and not _is_good(state, step, worker)
    ]
    unknown.sort(key=lambda worker: (-worker.free_cpu(), worker.id))
    named = tuple(worker.id for worker in unknown[:MAX_ADVISED])
    if named:
        step.advice_asked_ms = state.now_ms
        effects.add(AskAdvice(step=step, worker_ids=named))


@handles(AdviceTold)
def take_advice(state: PartitionState, event: AdviceTold, effects: Effects) -> None:
    """Take in tickets; workers that got none are not asked about again."""
    step = event.step
    if event.tickets is None:
        return
    step.advice_asked_ms = 0
    for worker_id in event.worker_ids:
        text = event.tickets.get(worker_id)
        if text is None:
            step.barred.add(worker_id)
        else:
            until_ms = event.asked_ms + event.validity_ms
            step.tickets[worker_id] = Ticket(text=text, until_ms=until_ms)
    effects.touch(step.job.service)
