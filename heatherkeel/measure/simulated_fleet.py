"""Pools that share machines, under a virtual clock: production reducers decide, nothing is sent."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from heatherkeel.dispatch import subjects  # noqa: F401
from heatherkeel.dispatch.events import (
    AcknowledgeEnds,
    Effect,
    Event,
    JobSubmitted,
    QueuesChanged,
    StartTask,
    StopTask,
    Tick,
    WorkerAnswered,
    WorkersLeaving,
    WorkersListed,
)
from heatherkeel.dispatch.load import measure_pools
from heatherkeel.dispatch.models import Job, Run, RunState
from heatherkeel.dispatch.reducer import reduce_event
from heatherkeel.dispatch.state import PartitionState
from heatherkeel.ownership.partitions import Layout
from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.platform.machines import Machine
from heatherkeel.platform.operator import Capacity, Queue, Service, WorkerEntry
from heatherkeel.platform.workers import EndedTask, Listing
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

SPARE: Final = "spare"
CORES: Final = 64
MEMORY_MB: Final = 262_144
MOVE_MS: Final = 1500
"""How long a machine is away when it changes its pool, in milliseconds."""
STEP_MS: Final = 100
"""Time between two plans, in milliseconds."""
LIST_MS: Final = 600
"""Time between two readings of the list of machines, in milliseconds."""
START_MS: Final = 5
"""How long a start takes, with storing it, in milliseconds."""
DURATION_SPREAD: Final = 0.33
"""By how much tasks take longer or shorter than was declared, as the spread of a logarithm."""
TASK_CPU: Final = 3_500
TASK_MS: Final = 640
LEAST_TASKS: Final = 4
MOST_TASKS: Final = 8
JOB_CORE_S: Final = TASK_CPU / 1000 * TASK_MS / 1000 * (LEAST_TASKS + MOST_TASKS) / 2
"""Core-seconds of a job, on average."""
PARTITION: Final = 0


@dataclass(kw_only=True, slots=True)
class SimulatedMachine:
    """A machine, its pool, and the life of the worker on it."""

    name: str
    pool: str
    lives: int = 0
    returns_ms: int = 0
    """When it is back from a move."""

    def is_up(self, now_ms: int) -> bool:
        """Say whether it isn't under way."""
        return now_ms >= self.returns_ms

    def worker_id(self) -> str | None:
        """Return the id of its worker; a machine that stands by has none."""
        return None if self.pool == SPARE else f"{self.name}-{self.lives}"


