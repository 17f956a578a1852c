"""Simulation of services of several partitions: production reducers of all owners, virtual clock.

Machines, workers and callers are simulated; each partition's owner and the fleet's owner decide.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any
from zlib import crc32

from heatherkeel.dispatch import subjects  # noqa: F401
from heatherkeel.dispatch.events import (
    AcknowledgeEnds,
    Effect,
    Event,
    FindShares,
    ForwardRecord,
    IncarnationsListed,
    JobArrived,
    JobSubmitted,
    QueuesChanged,
    RecordForwarded,
    SharesFound,
    StartAnswered,
    StartTask,
    StopAnswered,
    StopTask,
    Tick,
    WorkerAnswered,
    WorkerFailed,
    WorkersLeaving,
    WorkersListed,
)
from heatherkeel.dispatch.load import measure_pools
from heatherkeel.dispatch.models import Job, Run, RunState
from heatherkeel.dispatch.records import decode_request
from heatherkeel.dispatch.reducer import reduce_event
from heatherkeel.dispatch.shares import choose_share
from heatherkeel.dispatch.state import PartitionState
from heatherkeel.ownership.partitions import Layout, extend_layout
from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.machines import Machine
from heatherkeel.platform.operator import Capacity, Queue, Service, WorkerEntry
from heatherkeel.platform.workers import EndedTask, Listing, RunningTask
from heatherkeel.pooling.models import (
    DirectoryRead,
    FleetEvent,
    FleetOwnerState,
    MachinesListed,
    OrderAnswered,
    OrderMachine,
    PlanDue,
    PoolsMeasured,
)
from heatherkeel.pooling.reducer import reduce_fleet

SPARE = "spare"
CPU = 16_000
MEMORY_MB = 32_768
ZONES = "abcd"
MACHINES_PER_RACK = 8
MOVE_MS = 1500
STEP_MS = 100
HOLD_MS = 500
LIST_MS = 600
ORDER_MS = 5
STORE_MS = 8
TIMEOUT_MS = 300
LEASE_MS = 6000
ENTRY_TTL_MS = 4500
LASTING_READY_MS = 300
LASTING_MS = 1_000_000


@dataclass(kw_only=True)
class SimulatedWorker:
    """One incarnation of a worker, with when each of its runs ends."""

    id: str
    service: str
    born_ms: int
    runs: dict[tuple[str, int], tuple[Run, int, int]] = field(default_factory=dict)
    """Its runs with the times of their start and end."""
    ends: int = 0
    heard_ms: int = 0
    """When it was last in touch with its owner."""


@dataclass(kw_only=True)
class SimulatedMachine:
    """A machine with its place, and the worker on it."""

    name: str
    pool: str
    zone: str
    rack: str
    kind: str = "a"
    lives: int = 0
    state: str = "up"
    back_ms: int | None = None
    dark_since_ms: int | None = None
    """Since when its worker can't be reached and writes no entry."""
    worker: SimulatedWorker | None = None

    def labels(self) -> list[str]:
        """Return its kind and its rack."""
        return [self.kind, self.rack]


