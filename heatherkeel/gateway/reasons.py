"""Why a caller's request was not carried out."""

from __future__ import annotations

from enum import StrEnum


class Refusal(StrEnum):
    """Reasons, as they stand in answers, logs and counters."""

    NO_CONFIGURATION = "no_configuration"
    NO_LAYOUT = "no_layout"
    """It isn't known yet which partitions run the queue's jobs."""
    NO_SUCH_QUEUE = "no_such_queue"
    NO_SUCH_JOB = "no_such_job"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    WRONG_METHOD = "wrong_method"
    STORE_AWAY = "store_away"
    """Nothing was sent to the store, which has been failing: the job never runs."""
    STORE_REFUSED = "store_refused"
    """The store did nothing: the job was not accepted and never runs."""
    STORE_SILENT = "store_silent"
    """The store may have taken the job: the answer says neither yes nor no."""
    OWNER_SILENT = "owner_silent"
    """Neither the owner nor the store told the job's state in time."""