class SimulatedFleet:
    """One owner of all pools, the fleet's owner, and machines that move between pools."""

    def __init__(self, *, pools: int, machines: int, seed: int) -> None:
        self.random = Random(seed)
        self.now_ms = 10_000
        self.pools = [f"pool{number}" for number in range(pools)]
        self.jobs: dict[str, list[Job]] = {pool: [] for pool in self.pools}
        self.machines: dict[str, SimulatedMachine] = {}
        self.due: list[tuple[int, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.numbers: dict[str, int] = {}
        self.listed_ms = 0
        self.state = PartitionState(token=1, lease_ms=6000, status_ms=1 << 40)
        self.fleet = FleetOwnerState(token=1)
        self._deal_machines(machines)
        queues = {
            pool: Queue(
                name=pool, host="h", path_prefix=f"/{pool}/", service=pool, slack_factor=1.6
            )
            for pool in self.pools
        }
        self.give(QueuesChanged(**self.at(), queues=queues))
        self._read_directory()
        self._list_machines()
        self._list_workers()

    def _deal_machines(self, machines: int) -> None:
        """Give each pool the same number, and the rest to those that stand by."""
        each = machines // (len(self.pools) + 1)
        names = [f"m{number}" for number in range(machines)]
        for number, name in enumerate(names):
            at = number // each
            pool = self.pools[at] if at < len(self.pools) else SPARE
            self.machines[name] = SimulatedMachine(name=name, pool=pool)

    def at(self) -> dict[str, Any]:
        """Return the times of an event."""
        return {"now_ms": self.now_ms, "wall_ms": self.now_ms}

    def give(self, event: Event) -> None:
        """Let the owner decide, and carry out what it says."""
        for effect in reduce_event(self.state, event):
            self._perform(effect)

    def after(self, ms: float, act: Callable[[], None]) -> None:
        """Do something some milliseconds from now."""
        heapq.heappush(self.due, (self.now_ms + round(ms), next(self.order), act))

    def draw_jobs(self, pool: str, *, load: float, from_ms: int, until_ms: int) -> None:
        """Let jobs come to a pool at a multiple of what all machines together can do."""
        room = len(self.machines) * CORES
        gap_ms = 1000 * JOB_CORE_S / (load * room)
        at_ms = float(from_ms)
        while (at_ms := at_ms + self.random.expovariate(1 / gap_ms)) < until_ms:
            self.after(at_ms, lambda: self._submit(pool))

    def run(self, for_ms: int) -> None:
        """Let some time pass."""
        until_ms = self.now_ms + for_ms
        for step in range(0, for_ms, STEP_MS):
            self.after(step, self._step)
        while self.due and self.due[0][0] <= until_ms:
            self.now_ms, _, act = heapq.heappop(self.due)
            act()
        self.now_ms = until_ms

    def _submit(self, pool: str) -> None:
        job_id = f"{self.random.getrandbits(64):016x}"
        tasks = self.random.randint(LEAST_TASKS, MOST_TASKS)
        step = StepRequest(count=tasks, cpu=TASK_CPU, memory_mb=100, estimated_ms=TASK_MS)
        self.give(
            JobSubmitted(
                **self.at(),
                job_id=job_id,
                queue=pool,
                service=pool,
                request=JobRequest(spec="s", steps=(step,)),
                accepted_wall_ms=self.now_ms,
            )
        )
        job = self.state.find_job(job_id)
        assert job is not None
        self.jobs[pool].append(job)

    def _perform(self, effect: Effect) -> None:
        match effect:
            case StartTask():
                self.after(START_MS, lambda: self._start(effect.run))
            case StopTask():
                self.after(START_MS, lambda: self._end(effect.run, "stopped"))
            case AcknowledgeEnds():
                effect.worker.last_stored_end = effect.worker.last_acknowledged_end = effect.number

    def _start(self, run: Run) -> None:
        if run not in run.task.runs or run.state is not RunState.PLANNED:
            return
        run.state = RunState.RUNNING
        declared_ms = run.task.step.request.estimated_ms
        took_ms = declared_ms * self.random.lognormvariate(0, DURATION_SPREAD)
        self.after(took_ms, lambda: self._end(run, "done"))

    def _end(self, run: Run, outcome: str) -> None:
        """Let a worker list the end of a run."""
        if run not in run.task.runs:
            return
        worker_id = run.worker_id
        self.numbers[worker_id] = self.numbers.get(worker_id, 0) + 1
        ended = EndedTask(
            number=self.numbers[worker_id],
            task=run.task.name,
            attempt=run.attempt,
            outcome=outcome,
            saved="",
        )
        self._answer(worker_id, [ended])

    def _answer(self, worker_id: str, ended: list[EndedTask]) -> None:
        listing = Listing(clock_ms=self.now_ms, running=[], ended=ended)
        self.give(
            WorkerAnswered(**self.at(), worker_id=worker_id, sent_ms=self.now_ms, listing=listing)
        )

    def _step(self) -> None:
        """Do what owners do ten times a second: list, measure, plan, tick."""
        if self.now_ms - self.listed_ms >= LIST_MS:
            self._list_machines()
        self._list_workers()
        leaving = frozenset(self.fleet.leaving_workers().get(PARTITION, []))
        self.give(WorkersLeaving(**self.at(), worker_ids=leaving))
        loads = measure_pools(self.state)
        self._plan(PoolsMeasured(now_ms=self.now_ms, partition=PARTITION, loads=loads))
        self._plan(PlanDue(now_ms=self.now_ms))
        self.give(Tick(**self.at()))

    def _plan(self, event: FleetEvent) -> None:
        for effect in reduce_fleet(self.fleet, event):
            if isinstance(effect, OrderMachine):
                self._move(effect.intent.machine, effect.intent.pool)

    def _move(self, name: str, pool: str) -> None:
        machine = self.machines[name]
        machine.pool = pool
        machine.lives += 1
        machine.returns_ms = self.now_ms + MOVE_MS
        self._list_workers()
        self._plan(OrderAnswered(now_ms=self.now_ms, machine=name, error=None))

    def _read_directory(self) -> None:
        services = {
            name: Service(name=name, is_standby=name == SPARE) for name in [*self.pools, SPARE]
        }
        homes = {pool: len(self.machines) // (len(self.pools) + 1) for pool in self.pools}
        layout = Layout(
            shares=dict.fromkeys(self.pools, (PARTITION,)),
            places={name: place for place, name in enumerate(self.machines)},
            homes=homes,
        )
        event = DirectoryRead(now_ms=self.now_ms, services=services, waves={}, layout=layout)
        self._plan(event)

    def _list_machines(self) -> None:
        self.listed_ms = self.now_ms
        machines = [
            Machine(
                name=machine.name,
                pool=machine.pool,
                state="up" if machine.is_up(self.now_ms) else "moving",
                zone="a",
                labels=["a", "r1"],
                capacity=Capacity(cpu=CORES * 1000, memory_mb=MEMORY_MB),
                worker_id=machine.worker_id(),
            )
            for machine in self.machines.values()
        ]
        self._plan(MachinesListed(now_ms=self.now_ms, machines=machines, sent_ms=self.now_ms))

    def _list_workers(self) -> None:
        """Let workers write their entries, and those that are new answer for the first time."""
        entries = {}
        for machine in self.machines.values():
            worker_id = machine.worker_id()
            if worker_id is not None and machine.is_up(self.now_ms):
                entries[worker_id] = WorkerEntry(
                    service=machine.pool,
                    address="",
                    capacity=Capacity(cpu=CORES * 1000, memory_mb=MEMORY_MB),
                    labels=["a", "r1"],
                    machine=machine.name,
                )
        self.give(WorkersListed(**self.at(), entries=entries))
        for worker in list(self.state.workers.values()):
            if not worker.is_ready():
                self._answer(worker.id, [])
