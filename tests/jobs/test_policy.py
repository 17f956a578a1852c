"""Placement policies: their proposals, and that the fold accepts them."""

from __future__ import annotations

from collections import Counter

from heatherkeel.catalogue.models import ServiceClass, TeamEntry
from heatherkeel.core.models import Rejected, RejectReason
from heatherkeel.jobs.draining import plan_drains, tasks_left
from heatherkeel.jobs.models import JobStatus
from heatherkeel.jobs.placers import PlacerOrder
from heatherkeel.jobs.policies import POLICIES
from heatherkeel.jobs.policy import PlacementRound, RoundRequest
from heatherkeel.jobs.records import JobCheckpoint, JobPlace, JobUnplaceable, TaskCheckpointed
from heatherkeel.membership.models import EntryJoin
from heatherkeel.waves.models import MoveJoin

from .conftest import POOL, TEAM, Fleet, put, spec_of

URGENT = ServiceClass.URGENT


def plan(fleet: Fleet, *, policy: str = "best_fit", limit: int = 100) -> PlacementRound:
    return POLICIES[policy](fleet.state, RoundRequest(placer="entry1", limit=limit))


def do_round(fleet: Fleet, **options: object) -> PlacementRound:
    """Plan a round and append its records; the fold must accept all of them."""
    planned = plan(fleet, **options)  # type: ignore[arg-type]
    for body in planned.records:
        fleet.accept(body)
    return planned


def workers_of(planned: PlacementRound) -> Counter[str]:
    return Counter(body.instance for body in planned.records if isinstance(body, JobPlace))


def test_a_family_is_spread_over_zones(fleet: Fleet) -> None:
    # The loss of one availability zone must not affect more than an even part of a family.
    for number in range(6):
        fleet.submit(f"sheetal:j{number}")
    assert workers_of(do_round(fleet)) == {"w0": 2, "w1": 2, "w2": 2}


def test_best_fit_leaves_the_least_capacity_free() -> None:
    # Of two workers in one zone, one is half full. The small job must go there, so that the
    # empty worker stays free for a large job.
    fleet = Fleet(workers=1)
    fleet.admit("w3")
    fleet.run("w3", "sheetal:first", spec_of(memory_mib=2_000, family="other"))
    fleet.submit("sheetal:small", spec_of(memory_mib=2_000))
    fleet.submit("sheetal:large", spec_of(memory_mib=4_000))
    assert workers_of(do_round(fleet)) == {"w3": 1, "w0": 1}


def test_urgent_jobs_come_first_and_teams_take_turns() -> None:
    # A team's backlog must not delay an urgent job or the batch jobs of another team.
    fleet = Fleet(workers=1)
    fleet.accept(put("agency", TeamEntry(owner=TEAM, cpu_quota=1_000, memory_quota_mib=1_000_000)))
    for number in range(9):
        fleet.submit(f"sheetal:j{number}")
    for name, service_class in (("agency:night", ServiceClass.BATCH), ("agency:now", URGENT)):
        fleet.state.jobs.remembered["agency"] = fleet.state.jobs.remembered.get("agency", 0) + 1
        fleet.state.jobs.accepted += 1
        fleet.state.jobs.live[name] = type(fleet.job("sheetal:j0"))(
            spec=spec_of(service_class=service_class),
            submitted_ms=1_000,
            submitted_offset=fleet.state.next_offset,
            changed_ms=1_000,
        )
    planned = plan(fleet, limit=3)
    order = [body.job for body in planned.records if isinstance(body, JobPlace)]
    assert order == ["agency:now", "sheetal:j0", "agency:night"]


def test_an_urgent_job_preempts_the_fewest_jobs() -> None:
    # All workers are full of batch jobs. Preempting the large job is enough; the other worker
    # would need two preemptions.
    fleet = Fleet(workers=2)
    for name in ("sheetal:a", "sheetal:b"):
        fleet.run("w0", name, spec_of(memory_mib=2_000, checkpointable=True))
    large = fleet.run("w1", "sheetal:c", spec_of(memory_mib=4_000, checkpointable=True))
    fleet.submit("sheetal:now", spec_of(memory_mib=3_000, service_class=URGENT))
    fleet.submit("sheetal:quick", spec_of(memory_mib=3_000))
    planned = do_round(fleet)
    assert [type(body) for body in planned.records] == [JobCheckpoint]
    assert fleet.status("sheetal:c") is JobStatus.CHECKPOINTING
    # No further victims are chosen until the checkpoint is complete.
    assert plan(fleet).records == []
    fleet.accept(TaskCheckpointed(task=large, saved=True, stopped=True))
    # The freed capacity is held for the urgent job, even if another placer is faster.
    assert isinstance(fleet.append(fleet.placement("w1", "sheetal:quick")), Rejected)
    assert workers_of(do_round(fleet)) == {"w1": 1}
    assert fleet.status("sheetal:now") is JobStatus.PLACED


