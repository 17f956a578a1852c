"""A demand peak of a queue is spread evenly over its service's shares.

The load is that of a large fleet. Shares can't help each other, so the fullest one decides how
many jobs are late.
"""

from __future__ import annotations

from random import Random
from statistics import mean

import pytest

from heatherkeel.ownership import partitions
from heatherkeel.ownership.partitions import Layout, extend_layout
from heatherkeel.pooling.const import TARGET_UTILIZATION

SERVICES = ("desk", "dispatch", "portal", "store")
MACHINES = 276
PARTITIONS = 24
JOBS_A_SECOND = 12
WINDOW_S = 4
"""Duration of a job in seconds; jobs that arrive within it run at the same time."""
SLACK_FACTOR = 1.6
"""Ratio of a job's allowed duration to the duration of its work."""
MOST_OVER_MEAN = SLACK_FACTOR * TARGET_UTILIZATION
"""Greatest allowed ratio of the fullest share's load to the mean, for which pools get machines."""


def make_layout() -> Layout:
    """Return a layout of the services over a fleet's machines."""
    machines = [f"m{number}" for number in range(MACHINES)]
    size = MACHINES // len(SERVICES)
    pools = {
        service: machines[number * size : (number + 1) * size]
        for number, service in enumerate(SERVICES)
    }
    return extend_layout(Layout(), services=list(SERVICES), pools=pools, partitions=PARTITIONS)


def fullest_over_mean(layout: Layout, *, seed: int) -> float:
    """Return the ratio of the fullest share's concurrent jobs to the mean."""
    random = Random(seed)
    shares = layout.partitions_of("desk")
    counts = dict.fromkeys(shares, 0)
    for _ in range(WINDOW_S * JOBS_A_SECOND):
        partition = layout.partition_of_job("desk", f"{random.getrandbits(64):016x}")
        assert partition is not None
        counts[partition] += 1
    return max(counts.values()) / mean(counts.values())


def test_no_share_gets_much_more_than_the_mean_at_a_demand_peak() -> None:
    layout = make_layout()
    worst = mean(fullest_over_mean(layout, seed=seed) for seed in range(40))
    assert worst < MOST_OVER_MEAN


def test_smaller_shares_fill_too_unevenly(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards the choice of the share's size: the fullest of smaller shares would be too late."""
    monkeypatch.setattr(partitions, "WORKERS_PER_SHARE", 12)
    worst = mean(fullest_over_mean(make_layout(), seed=seed) for seed in range(40))
    assert worst > MOST_OVER_MEAN


def test_every_share_can_get_enough_machines_for_a_demand_peak() -> None:
    """A demand peak may need half of all machines, and each share a third of these."""
    layout = make_layout()
    for service in SERVICES:
        for partition in layout.partitions_of(service):
            found = [
                m for m in layout.places if layout.partition_of_machine(service, m) == partition
            ]
            assert len(found) >= MACHINES // len(layout.partitions_of(service))
