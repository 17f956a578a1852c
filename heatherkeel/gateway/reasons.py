"""Reasons for which a request of a caller is refused."""

from __future__ import annotations

from enum import StrEnum


class Refusal(StrEnum):
    """Reasons, as used in responses, logs and metrics."""

    NO_CONFIGURATION = "no_configuration"
    CONFIG_OUTDATED = "config_outdated"
    """This process may have missed a change by which the request would be answered otherwise."""
    UNKNOWN_KEY = "unknown_key"
    """The key is missing, or no workspace has it."""
    NO_LAYOUT = "no_layout"
    """The partitions of the queue's service are not known yet."""
    NO_HOME = "no_home"
    """The partitions that accept the queue's jobs are not known yet: the queue is new."""
    NO_SUCH_QUEUE = "no_such_queue"
    NO_SUCH_JOB = "no_such_job"
    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    BODY_TOO_SLOW = "body_too_slow"
    """The body hasn't arrived in time; nothing of it was stored."""
    NO_MEMORY = "no_memory"
    """Other requests hold the memory for requests; nothing was stored."""
    WRONG_METHOD = "wrong_method"
    NO_ROOM = "no_room"
    """The job would end only when it is worth nothing; it isn't stored and never runs."""
    BEYOND_WEIGHT = "beyond_weight"
    """Likewise, since its workspace sends more than its weight allows."""
    AT_LIMIT = "at_limit"
    """Likewise, since its workspace already has much waiting for its limit."""
    NO_JOB_MEMORY = "no_job_memory"
    """Other large jobs of its partition leave no memory for it; it isn't stored and never runs."""
    STORE_AWAY = "store_away"
    """The store is unavailable and nothing was sent to it: the job never runs."""
    STORE_REFUSED = "store_refused"
    """The store refused the record: the job never runs."""
    STORE_SILENT = "store_silent"
    """The store is unresponsive: whether the job was accepted is unknown."""
    OWNER_SILENT = "owner_silent"
    """Neither the owner nor the store returned the job's state in time."""
