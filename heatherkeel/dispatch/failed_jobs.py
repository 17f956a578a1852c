"""What is stored and logged of a job that can't be handled."""

from __future__ import annotations

import traceback
from typing import Final

from .events import Event, JobArrived, JobSubmitted
from .items import Item, ItemFailedError, ItemKind
from .models import Job
from .records import JobOrigin, StoredProgress, StoredRequest
from .recovery import StoredJobs
from .state import PartitionState

MAX_DETAIL_CHARS: Final = 2000
"""Length of the end of a traceback that is logged, in characters."""


def describe_error(error: ItemFailedError) -> str:
    """Return the end of the traceback of what has raised."""
    cause = error.__cause__ or error
    return "".join(traceback.format_exception(cause))[-MAX_DETAIL_CHARS:]


def find_origin(
    state: PartitionState, item: Item, cause: Event | StoredJobs | None
) -> JobOrigin | None:
    """Return where a job comes from, by its submission or by what is known of it.

    None for a worker, and for a job that another partition runs: its end isn't known here.
    """
    if item.kind is not ItemKind.JOB or item.id in state.forwarded:
        return None
    known: Job | StoredProgress | StoredRequest | JobSubmitted | None = state.find_job(item.id)
    if known is None and isinstance(cause, StoredJobs):
        known = cause.progress.get(item.id) or cause.requests.get(item.id)
    elif known is None and isinstance(cause, JobSubmitted):
        known = cause
    elif known is None and isinstance(cause, JobArrived):
        known = cause.progress
    if known is None:
        return None
    return JobOrigin(
        queue=known.queue,
        service=known.service,
        workspace=known.workspace,
        accepted_wall_ms=known.accepted_wall_ms,
        moves=known.moves if isinstance(known, Job | StoredProgress) else 0,
    )
