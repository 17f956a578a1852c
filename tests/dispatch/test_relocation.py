"""Jobs that nothing in their partition can run are handed over to another one of their service."""

from __future__ import annotations

from collections import deque

import hypothesis.strategies as st
import msgspec
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from heatherkeel.dispatch.const import EXPLAIN_AFTER_MS, STRANDED_AGAIN_MS, STRANDED_MS
from heatherkeel.dispatch.events import (
    CountWaiting,
    DropRecord,
    FindShares,
    ForgetJob,
    ForwardedJobForgotten,
    ForwardRecord,
    JobArrived,
    RecordForwarded,
    SaveJob,
    SharesFound,
    StartTask,
)
from heatherkeel.dispatch.failed_jobs import find_origin
from heatherkeel.dispatch.items import Item, ItemKind
from heatherkeel.dispatch.models import Job, JobState, Run, WaitReason
from heatherkeel.dispatch.records import (
    CANCEL_PREFIX,
    CANCEL_VALUE,
    PROGRESS_PREFIX,
    REQUEST_PREFIX,
    JobOrigin,
    StoredRequest,
    decode_request,
    encode_failed,
    encode_request,
    make_caller_key,
)
from heatherkeel.dispatch.recovery import read_records, restore_jobs
from heatherkeel.dispatch.shares import choose_share
from heatherkeel.dispatch.state import PartitionState
from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.operator import WorkerEntry

from .partition import JOB, Partition, make_entry, make_step, started_runs
from .recorded_owner import Log, Owner

SHARES = 3
JOBS = [f"{number:016x}" for number in range(1, 4)]
LABELS = ("b", "c")
B_STEP = make_step(label="b")
STEPS: tuple[tuple[StepRequest, ...], ...] = (
    (B_STEP,),
    (make_step(), make_step(label="b", depends_on=(0,))),
    (B_STEP, make_step(label="c", depends_on=(0,)), make_step(label="b", depends_on=(1,))),
)
"""The steps of the jobs, by number."""


def make_labelled(*labels: str, cpu: int = 8000) -> WorkerEntry:
    """Return the entry of a worker with further labels."""
    entry = make_entry(cpu=cpu)
    return msgspec.structs.replace(entry, labels=[*entry.labels, *labels])


