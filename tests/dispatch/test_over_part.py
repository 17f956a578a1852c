"""Tests of the order between workspaces that use more or less than their part."""

from __future__ import annotations

import pytest

from heatherkeel.dispatch.events import GrantsOffered
from heatherkeel.dispatch.models import JobState
from heatherkeel.platform.callers import StepRequest
from heatherkeel.workspaces.amounts import Amount
from heatherkeel.workspaces.const import OVER_PART_MAX_AGE_MS
from heatherkeel.workspaces.messages import GrantOffer

from .test_limits import Limited

TASK = StepRequest(count=1, cpu=1000, memory_mb=10, estimated_ms=400)


class Contended(Limited):
    """A partition whose workspaces have no limits, and whose lender tells who is above its part."""

    def __init__(self) -> None:
        super().__init__(workers=1)
        self.set_limit(Amount())

    def tell(self, *over_part: str, sequence: int | None = None) -> None:
        """Tell the owner which workspaces are above their part."""
        self.sequence += 1
        offer = GrantOffer(
            lender=1,
            sequence=sequence or self.sequence,
            owner=self.state.token,
            since=0,
            over_part=list(over_part),
        )
        self.apply(GrantsOffered(**self.event_times(), offer=offer))

    def order(self) -> list[str]:
        """Return the workspaces of the waiting steps, the most urgent first."""
        steps = self.state.pools["portal"].open_steps
        return [step.job.workspace for step in steps.in_order(self.state.now_ms)]


@pytest.fixture(name="partition")
def partition_fixture() -> Contended:
    """Return a full partition with waiting jobs: ten of `desk`, then one of `dock`."""
    partition = Contended()
    partition.submit_for("desk", StepRequest(count=100, cpu=1000, memory_mb=1, estimated_ms=400))
    for _ in range(10):
        partition.submit_for("desk", TASK)
        partition.tick(1)
    partition.submit_for("dock", TASK)
    return partition


def test_others_come_before_a_workspace_above_its_part(partition: Contended) -> None:
    """Guards against one workspace's surge that stands before the jobs of all others."""
    assert partition.order().index("dock") == 10
    partition.tell("desk")
    # The job that has begun goes on.
    assert sorted(partition.order()[:2]) == ["desk", "dock"]


def test_order_returns_once_nobody_is_above_its_part(partition: Contended) -> None:
    partition.tell("desk")
    partition.tell()
    assert partition.order().index("dock") == 10


def test_late_offer_changes_nothing(partition: Contended) -> None:
    """Guards against an outdated offer that arrives after a newer one."""
    partition.tell("desk")
    partition.tell(sequence=1)
    assert partition.order().index("dock") <= 1


def test_order_by_due_time_alone_without_a_lender(partition: Contended) -> None:
    """Guards against workspaces that are held back by use that ended long ago."""
    partition.tell("desk")
    partition.tick(OVER_PART_MAX_AGE_MS)
    assert partition.order().index("dock") >= 10


def test_job_that_has_begun_keeps_its_place_before_late_ones(partition: Contended) -> None:
    """Guards against late jobs that get the room of a job which has just begun."""
    partition.tell("desk")
    open_steps = partition.state.pools["portal"].open_steps
    waiting = (step for step in open_steps if not step.job.has_started())
    step = next(step for step in waiting if step.job.workspace == "desk")
    step.job.state = JobState.ACTIVE
    assert step in list(open_steps.in_order(partition.now_ms))
