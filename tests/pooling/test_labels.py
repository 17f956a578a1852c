"""Simulated services of two partitions in which only few machines have a label."""

from __future__ import annotations

import pytest

from heatherkeel.dispatch.models import JobState
from heatherkeel.platform.callers import StepRequest

from .whole_fleet import SPARE, StarvationWatch, WholeFleet

POOLS = {"desk": 36, "portal": 34, SPARE: 8}
PARTITIONS = 5
NEIGHBOURS = ("desk34", "desk35")
"""Two machines side by side, which belong to different partitions."""
PLAIN = StepRequest(count=4, cpu=2000, memory_mb=512, estimated_ms=600)
LABELLED = StepRequest(count=2, cpu=2000, memory_mb=512, estimated_ms=500, label="b")
OTHER_LABELLED = StepRequest(
    count=2, cpu=2000, memory_mb=512, estimated_ms=500, label="c", depends_on=(0,)
)
JOBS = 12
SETTLE_MS = 8000
WATCH_MS = 6000


def make_fleet(kinds: dict[str, str], *, seed: int) -> WholeFleet:
    """Return a fleet whose workers have all answered."""
    fleet = WholeFleet(pools=POOLS, partitions=PARTITIONS, seed=seed, kinds=kinds)
    fleet.run(1000)
    partitions = {fleet.layout.partition_of_machine("desk", machine) for machine in NEIGHBOURS}
    assert len(partitions) == 2
    return fleet


def submit_jobs(fleet: WholeFleet, *steps: StepRequest) -> None:
    """Submit jobs with these steps among plain ones."""
    for _ in range(JOBS):
        fleet.submit("desk", PLAIN)
        fleet.submit("desk", *steps)
        fleet.run(100)


def check_all_complete(fleet: WholeFleet) -> None:
    """Check that no job starves from now on, and that all are done."""
    assert StarvationWatch(fleet).run(WATCH_MS) == []
    assert {job.state for job in fleet.jobs} == {JobState.COMPLETE}


@pytest.mark.parametrize("seed", [1, 2])
def test_jobs_run_on_the_only_machine_with_their_label(seed: int) -> None:
    """Guards against jobs that wait for good in a partition without a machine with their label."""
    fleet = make_fleet({"desk35": "b"}, seed=seed)
    submit_jobs(fleet, LABELLED)
    check_all_complete(fleet)


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("lost_at", ["before", "while they run"])
@pytest.mark.parametrize("for_ms", [None, 5000])
def test_loss_of_a_machine_with_a_label_strands_no_job(
    seed: int, lost_at: str, for_ms: int | None
) -> None:
    """Guards against jobs whose partition has lost its last machine with their label."""
    fleet = make_fleet(dict.fromkeys(NEIGHBOURS, "b"), seed=seed)
    lost = fleet.machines[NEIGHBOURS[seed % 2]]
    after_ms = 0 if lost_at == "before" else 700
    fleet.after(after_ms, lambda: fleet.lose(lost, for_ms=for_ms, is_listed=False))
    submit_jobs(fleet, LABELLED)
    fleet.run(SETTLE_MS)
    check_all_complete(fleet)


@pytest.mark.parametrize("seed", [1, 2])
def test_steps_whose_labels_are_in_different_partitions_run_in_turn(seed: int) -> None:
    """Guards against jobs that no single partition can run to their end."""
    fleet = make_fleet({NEIGHBOURS[0]: "b", NEIGHBOURS[1]: "c"}, seed=seed)
    submit_jobs(fleet, LABELLED, OTHER_LABELLED)
    fleet.run(SETTLE_MS)
    check_all_complete(fleet)


def test_days_without_labels_hand_nothing_over() -> None:
    """Guards against hand-overs of jobs that only wait for room."""
    fleet = make_fleet({}, seed=1)
    for _ in range(100):
        fleet.submit("desk", PLAIN)
    fleet.run(SETTLE_MS)
    assert all(job.moves == 0 for job in fleet.jobs)
    assert all(not state.forwarded for state in fleet.owners.values())
