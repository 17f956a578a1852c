"""Log lines about workers."""

from __future__ import annotations

import logging

from heatherkeel.platform.operator import WorkerEntry
from heatherkeel.platform.workers import EndedTask, Listing

from .state import PartitionState
from .worker import Worker

_LOGGER = logging.getLogger(__name__)


def log_restart(worker: Worker, later: Worker) -> None:
    """Log that a worker has restarted, with the state known of its earlier incarnation."""
    _LOGGER.info(
        "worker restarted",
        extra={
            "event": "worker_restarted",
            "worker": worker.id,
            "born": later.born,
            "born_before": worker.born,
            "runs": len(worker.runs),
            "seen": worker.last_processed_end,
            "acknowledged": worker.last_stored_end,
        },
    )


def log_worker_event(worker_id: str, event: str, detail: str) -> None:
    """Log an event of a worker."""
    _LOGGER.info(
        "worker %s", worker_id, extra={"event": event, "worker": worker_id, "detail": detail}
    )


def log_ignored_entry(state: PartitionState, worker_id: str, entry: WorkerEntry) -> None:
    """Log, once per incarnation, that the entry of an ended incarnation is ignored."""
    if state.ignored_entries.get(worker_id) == entry.born:
        return
    state.ignored_entries[worker_id] = entry.born
    _LOGGER.info(
        "entry of an ended worker incarnation ignored",
        extra={"event": "worker_left_out", "worker": worker_id, "born": entry.born},
    )


def log_worker_answered(worker: Worker, listing: Listing) -> None:
    """Log the first answer of a worker, or the first after it was unresponsive."""
    _LOGGER.info(
        "worker answered",
        extra={
            "event": "worker_heard",
            "worker": worker.id,
            "born": listing.born,
            "clock_ms": listing.clock_ms,
            "clock_before_ms": worker.clock_ms,
            "silent_since_ms": worker.unresponsive_since_ms if worker.is_unresponsive else None,
            "running": len(listing.running),
            "known_runs": len(worker.runs),
            "last_end": listing.ended[-1].number if listing.ended else 0,
            "seen": worker.last_processed_end,
            "acknowledged": worker.last_stored_end,
        },
    )


def log_cut_listing(worker: Worker, listing: Listing) -> None:
    """Log a listing with as many ends as it can hold, and the runs that may be among the others."""
    _LOGGER.info(
        "listing may lack ends",
        extra={
            "event": "listing_cut",
            "worker": worker.id,
            "first_end": listing.ended[0].number,
            "last_end": listing.ended[-1].number,
            "running": len(listing.running),
            "may_have_ended": sum(1 for run in worker.runs.values() if run.may_have_ended),
            "acknowledged": worker.last_stored_end,
        },
    )


def log_ignored_end(worker: Worker, ended: EndedTask) -> None:
    """Log that the end of a known run is ignored, because its number was processed before."""
    _LOGGER.warning(
        "end of a run ignored, because its number was processed before",
        extra={
            "event": "end_passed_over",
            "task": ended.task,
            "attempt": ended.attempt,
            "worker": worker.id,
            "outcome": ended.outcome,
            "number": ended.number,
            "seen": worker.last_processed_end,
        },
    )
