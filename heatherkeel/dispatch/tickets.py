"""Tickets: the advisor's permissions to run a step on a worker."""

from __future__ import annotations

from .const import ADVICE_RETRY_MS, MAX_ADVICE_WORKERS, TICKET_MARGIN_MS
from .events import AdviceReceived, AskAdvice, Effects
from .models import Step, Ticket
from .registry import handles
from .state import PartitionState
from .worker import Worker


def needs_advice(state: PartitionState, step: Step) -> bool:
    """Return whether a step needs tickets, since its queue has an advisor."""
    terms = state.find_terms(step.job)
    return terms is not None and terms.advisor is not None


def find_ticketed_workers(
    state: PartitionState, step: Step, workers: list[Worker], effects: Effects
) -> list[Worker]:
    """Return the workers with a valid ticket; requests more if none of them has capacity."""
    ticketed = [worker for worker in workers if has_valid_ticket(state, step, worker)]
    if not any(worker.fits(step.request) for worker in ticketed):
        _request_advice(state, step, workers, effects)
    return ticketed


def has_valid_ticket(state: PartitionState, step: Step, worker: Worker) -> bool:
    """Return whether a step may be started on a worker with the ticket that it has."""
    ticket = step.tickets.get(worker.id)
    return ticket is not None and state.now_ms < ticket.until_ms - TICKET_MARGIN_MS


def _request_advice(
    state: PartitionState, step: Step, workers: list[Worker], effects: Effects
) -> None:
    """Ask the advisor about the workers with the most free processor, one request at a time.

    Permissions don't change, so workers that were refused before are left out.
    """
    if step.advice_asked_ms and state.now_ms - step.advice_asked_ms < ADVICE_RETRY_MS:
        return
    unknown = [
        worker
        for worker in workers
        if worker.id not in step.disallowed_workers and not has_valid_ticket(state, step, worker)
    ]
    unknown.sort(key=lambda worker: (-worker.free_cpu(), worker.id))
    worker_ids = tuple(worker.id for worker in unknown[:MAX_ADVICE_WORKERS])
    if worker_ids:
        step.advice_asked_ms = state.now_ms
        effects.add(AskAdvice(step=step, worker_ids=worker_ids))


@handles(AdviceReceived)
def apply_advice(state: PartitionState, event: AdviceReceived, effects: Effects) -> None:
    """Store received tickets; workers that got none aren't asked about again."""
    step = event.step
    if event.tickets is None:
        return
    step.advice_asked_ms = 0
    for worker_id in event.worker_ids:
        text = event.tickets.get(worker_id)
        if text is None:
            step.disallowed_workers.add(worker_id)
        else:
            until_ms = event.asked_ms + event.validity_ms
            step.tickets[worker_id] = Ticket(text=text, until_ms=until_ms)
    effects.touch(step.job.service)
