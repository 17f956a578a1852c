"""The simulated fleet keeps the machines' rules, and shows what a surge leaves to whom."""

from __future__ import annotations

from heatherkeel.dispatch.models import JobState
from heatherkeel.measure.simulated_fleet import SPARE, SimulatedFleet
from heatherkeel.measure.surges import Case, measure

OTHERS_LOSE = 0.05
"""What other queues may lose of their share in time beside a surge."""


def test_other_queues_keep_their_share_beside_a_surge_of_three_times_the_room() -> None:
    measured = measure(Case(surging=1, load=3.0), seed=1)
    assert measured.others_in_time is not None
    assert measured.others_in_time >= 1 - OTHERS_LOSE


def test_surge_that_the_machines_can_hold_is_served() -> None:
    assert measure(Case(surging=1, load=0.5), seed=1).served == 1.0


def test_machines_move_to_where_jobs_come_and_every_job_ends() -> None:
    fleet = SimulatedFleet(pools=2, machines=9, seed=1)
    fleet.draw_jobs("pool0", load=0.8, from_ms=0, until_ms=4000)
    fleet.run(3500)
    placed = [machine.pool for machine in fleet.machines.values()]
    assert placed.count("pool0") > 3 > placed.count(SPARE)
    fleet.run(20_000)
    assert all(job.state is JobState.COMPLETE for job in fleet.jobs["pool0"])
