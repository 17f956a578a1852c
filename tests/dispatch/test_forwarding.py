"""A job is accepted by one partition and run by one, whatever services its queue has meanwhile."""

from __future__ import annotations

from collections import deque

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from heatherkeel.dispatch.events import (
    DropRecord,
    ForgetJob,
    ForwardedJobForgotten,
    ForwardRecord,
    RecordForwarded,
    SaveJob,
    StartTask,
)
from heatherkeel.dispatch.models import JobState
from heatherkeel.dispatch.records import (
    CANCEL_PREFIX,
    CANCEL_VALUE,
    REQUEST_PREFIX,
    StoredRequest,
    decode_request,
    encode_request,
    make_caller_key,
)
from heatherkeel.platform.callers import JobRequest

from .partition import make_entry, make_step
from .recorded_owner import Log, Owner

SERVICES = ("portal", "desk", "archive")
"""Each has the partition of its index; the queue's home is the first."""
JOBS = [f"{number:016x}" for number in range(1, 4)]


def make_owner(number: int, *, jobs: Log, work: Log) -> Owner:
    """Return an owner of the service of this number, with one worker."""
    entries = {f"w{number}": make_entry(service=SERVICES[number])}
    return Owner(number=number, jobs=jobs, work=work, entries=entries)


class ForwardingMachine(RuleBasedStateMachine):
    """Callers at instances of several versions, three owners and their successors."""

    def __init__(self) -> None:
        super().__init__()
        self.logs = [Log() for _ in SERVICES]
        self.works = [Log() for _ in SERVICES]
        self.owners = [self._make_owner(number) for number in range(len(SERVICES))]
        self.late: deque[ForwardRecord] = deque()
        """Appends of forwarded records that were carried out, or not, without an answer."""
        self.submitted: set[str] = set()
        self.canceled: set[str] = set()
        self.started: dict[str, set[int]] = {}
        """The partitions in which tasks of a job were started."""

    def _make_owner(self, number: int) -> Owner:
        return make_owner(number, jobs=self.logs[number], work=self.works[number])

    @rule(job_id=st.sampled_from(JOBS), service=st.integers(0, len(SERVICES) - 1))
    def submit(self, job_id: str, service: int) -> None:
        """Submit a job at an instance whose version gives the queue some service."""
        stored = StoredRequest(
            queue="quotes",
            service=SERVICES[service],
            accepted_wall_ms=1000,
            partition=service or None,
            request=JobRequest(spec="s", steps=(make_step(),)),
        )
        self.logs[0].append(f"{REQUEST_PREFIX}{job_id}", encode_request(stored))
        self.submitted.add(job_id)

    @rule(job_id=st.sampled_from(JOBS))
    def cancel(self, job_id: str) -> None:
        """Cancel a job that was accepted."""
        if job_id in self.submitted:
            self.logs[0].append(make_caller_key(CANCEL_PREFIX, job_id, ""), CANCEL_VALUE)
            self.canceled.add(job_id)

    @rule(number=st.integers(0, len(SERVICES) - 1))
    def read_jobs(self, number: int) -> None:
        """Let an owner read what is stored in its partition."""
        self.owners[number].read_jobs()

    @rule(number=st.integers(0, len(SERVICES) - 1), is_answered=st.booleans())
    def execute_next_effect(self, number: int, is_answered: bool) -> None:
        """Carry out an owner's next effect; an append without an answer is repeated."""
        owner = self.owners[number]
        if not owner.pending:
            return
        effect = owner.pending.popleft()
        match effect:
            case SaveJob():
                owner.save(effect.job_id)
            case StartTask():
                job_id = effect.run.task.step.job.id
                self.started.setdefault(job_id, set()).add(number)
            case ForwardRecord():
                self._forward(owner, effect, is_answered=is_answered)
            case DropRecord():
                owner.jobs.append(effect.key, b"")
            case ForgetJob(only_request=True):
                for prefix in (REQUEST_PREFIX, CANCEL_PREFIX):
                    owner.jobs.append(f"{prefix}{effect.job_id}", b"")

    def _forward(self, owner: Owner, effect: ForwardRecord, *, is_answered: bool) -> None:
        if not is_answered:
            self.late.append(effect)
            owner.pending.appendleft(effect)
            return
        self.logs[effect.partition].append(effect.key, effect.value)
        event = RecordForwarded(
            **owner.partition.event_times(), job_id=effect.job_id, key=effect.key
        )
        owner.pending += owner.partition.apply(event)

    @rule()
    def carry_out_late(self) -> None:
        """Carry out an append whose answer was lost."""
        if self.late:
            effect = self.late.popleft()
            self.logs[effect.partition].append(effect.key, effect.value)

    @rule(number=st.integers(0, len(SERVICES) - 1))
    def change_owner(self, number: int) -> None:
        """Replace an owner by one that knows only what is stored."""
        self.owners[number] = self._make_owner(number)

    @rule()
    def settle(self) -> None:
        """Carry out everything: each job is then known where it runs, or canceled there."""
        for _ in range(6):
            for number, owner in enumerate(self.owners):
                owner.read_jobs()
                while owner.pending:
                    self.execute_next_effect(number, True)
        for job_id in self.submitted:
            (job,) = [job for owner in self.owners if (job := owner.state.find_job(job_id))]
            assert (job.state is JobState.CANCELED) == (job_id in self.canceled)

    @invariant()
    def started_in_one_partition(self) -> None:
        """Check that no two owners start one job."""
        assert all(len(partitions) == 1 for partitions in self.started.values())


def make_owner_of_forwarded(*, has_saved: bool) -> Owner:
    """Return the home's next owner, after one that forwarded a job died before the append."""
    jobs, work = Log(), Log()
    machine = ForwardingMachine()
    machine.submit(JOBS[0], 1)
    first = make_owner(0, jobs=machine.logs[0], work=work)
    if has_saved:
        first.save(JOBS[0])
    # A repeated submission at an instance that has an earlier version.
    machine.submit(JOBS[0], 0)
    jobs.records = machine.logs[0].records
    return make_owner(0, jobs=jobs, work=work)


def test_next_owner_forwards_again_what_may_not_have_arrived() -> None:
    """Guards against an accepted job that is lost with the owner that was to forward it."""
    owner = make_owner_of_forwarded(has_saved=True)
    (effect,) = [effect for effect in owner.pending if isinstance(effect, ForwardRecord)]
    assert effect.partition == 1
    stored = decode_request(effect.value).unwrap()
    assert (stored.service, stored.partition) == (SERVICES[1], 1)
    assert owner.state.forwarded[JOBS[0]].settled_ms is None


def test_job_whose_forwarding_was_not_stored_is_decided_anew() -> None:
    """Guards against a job that is forwarded by one owner and run by the next."""
    owner = make_owner_of_forwarded(has_saved=False)
    assert not owner.state.forwarded
    assert owner.state.find_job(JOBS[0]) is not None


def test_forwarded_job_is_forgotten_with_the_partition_that_ran_it() -> None:
    """Guards against records of forwarded jobs that stay for ever."""
    owner = make_owner_of_forwarded(has_saved=True)
    times = owner.partition.event_times()
    effects = owner.partition.apply(ForwardedJobForgotten(**times, job_id=JOBS[0]))
    assert not owner.state.forwarded
    assert effects == [ForgetJob(job_id=JOBS[0], workspace="", only_request=False)]


ForwardingMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
TestForwarding = ForwardingMachine.TestCase
