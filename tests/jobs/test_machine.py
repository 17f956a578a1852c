"""State machine test: racing entry instances against a platform that counts actual runs.

Entry instances decide from outdated states and task views, and crash at any time; appends may be
duplicated; workers are partitioned, reconnect, reboot or fail all tasks.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from hypothesis import Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import Effect, LogRecord, RecordBody
from heatherkeel.core.reducer import fold
from heatherkeel.core.registry import find_violations
from heatherkeel.core.state import FleetState, canonical_bytes, from_canonical_bytes
from heatherkeel.fleetlog.tasks import TaskRequest, TaskView
from heatherkeel.jobs.models import CheckpointTask, JobStatus, StartTask, StopTask
from heatherkeel.jobs.observing import find_due_effects, observation_records
from heatherkeel.jobs.policies import POLICIES
from heatherkeel.jobs.policy import RoundRequest
from heatherkeel.jobs.records import JobCancel, JobResolve, JobSubmit, Resolution
from heatherkeel.membership.models import EntryJoin
from heatherkeel.standins.tasks import Task, TaskTable, job_of

from .conftest import TEAM, Fleet, spec_of

ENTRIES = {"entry1": "best_fit", "entry2": "best_fit", "entry3": "first_fit"}
"""Entry instances and their policies, which differ as during a rolling upgrade."""
WORKERS = ("w0", "w1", "w2")
JOBS = st.integers(0, 7).map(lambda number: f"{TEAM}:job{number}")
WORKER_MIB = 2_000
"""Memory for two jobs on each worker, so that capacity is scarce."""
FIRST_JOBS = 5
DECIDED = st.sampled_from((f"{TEAM}:job0", f"{TEAM}:job1"))
"""Jobs that can be cancelled or resolved; the others should run to their end."""
SETTLING_ROUNDS = 60
SETTLING_STEP_MS = 30_000


@dataclass(kw_only=True)
class Entry:
    """One entry instance: its folded state, task views, and pending records and effects."""

    name: str
    state: FleetState
    pending: list[RecordBody | Effect] = field(default_factory=list)
    views: dict[str, TaskView] = field(default_factory=dict)
    seen: int = 0


class JobsMachine(RuleBasedStateMachine):
    """Runs in one process; the log is a list, and the platform is the stand-in's task table."""

    @initialize()
    def begin(self) -> None:
        fleet = Fleet(workers=len(WORKERS), memory_mib=WORKER_MIB)
        self.reference = fleet.state
        self.first = self.reference.next_offset
        self.log: list[LogRecord] = []
        self.now_ms = 10_000
        self.table = TaskTable()
        self.start = canonical_bytes(self.reference)
        self.entries = {name: self.new_entry(name) for name in ENTRIES}
        self.allowed: dict[str, int] = {}
        self.idempotent: set[str] = set()
        for number in range(FIRST_JOBS):
            self.submit(
                f"{TEAM}:job{number}",
                idempotent=number % 2 == 0,
                checkpointable=number % 3 == 0,
                long=True,
            )
        self.work("entry1")

    def new_entry(self, name: str) -> Entry:
        return Entry(name=name, state=from_canonical_bytes(self.start))

    def append(self, body: RecordBody, *, twice: bool = False) -> bool:
        data = encode(seal(body, author="test", now_ms=self.now_ms))
        changed = False
        for _ in range(1 + twice):
            record = LogRecord(offset=self.reference.next_offset, at_ms=self.now_ms, data=data)
            before = self.reference.jobs.accepted
            effects = fold(self.reference, record)
            changed = changed or self.reference.jobs.accepted > before or len(effects) > 1
            self.log.append(record)
            assert find_violations(self.reference) == []
        return changed

    @rule(job=JOBS, idempotent=st.booleans(), checkpointable=st.booleans(), long=st.booleans())
    def submit(self, job: str, idempotent: bool, checkpointable: bool, long: bool) -> None:
        program = '{"run_ms": 60000}' if long else '{"run_ms": 200}'
        spec = spec_of(idempotent=idempotent, checkpointable=checkpointable, program=program)
        if self.append(JobSubmit(job=job, team=TEAM, spec=spec), twice=True):
            self.allowed[job] = 1
            if idempotent:
                self.idempotent.add(job)

    @rule(name=st.sampled_from(sorted(ENTRIES)))
    def decide(self, name: str) -> None:
        """Read the log and the tasks, and queue the resulting records and effects."""
        entry = self.entries[name]
        self.follow(entry)
        self.read_tasks(entry)
        request = RoundRequest(placer=name)
        entry.pending += observation_records(entry.state, entry.views.values())
        entry.pending += POLICIES[ENTRIES[name]](entry.state, request).records
        entry.pending += find_due_effects(entry.state, entry.views, name)

    @rule(name=st.sampled_from(sorted(ENTRIES)), count=st.integers(1, 6), twice=st.booleans())
    def act(self, name: str, count: int, twice: bool) -> None:
        """Apply the oldest pending records and effects, even if they are outdated."""
        entry = self.entries[name]
        doing, entry.pending = entry.pending[:count], entry.pending[count:]
        for item in doing:
            if isinstance(item, RecordBody):
                self.append(item, twice=twice)
            else:
                self.carry_out(item)

    @rule(name=st.sampled_from(sorted(ENTRIES)))
    def work(self, name: str) -> None:
        """Run a complete round."""
        self.decide(name)
        self.act(name, 1_000, False)
        self.follow(self.entries[name])
        self.act(name, 1_000, False)

    def follow(self, entry: Entry) -> None:
        for record in self.log[entry.state.next_offset - self.first :]:
            for effect in fold(entry.state, record):
                if not isinstance(effect, StartTask) or effect.placer == entry.name:
                    entry.pending.append(effect)
        assert canonical_bytes(entry.state) == canonical_bytes(self.reference)

    def read_tasks(self, entry: Entry) -> None:
        listed = self.table.changed_since(entry.seen)
        entry.seen = listed.upto
        entry.views.update({view.task: view for view in listed.tasks})

    def carry_out(self, effect: Effect) -> None:
        if isinstance(effect, StartTask):
            request = TaskRequest(
                instance=effect.instance,
                program=effect.program,
                cpu_millicores=effect.resources.cpu_millicores,
                memory_mib=effect.resources.memory_mib,
                accelerators=0,
                resume_from=effect.resume_from,
                not_after_ms=effect.not_after_ms,
            )
            self.table.start(effect.task, request, self.now_ms)
        elif isinstance(effect, StopTask):
            self.table.stop(effect.task, effect.instance, self.now_ms)
        elif isinstance(effect, CheckpointTask):
            self.table.checkpoint(effect.task, self.now_ms)

    @rule(name=st.sampled_from(sorted(ENTRIES)))
    def die(self, name: str) -> None:
        self.entries[name] = self.new_entry(name)

    @rule(job=DECIDED)
    def cancel(self, job: str) -> None:
        self.append(JobCancel(jobs=(job,), team=TEAM))

    @rule(job=DECIDED, resolution=st.sampled_from(Resolution))
    def resolve(self, job: str, resolution: Resolution) -> None:
        live = self.reference.jobs.live.get(job)
        version = 1 if live is None else live.version
        body = JobResolve(job=job, team=TEAM, expected_version=version, resolution=resolution)
        if self.append(body) and resolution is Resolution.RUN_AGAIN:
            self.allowed[job] += 1

    @rule(worker=st.sampled_from(WORKERS), fault=st.sampled_from(("", "cut", "cut", "fails_all")))
    def disturb(self, worker: str, fault: str) -> None:
        self.table.worker(worker).cut = fault == "cut"
        self.table.worker(worker).fails_all = fault == "fails_all"
        self.table.advance(self.now_ms)

    @rule(worker=st.sampled_from(WORKERS))
    def reboot(self, worker: str) -> None:
        self.table.reboot(worker)

    @rule(elapsed_ms=st.sampled_from((50, 150, 1_000, 5_000, 40_000)))
    def let_time_pass(self, elapsed_ms: int) -> None:
        self.now_ms += elapsed_ms
        self.table.advance(self.now_ms)
        # Lease renewals advance log time when nothing else is written.
        self.append(
            EntryJoin(
                instance="entry1", incarnation="1", zone="zone0", peer_address="", lease_ms=1_000
            )
        )

    @invariant()
    def nothing_runs_twice(self) -> None:
        for job in self.allowed.keys() - self.idempotent:
            assert self.table.fresh_runs[job] <= self.allowed[job], job
            alive = [task for task in self.tasks_of(job) if task.alive]
            assert len(alive) <= self.allowed[job], job

    @invariant()
    def workers_hold_what_they_run(self) -> None:
        for worker in WORKERS:
            tasks = [task for task in self.table.tasks.values() if task.view.instance == worker]
            assert sum(task.memory_mib for task in tasks if task.alive) <= WORKER_MIB

    def tasks_of(self, job: str) -> list[Task]:
        tasks = self.table.tasks.items()
        return [task for task_id, task in tasks if job_of(task_id) == job]

    def teardown(self) -> None:
        """After all faults are cleared, check that each job ends or waits for its owner."""
        if not hasattr(self, "log"):
            return
        for worker in WORKERS:
            self.disturb(worker, "")
        for _ in range(SETTLING_ROUNDS):
            for name in ENTRIES:
                self.work(name)
            self.let_time_pass(SETTLING_STEP_MS)
            self.nothing_runs_twice()
        jobs = self.reference.jobs
        assert self.allowed.keys() == jobs.live.keys() | jobs.finished.keys()
        assert all(job.status is JobStatus.UNKNOWN for job in jobs.live.values()), jobs.live
        for job, finished in jobs.finished.items():
            if finished.status is JobStatus.SUCCEEDED:
                assert self.table.successes[job] >= 1, job


JobsMachine.TestCase.settings = settings(
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=50,
    print_blob=False,
    phases=[Phase.generate],
)
TestJobsMachine = JobsMachine.TestCase
