"""What is known of a pool's backlog, and of a job that asks for admission."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import StrEnum

from .const import PATH_BUCKET_MS, UNTIL_BUCKET_MS


class RefusalReason(StrEnum):
    """Why a job that asks for admission surely couldn't be served."""

    NO_ROOM = "no_room"
    """The pool's backlog takes until the job would be worth nothing."""
    BEYOND_WEIGHT = "beyond_weight"
    """Likewise, for a job that comes after all others since its workspace sends more than its
    weight."""
    AT_LIMIT = "at_limit"
    """What its workspace already has waiting for its limit takes as long."""
    NO_JOB_MEMORY = "no_job_memory"
    """The large jobs of its partition leave no memory for it."""


class Doubt(StrEnum):
    """Why a job was admitted without regard to the backlog."""

    NEW_OWNER = "new_owner"
    NOT_CURRENT = "not_current"
    """The owner may not know of all stored jobs, or can't start any."""
    KNOWN = "known"
    """The job was stored or admitted before."""
    OLD_QUESTION = "old_question"
    STORE_SILENT = "store_silent"
    """Whether the job is stored couldn't be read."""
    FULL = "full"
    """Too many IDs are remembered."""
    UNKNOWN_QUEUE = "unknown_queue"


@dataclass(frozen=True, kw_only=True, slots=True)
class Applicant:
    """A job that asks for admission."""

    job_id: str
    workspace: str = ""
    work: float
    """Declared work, in core-milliseconds."""
    path_ms: float
    """Declared critical path."""
    late_ms: float
    """Time from now on after which it can't be in time any more, if it hasn't begun."""
    worthless_ms: float
    """Time from now on after which it is worth nothing."""
    is_excess: bool = False
    """Its workspace submits more than its weight allows."""
    limit_cores: float = 0.0
    """Cores that its workspace may use over all partitions; 0 if not limited."""


Waiting = Mapping[tuple[int, int], float]
"""Work in core-milliseconds, by rank in the order and by the time until which it has that rank; the
time in buckets of `UNTIL_BUCKET_MS` from the measurement on."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolBacklog:
    """The work that waits in one partition's pool; work in core-milliseconds."""

    measured_ms: int
    """On the owner's monotonic clock."""
    cores: float = 0.0
    """Cores for jobs that end, also those of workers that don't respond at the moment."""
    growth: float = 0.0
    """Cores that the pool has recently gained each second."""
    running: float = 0.0
    """Work left of running tasks."""
    in_time: Waiting = field(default_factory=dict)
    """Of jobs that can be in time: by size class, until they are late."""
    live: Waiting = field(default_factory=dict)
    """Of these and late jobs: by path class, until they are worth nothing."""
    excess: Waiting = field(default_factory=dict)
    """Of workspaces beyond their weight: by path class, until it is worth nothing."""
    limited: Mapping[str, float] = field(default_factory=dict)
    """What waits for its workspace's limit, by workspace."""
    lasted_ms: int = 0
    """For how long the pool has had more waiting work than it can begin."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Expectation:
    """When a job would begin and end, in milliseconds from now on."""

    begins_ms: float
    ends_ms: float
    worthless_ms: float
    ahead: float
    """Work that goes before it, in core-milliseconds."""
    reason: RefusalReason

    def is_hopeless(self) -> bool:
        """Return whether the job would end only when it is worth nothing."""
        return self.ends_ms > self.worthless_ms

    def room_in_ms(self) -> float:
        """Return in how long a job like it would have room."""
        return max(0.0, self.ends_ms - self.worthless_ms)


def size_class(work: float) -> int:
    """Return the class of a job's work: each is twice the one before it."""
    return int(work).bit_length()


def path_class(path_ms: float) -> int:
    """Return the class of a job's critical path."""
    return int(path_ms / PATH_BUCKET_MS)


def until_bucket(until_ms: float) -> int:
    """Return the bucket of a time from now on; a time in the past is now."""
    return max(0, int(until_ms / UNTIL_BUCKET_MS))
