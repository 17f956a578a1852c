"""Tests that the shares of a pool gain and release machines independently."""

from __future__ import annotations

from dataclasses import replace

from heatherkeel.pooling.const import PEAK_RETENTION_MS, STANDBY_DELAY_MS
from heatherkeel.pooling.models import DirectoryRead, PoolShare

from .fleet import CPU, Fleet


def test_share_gets_machines_that_belong_to_it() -> None:
    """Guards against moving standby machines that would join another share of the pool."""
    fleet = Fleet(shares=2, desk=4, spare=6)
    fleet.measure(partition=0, desk=CPU)
    fleet.measure(partition=1, desk=4 * CPU)
    ordered = fleet.plan()
    assert len(ordered) == 3
    for intent in ordered:
        assert fleet.state.share_of(intent.machine, "desk") == PoolShare("desk", 1)


def test_share_without_a_load_neither_gains_nor_loses_machines() -> None:
    """One partition's owner is gone; the load of the other says nothing about its share."""
    fleet = Fleet(shares=2, desk=12, spare=4)
    for _ in range((STANDBY_DELAY_MS + PEAK_RETENTION_MS) // 100 + 5):
        fleet.measure(partition=0, desk=0)
        intents = fleet.plan()
        for intent in intents:
            assert fleet.state.share_of(intent.machine, "desk") == PoolShare("desk", 0)


def test_each_share_keeps_its_minimum() -> None:
    """Each share keeps its own minimum; the surplus of one doesn't help the other."""
    fleet = Fleet(shares=2, desk=24, spare=0)
    gone: set[str] = set()
    for _ in range((STANDBY_DELAY_MS + PEAK_RETENTION_MS) // 100 * 3):
        for partition in range(2):
            fleet.measure(partition=partition, desk=0)
        fleet.plan()
        gone |= fleet.state.intents.keys()
    left = [name for name in fleet.pool_of if name not in gone]
    shares = [fleet.state.share_of(name, "desk") for name in left]
    assert shares.count(PoolShare("desk", 0)) == shares.count(PoolShare("desk", 1)) == 5


def test_new_owner_keeps_the_initial_minimum() -> None:
    """Guards against a new owner that takes a pool's current size for its initial one."""
    fleet = Fleet(desk=24, spare=0)
    layout = replace(fleet.state.layout, homes={"desk": 12})
    fleet.reduce(
        DirectoryRead(now_ms=fleet.now_ms, services=fleet.state.services, waves={}, layout=layout)
    )
    gone: set[str] = set()
    for _ in range((STANDBY_DELAY_MS + PEAK_RETENTION_MS) // 100 * 3):
        fleet.measure(desk=0)
        fleet.plan()
        gone |= fleet.state.intents.keys()
    assert len(fleet.pool_of) - len(gone) == 5


def test_arrival_rate_is_measured_over_all_shares() -> None:
    """Guards against late orders since no share alone has enough jobs to show a surge."""
    fleet = Fleet(shares=2, desk=8, spare=8)
    fleet.arriving["desk"] = (3, 6 * CPU)
    for partition in range(2):
        fleet.measure(partition=partition, desk=0)
    assert len(fleet.plan()) == 4


def test_one_large_job_is_no_surge() -> None:
    fleet = Fleet(shares=2, desk=8, spare=8)
    fleet.arriving["desk"] = (2, 6 * CPU)
    for partition in range(2):
        fleet.measure(partition=partition, desk=0)
    assert not fleet.plan()
