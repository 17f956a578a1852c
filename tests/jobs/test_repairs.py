"""Repairs of instances that observers saw fail, while the platform hears of tasks there."""

from __future__ import annotations

from heatherkeel.catalogue.models import EntryPut, MaintenanceEntry
from heatherkeel.core.models import RejectReason
from heatherkeel.jobs.records import LossEvidence, TaskLost, TaskStarted
from heatherkeel.membership.models import EntryJoin
from heatherkeel.pools.models import Health, InstanceObserved, InstanceStatus
from heatherkeel.waves.coordinator import next_steps
from heatherkeel.waves.models import AckedDrain, DrainAck, DrainStart, Purpose, StopIssued
from heatherkeel.waves.repairs import plan_repairs

from .conftest import JOB, POOL, TEAM, Fleet, spec_of

OBSERVERS = {"entry1": "zone1", "entry2": "zone2"}
"""Entry instances by availability zone; the worker's own zone has none."""


def see_worker_fail(fleet: Fleet) -> None:
    """Let observers in other availability zones report that the first worker doesn't answer."""
    care = MaintenanceEntry(owner=TEAM, pool=POOL)
    fleet.accept(EntryPut(name="care", expected_version=0, team=TEAM, entry=care))
    for observer, zone in OBSERVERS.items():
        fleet.accept(
            EntryJoin(
                instance=observer,
                incarnation=f"{observer}-1",
                zone=zone,
                peer_address="",
                lease_ms=10_000,
            )
        )
        fleet.accept(InstanceObserved(instance="w0", health=Health.FAILED, observer=observer))
    assert fleet.state.pools.instances["w0"].status is InstanceStatus.FAILED


def start_repair(fleet: Fleet) -> DrainStart:
    version = fleet.state.pools.instances["w0"].version
    return DrainStart(
        instance="w0", expected_version=version, coordinator="entry1", purpose=Purpose.REPAIR
    )


def lose_lease(fleet: Fleet, task: str) -> None:
    version = fleet.job().version
    evidence = LossEvidence.LEASE_LAPSED
    fleet.accept(TaskLost(task=task, expected_version=version, evidence=evidence))


def acknowledge(fleet: Fleet) -> None:
    drain = fleet.state.waves.drains["w0"].id
    for observer in OBSERVERS:
        acked = (AckedDrain(instance="w0", drain=drain),)
        fleet.accept(DrainAck(entry=observer, incarnation=f"{observer}-1", instances=acked))


def test_a_worker_that_only_observers_see_fail_isnt_repaired_while_its_task_runs(
    fleet: Fleet,
) -> None:
    # Guards against ending a task because observers are cut off from its worker's zone.
    fleet.submit(JOB, spec_of(idempotent=True))
    task = fleet.run("w0")
    see_worker_fail(fleet)
    assert plan_repairs(fleet.state, coordinator="entry1") == []
    assert fleet.refuse(start_repair(fleet)) is RejectReason.IN_USE
    lose_lease(fleet, task)
    (repair,) = plan_repairs(fleet.state, coordinator="entry1")
    fleet.accept(repair)


def test_a_repair_waits_for_a_task_that_is_heard_again(fleet: Fleet) -> None:
    # Guards against stopping a worker that came back between the drain and its stop.
    fleet.submit(JOB, spec_of())
    task = fleet.run("w0")
    lose_lease(fleet, task)
    see_worker_fail(fleet)
    fleet.accept(start_repair(fleet))
    acknowledge(fleet)
    fleet.accept(TaskStarted(task=task))
    assert next_steps(fleet.state, fleet.now_ms, coordinator="entry1") == []
    version = fleet.state.pools.instances["w0"].version
    stop = StopIssued(instance="w0", expected_version=version, coordinator="entry1")
    assert fleet.refuse(stop) is RejectReason.IN_USE
    fleet.end(task)
    (step,) = next_steps(fleet.state, fleet.now_ms, coordinator="entry1")
    fleet.accept(step)


def test_a_worker_whose_tasks_are_silent_is_repaired(fleet: Fleet) -> None:
    # Guards against a failed worker that is never repaired, since its tasks can't be heard.
    fleet.submit(JOB, spec_of())
    task = fleet.run("w0")
    lose_lease(fleet, task)
    see_worker_fail(fleet)
    fleet.accept(start_repair(fleet))
    acknowledge(fleet)
    (step,) = next_steps(fleet.state, fleet.now_ms, coordinator="entry1")
    assert isinstance(step, StopIssued)
    fleet.accept(step)
