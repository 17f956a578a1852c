"""Messages between processes, encoded as JSON."""

from __future__ import annotations

import msgspec
from result import Err, Ok, Result

from heatherkeel.durations.messages import DurationsOffer, DurationsReport
from heatherkeel.ownership.partitions import Layout
from heatherkeel.ownership.queue_homes import QueueHomes
from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.errors import Failure
from heatherkeel.platform.ranges import Figure, Int64
from heatherkeel.workspaces.messages import AccountsReport, GrantOffer


class JobQuestion(msgspec.Struct, frozen=True, kw_only=True, tag="job"):
    """Asks for the state of a job."""

    partition: Int64
    job_id: str


class QueueQuestion(msgspec.Struct, frozen=True, kw_only=True, tag="queue"):
    """Asks how many accepted jobs of a queue have no started task."""

    partition: Int64
    queue: str


class PoolsQuestion(msgspec.Struct, frozen=True, kw_only=True, tag="pools"):
    """Asks for the load of the pools, and lists all workers that are to be drained."""

    partition: Int64
    leaving: list[str]
    due: list[str] = []
    """Workers whose machines are due for maintenance: long-running tasks avoid them."""
    offer: GrantOffer | None = None
    """Grants of workspaces' limits; None from a process that lends none."""
    durations: DurationsOffer | None = None
    """What other owners know of durations; None if that isn't due."""
    yielding: list[str] = []
    """The leaving workers whose machines are taken for another pool that lacks some."""
    divides: bool = False
    """The answer is to contain claims, by which machines are divided between pools."""
    removed: list[str] = []
    """Removed queues: the answer is to name those with jobs in the partition."""


class LayoutQuestion(msgspec.Struct, frozen=True, kw_only=True, tag="layout"):
    """Asks for the layout; also answered by processes that own no partition."""

    partition: Int64


class RelayQuestion(msgspec.Struct, frozen=True, kw_only=True, tag="store"):
    """Asks a process to relay a call to the store, which refuses the calls of the asking one.

    It concerns no partition of the process that is asked.
    """

    partition: Int64 = -1
    method: str
    target: str
    body: bytes | None = None
    timeout_s: Figure
    sent_wall_ms: Int64


class GrantsQuestion(msgspec.Struct, frozen=True, kw_only=True, tag="grants"):
    """Asks the lender of limits, who owns the fleet's partition, for grants."""

    partition: Int64
    borrower: Int64
    """The partition whose owner asks."""
    report: AccountsReport | None = None
    """Its accounts; None until it knows the lender's token."""


class StoreJobQuestion(msgspec.Struct, frozen=True, kw_only=True, tag="store_job"):
    """Asks a partition's owner to store a caller's record together with those of others."""

    partition: Int64
    key: str
    value: bytes


class AdmissionQuestion(msgspec.Struct, frozen=True, kw_only=True, tag="admission"):
    """Asks a partition's owner whether a job that isn't stored yet may be stored."""

    partition: Int64
    job_id: str
    queue: str
    workspace: str
    attempt: str
    """Names the submission: a job may be submitted several times."""
    sent_wall_ms: Int64
    work: Figure
    """Declared work, in core-milliseconds."""
    path_ms: Figure
    """Declared critical path, in milliseconds."""
    steps: tuple[StepRequest, ...] = ()
    """The job's steps, by which the owner may know better."""
    kept_bytes: Int64 = 0
    """Memory that its owner would need for a large job; 0 for any other one."""
    only_memory: bool = False
    """Asks about its memory only: jobs aren't admitted by backlog here."""
    only_known: bool = False
    """Asks only whether the job is stored or may be, which the answer's doubt says."""


class OperatorQuestion(msgspec.Struct, frozen=True, kw_only=True, tag="operator"):
    """Asks for the operator's records that the asking process lacks; concerns no partition."""

    partition: Int64 = -1
    sender: str
    """Address of the asking process."""
    reaches_store: bool
    """The asking process's own calls to the store are answered."""
    version: Int64
    """Version of the configuration that the asking process knows; 0 if none."""
    end: Int64
    """Offset from which on the asking process knows no records."""
    takes_parts: bool = False
    """The asking process requests large values part by part; earlier releases can't."""


