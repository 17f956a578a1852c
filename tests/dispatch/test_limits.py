"""Tests of workspaces' limits and weights in a partition."""

from __future__ import annotations

from heatherkeel.dispatch.events import (
    GrantsOffered,
    JobSubmitted,
    LimitsChanged,
    StartTask,
    StopTask,
)
from heatherkeel.dispatch.load import measure_pools
from heatherkeel.dispatch.models import RunState
from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.workspaces.amounts import Amount
from heatherkeel.workspaces.messages import Grant, GrantOffer

from .partition import Partition

STEP = StepRequest(count=4, cpu=1000, memory_mb=10, estimated_ms=400)
LIMIT = Amount(2000, 0)


class Limited(Partition):
    """A partition that may run two tasks of the workspace `desk`."""

    def __init__(self, *, workers: int = 2, weight: float = 100.0) -> None:
        super().__init__(workers=workers)
        self.jobs = 0
        self.sequence = 0
        self.set_limit(LIMIT, weight=weight)
        self.grant(LIMIT)

    def set_limit(self, limit: Amount, *, weight: float = 100.0) -> None:
        """Configure the limit of `desk`; `dock` has none."""
        self.apply(
            LimitsChanged(
                **self.event_times(),
                limits={"desk": limit, "dock": Amount()},
                weights={"desk": weight, "dock": weight},
            )
        )

    def grant(self, amount: Amount, *, limit: Amount = LIMIT) -> None:
        """Grant an amount of a limit to the partition."""
        self.sequence += 1
        offer = GrantOffer(
            lender=1,
            sequence=self.sequence,
            owner=self.state.token,
            since=0,
            grants=[Grant(workspace="desk", granted=amount, limit=limit)],
        )
        self.apply(GrantsOffered(**self.event_times(), offer=offer))

    def submit_for(self, workspace: str, step: StepRequest = STEP) -> str:
        """Submit a job of a workspace; returns its ID."""
        self.jobs += 1
        job_id = f"{self.jobs:016x}"
        self.apply(
            JobSubmitted(
                **self.event_times(),
                job_id=job_id,
                queue="quotes",
                service="portal",
                request=JobRequest(spec="s", steps=(step,)),
                accepted_wall_ms=self.now_ms,
                workspace=workspace,
            )
        )
        return job_id

    def count_runs(self, workspace: str) -> int:
        """Return how many runs of a workspace's jobs there are."""
        return sum(
            len(job.runs()) for job in self.state.jobs.values() if job.workspace == workspace
        )


def test_workspace_starts_no_more_than_it_was_granted() -> None:
    partition = Limited()
    partition.submit_for("desk")
    assert partition.count_runs("desk") == 2


def test_limited_jobs_keep_no_capacity_from_others() -> None:
    """Guards against one workspace's waiting jobs that stand before all others."""
    partition = Limited()
    for _ in range(300):
        partition.submit_for("desk")
    partition.submit_for("dock")
    assert partition.count_runs("dock") == 4
    assert partition.count_runs("desk") == 2


def test_task_that_waits_for_the_limit_starts_when_another_ends() -> None:
    partition = Limited()
    partition.submit_for("desk")
    starts = [effect for effect in partition.effects if isinstance(effect, StartTask)]
    assert len(starts) == 2
    account = partition.state.accounts.find("desk")
    assert account is not None
    run = starts[0].run
    run.task.is_done = True
    partition.state.workers[run.worker_id].remove(run)
    run.task.remove_run(run)
    partition.tick(100)
    assert account.used == Amount(2000, 20)
    assert partition.count_runs("desk") == 2


def test_higher_grant_starts_what_waited() -> None:
    partition = Limited()
    partition.submit_for("desk")
    partition.set_limit(Amount(8000, 0))
    partition.grant(Amount(8000, 0), limit=Amount(8000, 0))
    assert partition.count_runs("desk") == 4


def test_planned_starts_are_canceled_when_the_limit_falls() -> None:
    """Guards against starts that wait for the store and are sent after the limit has fallen."""
    partition = Limited()
    partition.submit_for("desk")
    partition.set_limit(Amount(1000, 0))
    assert partition.count_runs("desk") == 0
    assert not any(isinstance(effect, StopTask) for effect in partition.effects)


def test_running_tasks_go_on_when_the_limit_falls() -> None:
    partition = Limited()
    partition.submit_for("desk")
    for job in partition.state.jobs.values():
        for run in job.runs():
            run.state = RunState.RUNNING
    partition.set_limit(Amount(1000, 0))
    assert partition.count_runs("desk") == 2


def test_nothing_starts_while_the_limits_may_be_outdated() -> None:
    partition = Limited()
    partition.state.accounts.are_limits_recent = False
    partition.submit_for("desk")
    partition.submit_for("")
    assert partition.count_runs("desk") == 0
    assert partition.count_runs("") == 4


def test_limited_jobs_request_no_machines() -> None:
    """Guards against machines that are moved for jobs which no machine helps."""
    partition = Limited()
    for _ in range(5):
        partition.submit_for("desk")
    (load,) = measure_pools(partition.state)
    assert load.wanted_cpu == 2000


def test_jobs_beyond_the_weight_come_after_all_others() -> None:
    """Guards against a workspace that sends ten times its usual and delays the others' jobs."""
    partition = Limited(workers=1, weight=1.0)
    partition.set_limit(Amount(), weight=1.0)
    for _ in range(40):
        partition.submit_for("desk", StepRequest(count=1, cpu=8000, estimated_ms=400))
    job_id = partition.submit_for("dock", StepRequest(count=1, cpu=8000, estimated_ms=2000))
    pool = partition.state.pools["portal"]
    order = [step.job for step in pool.open_steps.in_order(partition.state.now_ms)]
    before = order[: order.index(partition.state.jobs[job_id])]
    assert len(before) <= 5
    assert sum(job.is_excess for job in order) >= 30
