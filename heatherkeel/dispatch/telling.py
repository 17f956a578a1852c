"""What the log is told of workers, as their owner comes to know them."""

from __future__ import annotations

import logging

from heatherkeel.platform.operator import WorkerEntry
from heatherkeel.platform.workers import EndedTask, Listing

from .models import Worker
from .state import PartitionState

_LOGGER = logging.getLogger(__name__)


def tell_restart(worker: Worker, later: Worker) -> None:
    """Tell that a worker has started again, and how far its earlier life was known."""
    _LOGGER.info(
        "a worker has started again",
        extra={
            "event": "worker_restarted",
            "worker": worker.id,
            "born": later.born,
            "born_before": worker.born,
            "runs": len(worker.runs),
            "seen": worker.seen,
            "acknowledged": worker.acknowledged,
        },
    )


def tell_worker(worker_id: str, event: str, detail: str) -> None:
    """Log something that is believed of a worker."""
    _LOGGER.info(
        "worker %s", worker_id, extra={"event": event, "worker": worker_id, "detail": detail}
    )


def tell_left_out(state: PartitionState, worker_id: str, entry: WorkerEntry) -> None:
    """Tell once for each life that its entry isn't believed, since the worker counts as gone."""
    if state.left_out.get(worker_id) == entry.born:
        return
    state.left_out[worker_id] = entry.born
    _LOGGER.info(
        "a worker that counts as gone has an entry",
        extra={"event": "worker_left_out", "worker": worker_id, "born": entry.born},
    )


def tell_heard(worker: Worker, listing: Listing) -> None:
    """Tell what a worker says of its life, and how far its ends were known."""
    _LOGGER.info(
        "worker heard",
        extra={
            "event": "worker_heard",
            "worker": worker.id,
            "born": listing.born,
            "clock_ms": listing.clock_ms,
            "clock_before_ms": worker.clock_ms,
            "silent_since_ms": worker.silent_since_ms if worker.is_silent else None,
            "running": len(listing.running),
            "known_runs": len(worker.runs),
            "last_end": listing.ended[-1].number if listing.ended else 0,
            "seen": worker.seen,
            "acknowledged": worker.acknowledged,
        },
    )


def tell_passed_over(worker: Worker, ended: EndedTask) -> None:
    """Tell of the end of a run that should be there, under a number that counts as known."""
    _LOGGER.warning(
        "the end of a run that should be there is passed over, since its number is known",
        extra={
            "event": "end_passed_over",
            "task": ended.task,
            "attempt": ended.attempt,
            "worker": worker.id,
            "outcome": ended.outcome,
            "number": ended.number,
            "seen": worker.seen,
        },
    )