class OperatorPartQuestion(msgspec.Struct, frozen=True, kw_only=True, tag="operator_part"):
    """Asks for a part of a large value; concerns no partition."""

    partition: Int64 = -1
    key: str
    offset: Int64
    """Offset of the record."""
    start: Int64
    """Where in the value the part begins, in bytes."""


Question = (
    JobQuestion
    | QueueQuestion
    | PoolsQuestion
    | LayoutQuestion
    | RelayQuestion
    | StoreJobQuestion
    | GrantsQuestion
    | OperatorQuestion
    | OperatorPartQuestion
    | AdmissionQuestion
)
SlowQuestion = RelayQuestion | StoreJobQuestion | AdmissionQuestion
"""Questions whose answers need a call to the store."""


class JobAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="job"):
    """A job's state; empty if the owner doesn't know the job."""

    state: str = ""
    workspace: str = ""
    forwarded_to: Int64 | None = None
    """The partition that runs the job instead; its owner knows the state."""
    is_settled: bool = False
    """That partition's owner surely knows the job, unless it has forgotten it."""


class QueueAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="queue"):
    """The number of a queue's accepted jobs without a started task."""

    pending: Int64
    forwarded_to: list[Int64] = []
    """Further partitions that have jobs of the queue."""


class Need(msgspec.Struct, frozen=True, kw_only=True):
    """Requirements of a task that no worker of its share meets, even without other tasks."""

    label: str = ""
    cpu: Int64 = 0
    memory_mb: Int64 = 0
    gpu: Int64 = 0


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """What a pool's jobs of one priority can still use, in thousandths of a core."""

    priority: Int64
    in_time_cpu: Int64 = 0
    """Of running and waiting tasks whose jobs can still meet their objective."""
    soon_cpu: Int64 = 0
    """The part of it that is in time even if it waits for a machine that is moved now."""
    late_cpu: Int64 = 0
    """Of tasks whose jobs will be late, but are still worth something."""
    lasting_cpu: Int64 = 0
    """Of long-running tasks; not contained in the others."""


class PoolLoad(msgspec.Struct, frozen=True, kw_only=True):
    """What a pool's jobs demand and use; processor in thousandths of a core."""

    service: str
    wanted_cpu: Int64
    """Demand of tasks that could start now and of running tasks."""
    used_cpu: Int64
    wanted_memory_mb: Int64 = 0
    """Likewise; long-running tasks may need more machines for memory than for processor."""
    arriving_cpu: Int64 = 0
    """Demand of jobs at the current arrival rate."""
    arrivals: Int64 = 0
    """Number of jobs from which the arrival rate was calculated."""
    lacking: Int64 = 0
    """Number of additional workers that unplaced long-running tasks need."""
    needs: list[Need] = []
    """Unmet requirements of waiting steps; a few at most."""
    reserved: list[str] = []
    """Workers without long-running tasks that waiting tasks need which fit on no other."""
    starved: Int64 = 0
    """Number of additional workers for jobs that have waited for long with nothing running, however
    late they are."""
    workers: dict[str, Int64]
    """The processor that running tasks use, by worker."""
    unheard: list[str] = []
    """Workers that are unresponsive or quarantined, and so no capacity for the pool's jobs."""
    unlisted: list[str] = []
    """Workers that answer, though they have no entry at present."""
    empty: list[str]
    """Drained workers without running tasks."""
    lasting: dict[str, Int64]
    """Number of long-running tasks of each worker that has any."""
    claims: list[Claim] | None = None
    """Claims by priority, a few at most; None from a process that reports none."""
    kept: dict[str, Int64] = {}
    """The processor of tasks that have to end before a worker is empty, where there are any."""


class PoolsAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="pools"):
    """The load of each pool of a partition, and what workspaces use there."""

    pools: list[PoolLoad]
    accounts: AccountsReport | None = None
    durations: DurationsReport | None = None
    held: list[str] | None = None
    """The removed queues that have jobs here; None from a process that doesn't report them."""


class LayoutAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="layout"):
    """The layout as known to the process that was asked; empty if it isn't known."""

    layout: Layout
    queue_homes: QueueHomes | None = QueueHomes()


class NotOwner(msgspec.Struct, frozen=True, kw_only=True, tag="not_owner"):
    """The process that was asked doesn't own the partition, or hasn't restored its jobs yet."""


class RelayAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="store"):
    """The store's answer; `failure` is set if there is none."""

    status: Int64 = 0
    body: bytes = b""
    failure: Failure | None = None
    detail: str = ""


class GrantsAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="grants"):
    """The lender's next offer to the owner that asked; None if it lends nothing there."""

    offer: GrantOffer | None = None


class StoreJobAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="store_job"):
    """Whether the record was stored; `failure` says why not."""

    failure: Failure | None = None
    status: Int64 = 0
    detail: str = ""


class AdmissionAnswer(
    msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, tag="admission"
):
    """Whether a job may be stored; times in milliseconds from the answer on."""

    refusal: str = ""
    """Why it is refused; empty if it is admitted."""
    retry_s: Int64 = 0
    """When a refused job may be submitted again, in seconds."""
    doubt: str = ""
    """Why it is admitted without regard to the backlog; empty if there is no doubt."""
    begins_ms: Int64 = 0
    ends_ms: Int64 = 0
    worthless_ms: Int64 = 0
    ahead: Int64 = 0
    """Work that goes before it, in core-milliseconds."""
    cores: Int64 = 0
    age_ms: Int64 = 0
    """Age of the measured backlog."""


class OperatorRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One of the operator's records; an empty value means that the key was deleted."""

    key: str
    value: bytes
    offset: Int64
    size: Int64 = 0
    """Size of a large value that is left out, in bytes; 0 if it isn't left out."""


class OperatorAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="operator"):
    """The operator's records from an offset on, as far as the process that was asked knows them."""

    records: list[OperatorRecord]
    end: Int64
    """Offset up to which the newest record of each key is known, also by its absence here."""
    age_ms: Int64 | None
    """Time since these records were known to be all; None if they weren't read yet."""
    reaches_store: bool
    """The calls to the store of the process that was asked are answered."""
    peers: list[str] = []
    """Addresses of a few other processes."""
    zone: str = ""
    """Availability zone of the process that was asked."""
    link_mbps: Figure = 0.0
    """Bandwidth of its link, in Mbit/s; 0 if it isn't known."""


class OperatorPartAnswer(msgspec.Struct, frozen=True, kw_only=True, tag="operator_part"):
    """A part of a value, compressed with zlib; empty if another record has replaced it."""

    data: bytes = b""


Answer = (
    JobAnswer
    | QueueAnswer
    | PoolsAnswer
    | LayoutAnswer
    | RelayAnswer
    | StoreJobAnswer
    | GrantsAnswer
    | OperatorAnswer
    | OperatorPartAnswer
    | AdmissionAnswer
    | NotOwner
)


def encode_message(message: Question | Answer) -> bytes:
    """Encode a message."""
    return msgspec.json.encode(message)


def decode_question(data: bytes) -> Result[Question, str]:
    """Decode a question; returns the error's text if it is malformed."""
    try:
        return Ok(msgspec.json.decode(data, type=Question))
    except (ValueError, RecursionError) as err:
        return Err(str(err))


def decode_answer(data: bytes) -> Result[Answer, str]:
    """Decode an answer; returns the error's text if it is malformed."""
    try:
        return Ok(msgspec.json.decode(data, type=Answer))
    except (ValueError, RecursionError) as err:
        return Err(str(err))
