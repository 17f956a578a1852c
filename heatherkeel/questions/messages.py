"""Messages between processes, as JSON of one version."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from heatherkeel.ownership.partitions import Layout
from heatherkeel.platform.errors import Failure


class JobAsked(msgspec.Struct, frozen=True, kw_only=True, tag="job"):
    """Asks how a job is."""

    partition: int
    job_id: str


class QueueAsked(msgspec.Struct, frozen=True, kw_only=True, tag="queue"):
    """Asks how many accepted jobs of a queue have no task started."""

    partition: int
    queue: str


class PoolsAsked(msgspec.Struct, frozen=True, kw_only=True, tag="pools"):
    """Asks how full the pools are; these workers, and no others, are to be emptied meanwhile."""

    partition: int
    leaving: list[str]
    due: list[str] = []
    """Workers whose machines are to be maintained later: no place for a lasting task."""


class LayoutAsked(msgspec.Struct, frozen=True, kw_only=True, tag="layout"):
    """Asks how services are laid out, of a process that need not own anything."""

    partition: int


class StoreAsked(msgspec.Struct, frozen=True, kw_only=True, tag="store"):
    """Asks a process to make a call to the store, which turns the asking one away.

    It is about no partition of the process that is asked.
    """

    partition: int = -1
    method: str
    target: str
    body: bytes | None = None
    timeout_s: float
    sent_wall_ms: int


Question = JobAsked | QueueAsked | PoolsAsked | LayoutAsked | StoreAsked


class JobTold(msgspec.Struct, frozen=True, kw_only=True, tag="job"):
    """A job's state; empty if the owner knows no such job."""

    state: str = ""


class QueueTold(msgspec.Struct, frozen=True, kw_only=True, tag="queue"):
    """A queue's length."""

    pending: int


class Need(msgspec.Struct, frozen=True, kw_only=True):
    """What a task asks for that no worker of its share has, even an empty one."""

    label: str = ""
    cpu: int = 0
    memory_mb: int = 0
    gpu: int = 0


class PoolLoad(msgspec.Struct, frozen=True, kw_only=True):
    """What a pool's jobs ask for and have; processor in thousandths of a core."""

    service: str
    wanted_cpu: int
    """Of tasks that could start now, and of what runs."""
    used_cpu: int
    wanted_memory_mb: int = 0
    """Likewise; lasting tasks may need more machines for their memory than for their processor."""
    arriving_cpu: int = 0
    """What jobs ask for at the pace at which they come now."""
    arrivals: int = 0
    """Of how many jobs that pace was taken."""
    lacking: int = 0
    """Workers that lasting tasks without room need beside those that there are."""
    needs: list[Need] = []
    """Of steps that wait; a few at the most."""
    workers: dict[str, int]
    """The processor that runs take, by worker."""
    unheard: list[str] = []
    """Workers that don't answer, or get no work for a while: no room for the pool's jobs."""
    empty: list[str]
    """Workers that leave and on which nothing runs any more."""
    lasting: dict[str, int]
    """How many lasting tasks are at each worker that has any."""


class PoolsTold(msgspec.Struct, frozen=True, kw_only=True, tag="pools"):
    """The load of each pool of a partition."""

    pools: list[PoolLoad]


class LayoutTold(msgspec.Struct, frozen=True, kw_only=True, tag="layout"):
    """The layout as the process that was asked knows it; empty if it doesn't."""

    layout: Layout


class NotOwner(msgspec.Struct, frozen=True, kw_only=True, tag="not_owner"):
    """The process that was asked doesn't own the partition, or doesn't know its jobs yet."""


class StoreTold(msgspec.Struct, frozen=True, kw_only=True, tag="store"):
    """The store's answer, or with `failure` why there is none."""

    status: int = 0
    body: bytes = b""
    failure: Failure | None = None
    detail: str = ""


Answer = JobTold | QueueTold | PoolsTold | LayoutTold | StoreTold | NotOwner


def encode_message(message: Question | Answer) -> bytes:
    """Return a message's bytes."""
    return msgspec.json.encode(message)


def decode_question(data: bytes) -> Result[Question, str]:
    """Read a question."""
    try:
        return Ok(msgspec.json.decode(data, type=Question))
    except (ValueError, RecursionError) as err:
        return Err(str(err))


def decode_answer(data: bytes) -> Result[Answer, str]:
    """Read an answer."""
    try:
        return Ok(msgspec.json.decode(data, type=Answer))
    except (ValueError, RecursionError) as err:
        return Err(str(err))