class WholeFleet:
    """Services of several partitions each, and one standby pool."""

    def __init__(
        self,
        *,
        pools: dict[str, int],
        partitions: int,
        seed: int,
        divides: bool = True,
        kinds: dict[str, str] | None = None,
    ) -> None:
        """`kinds` names the machines that aren't of kind a."""
        self.random = Random(seed)
        self.now_ms = 10_000
        self.services = [pool for pool in pools if pool != SPARE]
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.listed_ms = 0
        self.jobs: list[Job] = []
        self.outdated: frozenset[str] = frozenset()
        """Workers whose entries are too old for their owners."""
        self.machines = self._create_machines(pools, kinds or {})
        self.layout = self._lay_out(pools, partitions)
        self.owners = {
            number: PartitionState(token=1, lease_ms=LEASE_MS, status_ms=1 << 40)
            for number in self.layout.all_partitions()
        }
        self.fleet = FleetOwnerState(token=1)
        self._configure(divides=divides)
        self._list_machines()
        self._list_workers()

    def _create_machines(
        self, pools: dict[str, int], kinds: dict[str, str]
    ) -> dict[str, SimulatedMachine]:
        machines = {}
        for pool, count in pools.items():
            for number in range(count):
                zone = ZONES[number * len(ZONES) // count]
                name = f"{pool}{number}"
                rack = f"{pool}-r{number // MACHINES_PER_RACK}"
                kind = kinds.get(name, "a")
                machine = SimulatedMachine(name=name, pool=pool, zone=zone, rack=rack, kind=kind)
                self._start_worker(machine)
                machines[name] = machine
        return machines

    def _lay_out(self, pools: dict[str, int], partitions: int) -> Layout:
        names: dict[str, list[str]] = {pool: [] for pool in pools}
        for machine in self.machines.values():
            names[machine.pool].append(machine.name)
        return extend_layout(Layout(), services=self.services, pools=names, partitions=partitions)

    def _configure(self, *, divides: bool) -> None:
        queues = {
            name: Queue(
                name=name,
                host="h",
                path_prefix=f"/{name}/",
                service=name,
                slack_factor=1.6,
                target_latency_ms=600,
                max_failures=3,
            )
            for name in self.services
        }
        for state in self.owners.values():
            self._give(state, QueuesChanged(**self.at(), queues=queues))
        services = {
            name: Service(name=name, is_standby=name == SPARE) for name in [*self.services, SPARE]
        }
        self._plan(
            DirectoryRead(
                now_ms=self.now_ms,
                services=services,
                waves={},
                layout=self.layout,
                divides_machines=divides,
            )
        )

    def at(self) -> dict[str, Any]:
        """Return the times of an event."""
        return {"now_ms": self.now_ms, "wall_ms": self.now_ms}

    def after(self, ms: float, act: Callable[[], None]) -> None:
        """Do something some milliseconds from now."""
        heapq.heappush(self.due, (self.now_ms + round(ms), next(self.order), act))

    def run(self, for_ms: int) -> None:
        """Let some time pass."""
        until_ms = self.now_ms + for_ms
        for ms in range(0, for_ms, STEP_MS):
            self.after(ms, self._step)
        while self.due and self.due[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self.due)
            act()
        self.now_ms = until_ms

    def submit(self, service: str, *steps: StepRequest) -> Job:
        """Submit a job to the share that its ID picks."""
        job_id = f"{self.random.getrandbits(64):016x}"
        partition = self.layout.partition_of_job(service, job_id)
        assert partition is not None
        state = self.owners[partition]
        self._give(
            state,
            JobSubmitted(
                **self.at(),
                job_id=job_id,
                queue=service,
                service=service,
                request=JobRequest(spec="s", steps=steps),
                accepted_wall_ms=self.now_ms,
            ),
        )
        job = state.find_job(job_id)
        assert job is not None
        self.jobs.append(job)
        return job

    def lose(self, machine: SimulatedMachine, *, for_ms: int | None, is_listed: bool) -> None:
        """Take a machine away with all that runs there, for some time or for good.

        With `is_listed`, the list of machines goes on showing it as up.
        """
        machine.worker = None
        machine.dark_since_ms = self.now_ms
        if not is_listed:
            machine.state = "down"
        if for_ms is not None:
            self.after(for_ms, lambda: self._revive(machine))

    def _revive(self, machine: SimulatedMachine) -> None:
        machine.lives += 1
        machine.state = "up"
        machine.dark_since_ms = None
        self._start_worker(machine)

    def cut(self, machine: SimulatedMachine, *, for_ms: int | None) -> None:
        """Make a worker unreachable: it works on, and writes no entry."""
        machine.dark_since_ms = self.now_ms
        if for_ms is not None:
            self.after(for_ms, lambda: self._reconnect(machine))

    def _reconnect(self, machine: SimulatedMachine) -> None:
        machine.dark_since_ms = None

    def _start_worker(self, machine: SimulatedMachine) -> None:
        if machine.pool == SPARE or machine.dark_since_ms is not None:
            return
        machine.worker = SimulatedWorker(
            id=f"{machine.name}-{machine.lives}", service=machine.pool, born_ms=self.now_ms
        )

    def _give(self, state: PartitionState, event: Event) -> None:
        for effect in reduce_event(state, event):
            self._perform(state, effect)

    def _perform(self, state: PartitionState, effect: Effect) -> None:
        match effect:
            case StartTask(run=run):
                self.after(ORDER_MS, lambda: self._start(state, run))
            case StopTask(run=run):
                self.after(ORDER_MS, lambda: self._stop(state, run))
            case AcknowledgeEnds(worker=worker, number=number):
                worker.last_stored_end = worker.last_acknowledged_end = number
            case FindShares(job_ids=job_ids):
                self._find_shares(state, job_ids)
            case ForwardRecord():
                self.after(STORE_MS, lambda: self._forward(state, effect))

    def _find_shares(self, state: PartitionState, job_ids: tuple[str, ...]) -> None:
        """Hand jobs over by the workers' entries, as their owner's process does."""
        entries = {
            number: list(listed.values())
            for number, listed in self._list_entries().items()
            if self.owners[number] is not state
        }
        found = {}
        for job_id in job_ids:
            job = state.jobs[job_id]
            shares = self.layout.partitions_of(job.service)
            others = {number: entries[number] for number in shares if number in entries}
            partition = choose_share(job, others)
            if partition is not None:
                found[job_id] = partition
        self._give(state, SharesFound(**self.at(), partitions=found))

    def _forward(self, state: PartitionState, effect: ForwardRecord) -> None:
        """Let another partition read a job that was handed over to it."""
        stored = decode_request(effect.value).unwrap()
        assert stored.progress is not None
        other, job_id = self.owners[effect.partition], effect.job_id
        arrived = JobArrived(**self.at(), job_id=job_id, stored=stored, progress=stored.progress)
        self._give(other, arrived)
        self._give(state, RecordForwarded(**self.at(), job_id=job_id, key=effect.key))
        job = other.find_job(job_id)
        assert job is not None
        self.jobs = [job if known.id == job_id else known for known in self.jobs]

    def _machine_of(self, worker_id: str) -> SimulatedMachine:
        return self.machines[worker_id.rpartition("-")[0]]

    def _reach(self, worker_id: str) -> SimulatedWorker | None:
        """Return a worker if it can be reached."""
        machine = self._machine_of(worker_id)
        worker = machine.worker
        if machine.dark_since_ms is not None or worker is None or worker.id != worker_id:
            return None
        return worker

    def _start(self, state: PartitionState, run: Run) -> None:
        known = state.workers.get(run.worker_id)
        if run not in run.task.runs or run.state is not RunState.PLANNED or known is None:
            return
        run.state = RunState.SENT
        known.lease_until_ms = max(known.lease_until_ms, known.clock_at(self.now_ms) + LEASE_MS)
        worker = self._reach(run.worker_id)
        if worker is None:
            self.after(TIMEOUT_MS, lambda: self._answer_start(state, run, Failure.UNKNOWN))
            return
        request = run.task.step.request
        took_ms = request.estimated_ms * self.random.lognormvariate(0, 0.25)
        ends_ms = self.now_ms + (LASTING_MS if request.lasts else round(took_ms))
        worker.runs[run.key()] = (run, self.now_ms, ends_ms)
        worker.heard_ms = self.now_ms
        if not request.lasts:
            self.after(took_ms, lambda: self._end(state, worker, run, "done"))
        self._answer_start(state, run, None)

    def _answer_start(self, state: PartitionState, run: Run, failure: Failure | None) -> None:
        error = CallError(failure=failure) if failure else None
        self._give(state, StartAnswered(**self.at(), run=run, error=error))

    def _stop(self, state: PartitionState, run: Run) -> None:
        if run not in run.task.runs:
            return
        worker = self._reach(run.worker_id)
        if worker is None:
            error = CallError(failure=Failure.UNKNOWN)
            answer = StopAnswered(**self.at(), run=run, error=error)
            self.after(TIMEOUT_MS, lambda: self._give(state, answer))
            return
        self._give(state, StopAnswered(**self.at(), run=run, error=None))
        self._end(state, worker, run, "stopped")

    def _end(self, state: PartitionState, worker: SimulatedWorker, run: Run, outcome: str) -> None:
        if worker.runs.pop(run.key(), None) is None:
            return
        if self._reach(worker.id) is not worker:
            return
        worker.ends += 1
        ended = EndedTask(
            number=worker.ends,
            task=run.task.name,
            attempt=run.attempt,
            outcome=outcome,
            saved="",
        )
        self._list_runs(state, worker, [ended])

    def _list_runs(
        self, state: PartitionState, worker: SimulatedWorker, ended: list[EndedTask]
    ) -> None:
        known = state.workers.get(worker.id)
        if known is None:
            return
        worker.heard_ms = self.now_ms
        if known.is_ready():
            until_ms = known.clock_at(self.now_ms) + LEASE_MS
            known.lease_until_ms = max(known.lease_until_ms, until_ms)
        rows = [self._describe(*times) for times in worker.runs.values()]
        listing = Listing(clock_ms=self.now_ms - worker.born_ms, running=rows, ended=ended)
        answer = WorkerAnswered(
            **self.at(), worker_id=worker.id, sent_ms=self.now_ms, listing=listing
        )
        self._give(state, answer)

    def _describe(self, run: Run, started_ms: int, ends_ms: int) -> RunningTask:
        if run.task.step.request.lasts:
            percent = 100.0 if self.now_ms - started_ms >= LASTING_READY_MS else 0.0
        else:
            percent = 100 * (self.now_ms - started_ms) / max(1, ends_ms - started_ms)
        return RunningTask(
            task=run.task.name,
            attempt=run.attempt,
            saved="",
            percent=percent,
            figure=0.0,
        )

    def _step(self) -> None:
        """Do what owners do ten times a second: list, measure, plan, tick."""
        if self.now_ms - self.listed_ms >= LIST_MS:
            self._list_machines()
        self._expire_leases()
        self._list_workers()
        self._exchange_listings()
        leaving = self.fleet.leaving_workers()
        yielding = frozenset(self.fleet.yielding_workers())
        for number, state in self.owners.items():
            worker_ids = frozenset(leaving.get(number, []))
            self._give(
                state,
                WorkersLeaving(**self.at(), worker_ids=worker_ids, yielding=yielding & worker_ids),
            )
            loads = measure_pools(state, with_claims=self.fleet.divides_machines)
            self._plan(PoolsMeasured(now_ms=self.now_ms, partition=number, loads=loads))
        self._plan(PlanDue(now_ms=self.now_ms))
        for state in self.owners.values():
            self._give(state, Tick(**self.at(), outdated=self.outdated))

    def _expire_leases(self) -> None:
        """End what runs on workers that have been out of touch for a lease."""
        for machine in self.machines.values():
            worker = machine.worker
            if worker is not None and self.now_ms - worker.heard_ms > LEASE_MS:
                worker.runs.clear()

    def _exchange_listings(self) -> None:
        for state in self.owners.values():
            for known in list(state.workers.values()):
                worker = self._reach(known.id)
                is_due = (self.now_ms // STEP_MS + crc32(known.id.encode())) % (
                    HOLD_MS // STEP_MS
                ) == 0
                if worker is not None and (is_due or not known.is_ready()):
                    self._list_runs(state, worker, [])
                elif worker is None and is_due:
                    error = CallError(failure=Failure.UNKNOWN)
                    failed = WorkerFailed(**self.at(), worker_id=known.id, error=error)
                    self._give(state, failed)

    def _list_workers(self) -> None:
        for number, listed in self._list_entries().items():
            self._give(self.owners[number], WorkersListed(**self.at(), entries=listed))

    def _list_entries(self) -> dict[int, dict[str, WorkerEntry]]:
        """Return the entries of the workers of each partition."""
        entries: dict[int, dict[str, WorkerEntry]] = {number: {} for number in self.owners}
        for machine in self.machines.values():
            worker = machine.worker
            if worker is None or machine.state != "up":
                continue
            dark_ms = machine.dark_since_ms
            if dark_ms is not None and self.now_ms - dark_ms > ENTRY_TTL_MS:
                continue
            partition = self.layout.partition_of_machine(worker.service, machine.name)
            assert partition is not None
            entries[partition][worker.id] = WorkerEntry(
                service=worker.service,
                address="",
                zone=machine.zone,
                capacity=Capacity(cpu=CPU, memory_mb=MEMORY_MB),
                labels=machine.labels(),
                machine=machine.name,
            )
        return entries

    def _list_machines(self) -> None:
        self.listed_ms = self.now_ms
        machines = [
            Machine(
                name=machine.name,
                pool=machine.pool,
                state=machine.state,
                zone=machine.zone,
                labels=machine.labels(),
                capacity=Capacity(cpu=CPU, memory_mb=MEMORY_MB),
                worker_id=(None if machine.pool == SPARE else f"{machine.name}-{machine.lives}"),
            )
            for machine in self.machines.values()
        ]
        self._plan(MachinesListed(now_ms=self.now_ms, machines=machines, sent_ms=self.now_ms))
        up = frozenset(m.worker_id for m in machines if m.worker_id and m.is_up())
        for state in self.owners.values():
            if any(worker.is_unresponsive and worker.runs for worker in state.workers.values()):
                self._give(state, IncarnationsListed(**self.at(), worker_ids=up))

    def _plan(self, event: FleetEvent) -> None:
        for effect in reduce_fleet(self.fleet, event):
            if isinstance(effect, OrderMachine):
                self._move(effect.intent.machine, effect.intent.pool)

    def _move(self, name: str, pool: str) -> None:
        machine = self.machines[name]
        if machine.state != "up":
            return
        machine.pool = pool
        machine.lives += 1
        machine.worker = None
        machine.state = "moving"
        self.after(MOVE_MS, lambda: self._arrive(machine))
        self._plan(OrderAnswered(now_ms=self.now_ms, machine=name, error=None))

    def _arrive(self, machine: SimulatedMachine) -> None:
        if machine.state == "moving":
            machine.state = "up"
            self._start_worker(machine)


@dataclass(frozen=True, kw_only=True)
class Starvation:
    """A job with nothing running although its service had room."""

    job: Job
    since_ms: int
    for_ms: int
    demand: tuple[int, int]


class StarvationWatch:
    """Looks for jobs with nothing running although their service has room for twice a task."""

    def __init__(self, fleet: WholeFleet) -> None:
        self.fleet = fleet
        self.since: dict[Job, int] = {}
        self.found: dict[Job, Starvation] = {}

    def run(self, for_ms: int, *, least_ms: int = 3000) -> list[Starvation]:
        """Let some time pass; return what starved for at least `least_ms`."""
        for _ in range(for_ms // STEP_MS):
            self.fleet.run(STEP_MS)
            starved = {job: step for job in self.fleet.jobs if (step := self._find_starved(job))}
            now_ms = self.fleet.now_ms
            self.since = {job: self.since.get(job, now_ms - STEP_MS) for job in starved}
            for job, since_ms in self.since.items():
                if now_ms - since_ms >= least_ms:
                    request = starved[job]
                    self.found[job] = Starvation(
                        job=job,
                        since_ms=since_ms,
                        for_ms=now_ms - since_ms,
                        demand=(request.cpu, request.memory_mb),
                    )
        return list(self.found.values())

    def _find_starved(self, job: Job) -> StepRequest | None:
        """Return a step of a job without runs that the job's service has room for."""
        if job.state.is_final():
            return None
        lasts = any(step.request.lasts for step in job.steps())
        if not lasts and job.has_runs():
            return None
        for step in job.steps():
            if not step.is_open or step.is_done() or not step.waiting():
                continue
            if self._has_room(job.service, step.request, holders=step.holders()):
                return step.request
        return None

    def _has_room(self, service: str, request: StepRequest, *, holders: set[str]) -> bool:
        """Return whether two workers have room, and less than half of all capacity is in use."""
        fitting = used = total = 0
        for machine in self.fleet.machines.values():
            worker = machine.worker
            if worker is None or worker.service != service or machine.dark_since_ms is not None:
                continue
            requests = [run.task.step.request for run, *_ in worker.runs.values()]
            cpu = sum(step.cpu for step in requests if not step.fills)
            memory_mb = sum(step.memory_mb for step in requests)
            used += cpu
            total += CPU
            if request.label and request.label not in machine.labels():
                continue
            fits = cpu + request.cpu <= CPU and memory_mb + request.memory_mb <= MEMORY_MB
            fitting += fits and not (request.max_per_worker and worker.id in holders)
            # Only a few machines have a label: one with room for two tasks is enough.
            fitting += bool(request.label) and fits and cpu + 2 * request.cpu <= CPU
        return fitting >= 2 and used < total / 2