class RelocationMachine(RuleBasedStateMachine):
    """Callers, three partitions of one service, their successors, and workers that come and go."""

    def __init__(self) -> None:
        super().__init__()
        self.logs = [Log() for _ in range(SHARES)]
        self.works = [Log() for _ in range(SHARES)]
        self.entries: list[dict[str, WorkerEntry]] = [
            {f"w{number}-0": make_labelled()} for number in range(SHARES)
        ]
        self.lives = 0
        self.owners = [self._make_owner(number) for number in range(SHARES)]
        self.late: deque[tuple[int, str, bytes]] = deque()
        """Appends that were carried out, or not, without an answer."""
        self.submitted: set[str] = set()
        self.canceled: set[str] = set()
        self.done: dict[str, int] = {}
        """How often the end of each task was stored as done."""
        self.running: dict[str, Run] = {}
        """The runs of tasks, by the task's name."""
        self.doubled: list[str] = []

    def _make_owner(self, number: int) -> Owner:
        return Owner(
            number=number,
            jobs=self.logs[number],
            work=self.works[number],
            entries=self.entries[number],
        )

    @rule(number=st.integers(0, len(JOBS) - 1))
    def submit(self, number: int) -> None:
        """Submit a job, perhaps once more; its home is the first partition."""
        stored = StoredRequest(
            queue="quotes",
            service="portal",
            accepted_wall_ms=1000,
            request=JobRequest(spec="s", steps=STEPS[number]),
        )
        self.logs[0].append(f"{REQUEST_PREFIX}{JOBS[number]}", encode_request(stored))
        self.submitted.add(JOBS[number])

    @rule(job_id=st.sampled_from(JOBS))
    def cancel(self, job_id: str) -> None:
        """Cancel a job that was accepted."""
        if job_id in self.submitted:
            self.logs[0].append(make_caller_key(CANCEL_PREFIX, job_id, ""), CANCEL_VALUE)
            self.canceled.add(job_id)

    @rule(number=st.integers(0, SHARES - 1), label=st.sampled_from(LABELS))
    def change_worker(self, number: int, label: str) -> None:
        """Add a worker with a label to a partition, or take it away if nothing runs there."""
        entries = self.entries[number]
        known = [worker_id for worker_id, entry in entries.items() if label in entry.labels]
        for worker_id in known:
            worker = self.owners[number].state.workers.get(worker_id)
            if worker is None or not worker.runs:
                del entries[worker_id]
        if not known:
            self.lives += 1
            entries[f"w{number}-{self.lives}"] = make_labelled(label)
        self.owners[number].list_workers()

    @rule(number=st.integers(0, SHARES - 1))
    def read_jobs(self, number: int) -> None:
        """Let an owner read what is stored in its partition."""
        self.owners[number].read_jobs()

    @rule(number=st.integers(0, SHARES - 1), ms=st.sampled_from([300, STRANDED_AGAIN_MS + 100]))
    def wait(self, number: int, ms: int) -> None:
        """Let an owner's time pass."""
        owner = self.owners[number]
        for _ in range(3):
            owner.handle_all(owner.partition.tick(ms // 3))

    @rule(number=st.integers(0, SHARES - 1), is_answered=st.booleans())
    def execute_next_effect(self, number: int, is_answered: bool) -> None:
        """Carry out an owner's next effect; an append without an answer is repeated."""
        owner = self.owners[number]
        if not owner.pending:
            return
        effect = owner.pending.popleft()
        match effect:
            case SaveJob():
                owner.save(effect.job_id)
            case FindShares():
                self._find_shares(owner, effect)
            case StartTask():
                self._start(owner, effect.run)
            case ForwardRecord():
                self._forward(owner, effect, is_answered=is_answered)
            case DropRecord():
                self._append(number, effect.key, b"", is_answered=is_answered)
            case ForgetJob(only_request=True):
                for prefix in (REQUEST_PREFIX, CANCEL_PREFIX):
                    owner.jobs.append(f"{prefix}{effect.job_id}", b"")

    def _find_shares(self, owner: Owner, effect: FindShares) -> None:
        found = {}
        for job_id in effect.job_ids:
            job = owner.state.jobs.get(job_id)
            others = {
                number: list(self.entries[number].values())
                for number in range(SHARES)
                if number != owner.number
            }
            partition = choose_share(job, others) if job is not None else None
            if partition is not None:
                found[job_id] = partition
        owner.handle(SharesFound(**owner.partition.event_times(), partitions=found))

    def _start(self, owner: Owner, run: Run) -> None:
        """Start a run as a session does, unless its job has ended or gone meanwhile."""
        if run not in run.task.runs:
            return
        name = run.task.name
        if name in self.running or name in self.done:
            self.doubled.append(name)
        self.running[name] = run
        owner.handle_all(owner.partition.answer_start(run))

    @rule(name=st.integers(0, 9))
    def end_run(self, name: int) -> None:
        """Let a task end, and its owner store that."""
        names = sorted(self.running)
        if name >= len(names):
            return
        run = self.running[names[name]]
        for owner in self.owners:
            if run in run.task.runs and owner.state.find_job(run.task.step.job.id) is (
                run.task.step.job
            ):
                del self.running[names[name]]
                owner.handle_all(owner.partition.end_run(run))
                owner.save(run.task.step.job.id)
                self.done[names[name]] = 1

    def _append(self, number: int, key: str, value: bytes, *, is_answered: bool) -> None:
        if is_answered:
            self.logs[number].append(key, value)
        else:
            self.late.append((number, key, value))

    def _forward(self, owner: Owner, effect: ForwardRecord, *, is_answered: bool) -> None:
        self._append(effect.partition, effect.key, effect.value, is_answered=is_answered)
        if not is_answered:
            owner.pending.appendleft(effect)
            return
        owner.handle(
            RecordForwarded(**owner.partition.event_times(), job_id=effect.job_id, key=effect.key)
        )

    @rule()
    def carry_out_late(self) -> None:
        """Carry out an append whose answer was lost."""
        if self.late:
            number, key, value = self.late.popleft()
            self.logs[number].append(key, value)

    @rule(number=st.integers(0, SHARES - 1))
    def change_owner(self, number: int) -> None:
        """Replace an owner by one that knows only what is stored.

        Its predecessor's runs are left to the tests of restored runs, so there are none here.
        """
        owner = self.owners[number]
        if not any(worker.runs for worker in owner.state.workers.values()):
            self.owners[number] = self._make_owner(number)

    @rule()
    def settle(self) -> None:
        """Carry out everything: each job is then known in one partition, or canceled there."""
        for _ in range(8):
            for number, owner in enumerate(self.owners):
                owner.read_jobs()
                while owner.pending:
                    self.execute_next_effect(number, True)
        for job_id in self.submitted:
            (job,) = [job for owner in self.owners if (job := owner.state.find_job(job_id))]
            if job_id in self.canceled:
                assert job.state.is_final()
            elif job.state is JobState.COMPLETE:
                tasks = sum(step.count for step in STEPS[JOBS.index(job_id)])
                assert sum(name.startswith(job_id) for name in self.done) == tasks

    @invariant()
    def no_task_runs_twice(self) -> None:
        """Check that no task runs beside itself, or again after its end was stored as done."""
        assert not self.doubled

    @invariant()
    def in_one_partition(self) -> None:
        """Check that no two partitions have a job that hasn't ended."""
        for job_id in self.submitted:
            assert sum(job_id in owner.state.jobs for owner in self.owners) <= 1


RelocationMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=60, deadline=None, derandomize=True
)
TestRelocation = RelocationMachine.TestCase


def hand_over(partition: Partition, *, to: int = 2) -> ForwardRecord:
    """Let a partition hand its job over; return the record for the other one."""
    times = partition.event_times()
    effects = partition.apply(SharesFound(**times, partitions={JOB: to}))
    (record,) = [effect for effect in effects if isinstance(effect, ForwardRecord)]
    return record


def arrive(partition: Partition, record: ForwardRecord) -> Job:
    """Let a partition take a job over; return it."""
    stored = decode_request(record.value).unwrap()
    assert stored.progress is not None
    times = partition.event_times()
    partition.apply(JobArrived(**times, job_id=JOB, stored=stored, progress=stored.progress))
    return partition.job()


def test_job_whose_label_only_another_partition_has_is_handed_over() -> None:
    """Guards against an accepted job that waits for good beside an idle worker with its label."""
    here = Partition(workers=2)
    here.submit(B_STEP)
    effects = here.tick(STRANDED_MS - 10)
    assert not [effect for effect in effects if isinstance(effect, FindShares)]
    effects = here.tick(300)
    assert FindShares(job_ids=(JOB,)) in effects
    assert here.state.stranded == 1
    record = hand_over(here)
    assert record.partition == 2
    there = Partition(workers=0)
    there.entries = {"w9": make_labelled("b")}
    there.list_workers()
    there.list_known_runs("w9")
    job = arrive(there, record)
    (run,) = started_runs(there.effects)
    assert (job.moves, run.worker_id) == (1, "w9")


@pytest.mark.parametrize(
    "step",
    [
        make_step(),
        make_step(count=9, cpu=8000),
        make_step(count=2, cpu=8000, is_gang=True),
        make_step(count=2, is_gang=True, max_per_worker=1),
    ],
)
def test_job_that_its_partition_can_run_stays_there(step: StepRequest) -> None:
    """Guards against hand-overs of jobs that only wait for room."""
    partition = Partition(workers=2, cpu=8000)
    partition.submit(make_step(count=2, cpu=8000), job_id="00000000000000ff")
    partition.submit(step)
    assert not [e for e in partition.tick(STRANDED_MS + 300) if isinstance(e, FindShares)]
    assert partition.state.stranded == 0


@pytest.mark.parametrize(
    "step",
    [
        make_step(cpu=9000),
        make_step(count=3, cpu=8000, is_gang=True),
        make_step(count=3, is_gang=True, max_per_worker=1),
    ],
)
def test_size_and_gang_strand_a_job_as_a_label_does(step: StepRequest) -> None:
    """Guards against jobs too large for each worker of their partition that wait there for good."""
    partition = Partition(workers=2, cpu=8000)
    partition.submit(step)
    assert FindShares(job_ids=(JOB,)) in partition.tick(STRANDED_MS + 300)


def test_job_is_not_handed_over_while_a_run_of_it_may_exist() -> None:
    """Guards against a task that runs in two partitions."""
    partition = Partition(workers=2)
    partition.submit(make_step(), B_STEP)
    (run,) = partition.start_planned_runs()
    assert not [e for e in partition.tick(STRANDED_MS + 300) if isinstance(e, FindShares)]
    partition.apply(SharesFound(**partition.event_times(), partitions={JOB: 2}))
    assert partition.job().moves == 0
    partition.end_run(run)
    assert FindShares(job_ids=(JOB,)) in partition.tick(300)


def test_hand_over_keeps_ends_checkpoints_losses_and_attempts() -> None:
    """Guards against work that is done again in the other partition."""
    here = Partition(workers=2)
    here.submit(make_step(count=2, saves=True), make_step(label="b", depends_on=(0,)))
    first, second = here.start_planned_runs()
    here.mark_leaving("w0", "w1")
    here.end_run(first)
    here.end_run(second, outcome="failed", saved="point-1")
    task = second.task
    task.unclear_losses, task.attempt = 1, 5
    record = hand_over(here)
    job = arrive(Partition(workers=0), record)
    done, left = job.steps()[0].tasks
    assert done.is_done
    assert (left.attempt, left.saved, left.unclear_losses) == (5, "point-1", 1)
    assert left.failed_attempts == task.failed_attempts != set()
    assert job.terms == here.state.forwarded[JOB].terms
    assert job.state is JobState.ACTIVE


def test_job_returns_only_under_a_later_number() -> None:
    """Guards against a late or repeated record that starts a job anew where it was before."""
    home, other = Partition(workers=1), Partition(workers=1)
    home.submit(B_STEP)
    first = hand_over(home)
    arrive(other, first)
    back = hand_over(other, to=0)
    stored = decode_request(first.value).unwrap()
    assert stored.progress is not None
    times = other.event_times()
    other.apply(JobArrived(**times, job_id=JOB, stored=stored, progress=stored.progress))
    assert other.state.find_job(JOB) is None
    assert arrive(home, back).moves == 2
    assert JOB not in home.state.forwarded


def test_job_that_was_handed_over_waits_longer_before_the_next_time() -> None:
    """Guards against a job that goes back and forth while its workers are about to leave."""
    here, there = Partition(workers=1), Partition(workers=1)
    here.submit(B_STEP)
    arrive(there, hand_over(here))
    assert not [e for e in there.tick(STRANDED_MS + 300) if isinstance(e, FindShares)]
    assert FindShares(job_ids=(JOB,)) in there.tick(STRANDED_AGAIN_MS)


def test_cancel_that_meets_a_job_on_its_way_back_counts() -> None:
    """Guards against an acknowledged DELETE that both partitions pass on for ever."""
    home, other = Partition(workers=1), Partition(workers=1)
    home.submit(B_STEP)
    arrive(other, hand_over(home))
    back = hand_over(other, to=0)
    (passed,) = [e for e in home.cancel() if isinstance(e, ForwardRecord)]
    assert passed.partition == 2
    assert arrive(home, back).state is JobState.CANCELED


def test_next_owner_hands_over_what_may_not_have_arrived() -> None:
    """Guards against an accepted job that is lost with the owner that handed it over."""
    machine = RelocationMachine()
    machine.submit(0)
    machine.read_jobs(0)
    home = machine.owners[0]
    home.pending.clear()
    times = home.partition.event_times()
    home.handle(SharesFound(**times, partitions={JOBS[0]: 1}))
    home.save(JOBS[0])
    successor = machine._make_owner(0)
    (record,) = [effect for effect in successor.pending if isinstance(effect, ForwardRecord)]
    stored = decode_request(record.value).unwrap()
    assert stored.progress is not None
    assert (record.partition, stored.progress.moves) == (1, 1)
    assert successor.state.find_job(JOBS[0]) is None


def test_next_owner_restores_a_job_that_came_to_its_partition() -> None:
    """Guards against a job that is lost if its new partition's owner ends before a start."""
    machine = RelocationMachine()
    machine.submit(0)
    machine.read_jobs(0)
    machine.owners[0].handle(
        SharesFound(**machine.owners[0].partition.event_times(), partitions={JOBS[0]: 1})
    )
    while machine.owners[0].pending:
        machine.execute_next_effect(0, True)
    successor = machine._make_owner(1)
    assert successor.state.jobs[JOBS[0]].moves == 1
    # The first partition's records of the job are deleted, and its next owner knows where it is.
    first = machine._make_owner(0)
    assert first.state.forwarded[JOBS[0]].settled_ms is not None
    assert not first.pending


def test_forgotten_job_leaves_no_records() -> None:
    """Guards against cancellations of relocated jobs that stay in the store for ever."""
    home = Partition(workers=1)
    home.submit(B_STEP)
    hand_over(home)
    effects = home.apply(ForwardedJobForgotten(**home.event_times(), job_id=JOB))
    assert effects == [
        ForgetJob(job_id=JOB, workspace="", only_request=False),
        ForgetJob(job_id=JOB, workspace="", only_request=True),
    ]


def test_log_tells_that_nothing_here_can_run_a_job() -> None:
    """Guards against a waiting job whose log line names only the workers with room."""
    partition = Partition(workers=2)
    partition.submit(B_STEP)
    effects = partition.tick(EXPLAIN_AFTER_MS)
    assert CountWaiting(reason=WaitReason.NO_HOLDER) in effects


def test_failed_job_is_not_revived_by_the_record_that_brought_it() -> None:
    """Guards against a job that was shown as failed and runs again under the next owner."""
    home, other = Partition(workers=1), Partition(workers=1)
    home.submit(B_STEP)
    record = hand_over(home)
    end = encode_failed(make_origin(arrive(other, record)))
    stored = read_records(
        [
            KeyedRecord(key=record.key, value=record.value, offset=1),
            KeyedRecord(key=f"{PROGRESS_PREFIX}{JOB}", value=end, offset=0),
        ]
    )
    stored.apply_arrivals()
    state = PartitionState(token=8, lease_ms=6000, status_ms=1000)
    restore_jobs(state, stored)
    assert (list(state.jobs), state.finished[JOB].state) == ([], JobState.FAILED)


def make_origin(job: Job) -> JobOrigin:
    """Return what is kept of a job that can't be handled."""
    state = PartitionState(token=8, lease_ms=6000, status_ms=1000)
    state.jobs[job.id] = job
    origin = find_origin(state, Item(kind=ItemKind.JOB, id=job.id), None)
    assert origin is not None
    return origin
