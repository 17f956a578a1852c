"""A run is drawn from its seed alone."""

from __future__ import annotations

from heatherkeel.soak.plan import make_plan
from heatherkeel.soak.run import find_kinds


def test_the_same_seed_gives_the_same_run_and_another_one_another() -> None:
    plans = [
        make_plan(seed, duration_s=60.0, faults_per_s=0.5, kinds=find_kinds([]))
        for seed in (7, 7, 8)
    ]
    assert plans[0] == plans[1]
    assert plans[0].faults != plans[2].faults
    assert plans[0].jobs != plans[2].jobs
    assert {job.at_s for job in plans[0].jobs} != {job.at_s for job in plans[2].jobs}


def test_faults_come_in_series_and_overlap() -> None:
    plan = make_plan(1, duration_s=120.0, faults_per_s=0.5, kinds=find_kinds([]))
    pairs = list(zip(plan.faults, plan.faults[1:], strict=False))
    assert any(one.at_s + one.lasts_s > other.at_s for one, other in pairs)
    assert any(one.kind == other.kind and other.at_s - one.at_s < 1.0 for one, other in pairs)


def test_only_the_named_kinds_are_drawn() -> None:
    plan = make_plan(1, duration_s=60.0, faults_per_s=0.5, kinds=find_kinds(["cut-store"]))
    assert {fault.kind for fault in plan.faults} == {"cut-store"}
