"""The order of jobs that were accepted while their owner could start none."""

from __future__ import annotations

from heatherkeel.dispatch.events import JobSubmitted
from heatherkeel.platform.callers import JobRequest
from tests.dispatch.partition import Partition, make_step

AGES_MS = {"worthless": 10_000, "late": 2_500, "in time": 300}
"""Time since each job was accepted; the objective is 1,400 ms."""


def test_what_can_still_be_met_goes_first_after_an_outage() -> None:
    """Guards against an order by time of acceptance, which would make all jobs late."""
    partition = Partition(workers=0)
    partition.now_ms += 60_000
    for name, age_ms in AGES_MS.items():
        partition.apply(
            JobSubmitted(
                **partition.event_times(),
                job_id=name,
                queue="quotes",
                service="portal",
                request=JobRequest(spec="s", steps=(make_step(),)),
                accepted_wall_ms=partition.now_ms - age_ms,
            )
        )
    waiting = partition.state.pools["portal"].open_steps
    order = [step.job.id for step in waiting.in_order(partition.now_ms)]
    assert order == ["in time", "late", "worthless"]
