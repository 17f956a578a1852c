"""Fixture for a folded state with a few workers, and helpers that append job records to it."""

from __future__ import annotations

import pytest

import heatherkeel.subjects  # noqa: F401
from heatherkeel.catalogue.models import EntryPut, PoolEntry, ServiceClass, TeamEntry
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import (
    Accepted,
    Effect,
    LogRecord,
    RecordBody,
    Rejected,
    RejectReason,
    Settled,
)
from heatherkeel.core.reducer import fold
from heatherkeel.core.registry import find_violations
from heatherkeel.core.state import FleetState
from heatherkeel.jobs.models import Job, JobSpec, JobStatus, Resources, latest_task_id, task_id
from heatherkeel.jobs.records import JobPlace, JobSubmit, TaskEnded, TaskExit, TaskStarted
from heatherkeel.membership.models import EntryJoin
from heatherkeel.pools.models import InstanceAdmit, InstanceStatus
from heatherkeel.waves.models import DrainStart, Purpose

TEAM = "sheetal"
POOL = "night"
JOB = "sheetal:ledger"


def spec_of(
    *,
    memory_mib: int = 1_000,
    cpu_millicores: int = 1_000,
    idempotent: bool = False,
    checkpointable: bool = False,
    max_attempts: int = 3,
    not_after_ms: int = 0,
    family: str = "ledger",
    service_class: ServiceClass = ServiceClass.BATCH,
    program: str = "",
) -> JobSpec:
    return JobSpec(
        program=program,
        pool=POOL,
        family=family,
        service_class=service_class,
        size=Resources(cpu_millicores=cpu_millicores, memory_mib=memory_mib),
        run_time_s=60,
        idempotent=idempotent,
        checkpointable=checkpointable,
        max_attempts=max_attempts,
        not_after_ms=not_after_ms,
    )


class Fleet:
    """A folded state to which records are appended; invariants are checked after each record."""

    def __init__(self, *, workers: int = 3, cpus: int = 4, memory_mib: int = 4_000) -> None:
        self.state = FleetState()
        self.now_ms = 1_000
        self.effects: list[Effect] = []
        self.accept(put(POOL, PoolEntry(owner=TEAM, size=workers)))
        quota = TeamEntry(owner=TEAM, cpu_quota=1_000, memory_quota_mib=1_000_000)
        self.accept(put(TEAM, quota))
        for number in range(workers):
            self.admit(f"w{number}", cpus=cpus, memory_mib=memory_mib)

    def admit(self, name: str, *, cpus: int = 4, memory_mib: int = 4_000) -> None:
        admit = InstanceAdmit(
            instance=name,
            boot_id="boot",
            zone=f"zone{int(name[1:]) % 3}",
            rack=f"rack{name[1:]}",
            address="127.0.0.1:1",
            cpus=cpus,
            memory_mib=memory_mib,
            pool=POOL,
        )
        self.accept(admit)

    def drain(self, name: str, *, routed: bool = True) -> None:
        """Start to drain a worker; if `routed`, an entry instance has to acknowledge."""
        worker = self.state.pools.instances[name]
        self.accept(put("elsewhere", PoolEntry(owner=TEAM, size=0)))
        if routed:
            self.join(worker.zone)
        self.accept(
            DrainStart(
                instance=name,
                expected_version=worker.version,
                coordinator="entry1",
                purpose=Purpose.MOVE,
                to_pool="elsewhere",
            )
        )
        drained = InstanceStatus.DRAINING if routed else InstanceStatus.QUIESCED
        assert worker.status is drained

    def join(self, zone: str) -> None:
        self.accept(
            EntryJoin(
                instance="entry1",
                incarnation="entry1-1",
                zone=zone,
                peer_address="",
                lease_ms=10_000,
            )
        )

    def append(self, body: RecordBody) -> Accepted | Rejected:
        data = encode(seal(body, author="test", now_ms=self.now_ms))
        record = LogRecord(offset=self.state.next_offset, at_ms=self.now_ms, data=data)
        settled, *self.effects = fold(self.state, record)
        assert find_violations(self.state) == []
        assert isinstance(settled, Settled)
        return settled.outcome

    def accept(self, body: RecordBody) -> Accepted:
        outcome = self.append(body)
        assert isinstance(outcome, Accepted), outcome
        return outcome

    def refuse(self, body: RecordBody) -> RejectReason:
        outcome = self.append(body)
        assert isinstance(outcome, Rejected), outcome
        return outcome.reason

    def job(self, job_id: str = JOB) -> Job:
        return self.state.jobs.live[job_id]

    def status(self, job_id: str = JOB) -> JobStatus:
        live = self.state.jobs.live.get(job_id)
        return live.status if live is not None else self.state.jobs.finished[job_id].status

    def task(self, job_id: str = JOB) -> str:
        return latest_task_id(job_id, self.job(job_id))

    def submit(self, job_id: str = JOB, spec: JobSpec | None = None) -> None:
        self.accept(JobSubmit(job=job_id, team=TEAM, spec=spec or spec_of()))

    def placement(self, instance: str, job_id: str = JOB) -> JobPlace:
        job = self.job(job_id)
        return JobPlace(
            job=job_id,
            attempt=job.attempt + 1,
            expected_version=job.version,
            instance=instance,
            task=task_id(job_id, job, job.attempt + 1),
            placer="entry1",
        )

    def place(self, instance: str, job_id: str = JOB) -> None:
        self.now_ms = max(self.now_ms, self.job(job_id).not_before_ms)
        self.accept(self.placement(instance, job_id))

    def run(self, instance: str, job_id: str = JOB, spec: JobSpec | None = None) -> str:
        """Submit a job if needed, place and start it, and return its task id."""
        if job_id not in self.state.jobs.live:
            self.submit(job_id, spec)
        self.place(instance, job_id)
        self.accept(TaskStarted(task=self.task(job_id)))
        return self.task(job_id)

    def end(self, task: str, task_exit: TaskExit = TaskExit.SUCCEEDED, **more: object) -> None:
        self.accept(TaskEnded(task=task, exit=task_exit, **more))  # type: ignore[arg-type]


def put(name: str, entry: PoolEntry | TeamEntry, *, version: int = 0) -> EntryPut:
    return EntryPut(name=name, expected_version=version, team=TEAM, entry=entry)


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()