def test_an_urgent_job_above_its_quota_preempts_only_its_own_team(fleet: Fleet) -> None:
    fleet.run("w0", "sheetal:a", spec_of(checkpointable=True))
    fleet.accept(put(TEAM, TeamEntry(owner=TEAM, cpu_quota=1, memory_quota_mib=9_000), version=1))
    fleet.submit("sheetal:now", spec_of(service_class=URGENT))
    [body] = do_round(fleet).records
    assert isinstance(body, JobCheckpoint) and body.job == "sheetal:a"


def test_jobs_that_can_never_run_are_ended_and_others_wait(fleet: Fleet) -> None:
    fleet.submit("sheetal:huge", spec_of(memory_mib=5_000))
    for number in range(4):
        fleet.submit(f"sheetal:j{number}", spec_of(memory_mib=3_000))
    planned = do_round(fleet)
    assert isinstance(planned.records[0], JobUnplaceable)
    assert fleet.status("sheetal:huge") is JobStatus.FAILED
    assert planned.placed == 3 and planned.waiting == {"no_room": 1}


def test_drains_wait_for_jobs_that_end_soon_and_move_the_others(fleet: Fleet) -> None:
    # A drain must not move jobs that have only a minute left to run.
    fleet.run("w0", "sheetal:short", spec_of(checkpointable=True))
    fleet.run("w0", "sheetal:fixed", spec_of(checkpointable=False))
    fleet.run("w0", "sheetal:over", spec_of(checkpointable=True))
    fleet.job("sheetal:over").started_ms = fleet.now_ms - 3_600_000
    assert plan_drains(fleet.state).records == []
    fleet.drain("w0")
    planned = plan_drains(fleet.state)
    assert [body.job for body in planned.records] == ["sheetal:over"]
    reasons = {wait.job: wait.reason for wait in planned.waits}
    assert reasons["sheetal:short"] == "expected to end in 60 s"
    assert reasons["sheetal:fixed"] == "can't be checkpointed"
    fleet.accept(planned.records[0])
    assert tasks_left(fleet.state, "w0") == 3


def test_a_move_ends_only_when_no_task_is_left(fleet: Fleet) -> None:
    # The worker gets no more requests, but a job still runs. Joining another pool now would
    # reboot the worker during the job, or mix the tasks of two pools.
    task = fleet.run("w0")
    fleet.drain("w0", routed=False)
    version = fleet.state.pools.instances["w0"].version
    move = MoveJoin(instance="w0", expected_version=version, coordinator="entry1")
    assert fleet.refuse(move) is RejectReason.IN_USE
    fleet.end(task)
    fleet.accept(move)
    assert fleet.state.pools.instances["w0"].pool == "elsewhere"


def test_the_baseline_places_by_submission_and_declared_size(fleet: Fleet) -> None:
    for number in range(5):
        fleet.submit(f"sheetal:j{number}")
    assert workers_of(do_round(fleet, policy="first_fit")) == {"w0": 4, "w1": 1}


def test_one_live_entry_instance_places_for_a_pool(fleet: Fleet) -> None:
    for name in ("entry1", "entry2", "entry3"):
        fleet.accept(
            EntryJoin(
                instance=name,
                incarnation=f"{name}-1",
                zone="zone0",
                peer_address="",
                lease_ms=10_000,
            )
        )
    order = PlacerOrder()
    order.refresh(fleet.state, fleet.now_ms)
    pools = [f"pool{number}" for number in range(50)]
    before = {pool: order.placers_of(pool)[0] for pool in pools}
    assert len(set(before.values())) == 3
    fleet.state.membership.entries["entry2"].lease_until_ms = 0
    order.refresh(fleet.state, fleet.now_ms)
    after = {pool: order.placers_of(pool)[0] for pool in pools}
    assert all(after[pool] == before[pool] for pool in pools if before[pool] != "entry2")
    assert "entry2" not in after.values()


def test_the_standby_placer_takes_over_for_an_urgent_job(fleet: Fleet) -> None:
    # The placer crashes with a valid lease. An urgent job must not wait until the lease expires.
    for name in ("entry1", "entry2"):
        fleet.accept(
            EntryJoin(
                instance=name, incarnation=name, zone="zone0", peer_address="", lease_ms=15_000
            )
        )
    fleet.submit("sheetal:night")
    order = PlacerOrder()
    order.refresh(fleet.state, fleet.now_ms)
    _, second = order.placers_of(POOL)
    later_ms = fleet.now_ms + 1_001
    assert order.assigned_jobs(fleet.state, second, later_ms) == {}
    fleet.submit("sheetal:now", spec_of(service_class=URGENT))
    assert order.assigned_jobs(fleet.state, second, fleet.now_ms) == {}
    taken = order.assigned_jobs(fleet.state, second, later_ms)
    assert taken.keys() == {"sheetal:night", "sheetal:now"}
