"""Claims of a pool's jobs, by which machines are divided between pools."""

from __future__ import annotations

import msgspec

from heatherkeel.dispatch.const import LITTLE_DONE_PERCENT, MAX_CLAIMS, MOVE_LEAD_MS
from heatherkeel.dispatch.events import QueuesChanged
from heatherkeel.dispatch.load import measure_pools
from heatherkeel.platform.operator import Queue
from heatherkeel.questions.messages import Claim, PoolLoad

from .partition import OTHER_JOB, Partition, make_step


def measure_claims(partition: Partition) -> list[Claim]:
    """Return the claims of the only pool."""
    (load,) = measure_pools(partition.state, with_claims=True)
    assert load.claims is not None
    return load.claims


def set_priorities(partition: Partition, *priorities: int) -> None:
    """Give the queue the first priority, and add queues with the others."""
    (queue,) = partition.state.queues.values()
    names = ["quotes", *(f"q{priority}" for priority in priorities[1:])]
    queues: dict[str, Queue] = {
        name: msgspec.structs.replace(queue, name=name, priority=priority)
        for name, priority in zip(names, priorities, strict=True)
    }
    partition.apply(QueuesChanged(**partition.event_times(), queues=queues))


def test_claims_are_reported_on_request_only() -> None:
    partition = Partition()
    (load,) = measure_pools(partition.state)
    assert load.claims is None and not load.kept


def test_running_and_waiting_tasks_in_time_are_claimed() -> None:
    partition = Partition(workers=1, cpu=8000)
    set_priorities(partition, 1)
    partition.submit(make_step(count=6, cpu=2000, estimated_ms=2000))
    assert measure_claims(partition) == [Claim(priority=1, in_time_cpu=12_000, soon_cpu=12_000)]


def test_demand_that_is_late_once_a_machine_has_come_is_not_usable_soon() -> None:
    partition = Partition(workers=1, cpu=8000)
    partition.submit(make_step(count=6, cpu=2000, estimated_ms=500))
    assert MOVE_LEAD_MS > 500 * 0.6 + 600
    (claim,) = measure_claims(partition)
    assert (claim.in_time_cpu, claim.soon_cpu) == (12_000, 8000)


def test_late_demand_is_told_apart_and_worthless_demand_left_out() -> None:
    partition = Partition(workers=1, cpu=8000)
    partition.submit(make_step(count=6, cpu=2000, estimated_ms=500))
    partition.now_ms += 1200
    partition.tick(1)
    (claim,) = measure_claims(partition)
    assert (claim.in_time_cpu, claim.late_cpu) == (8000, 4000)
    partition.tick(4000)
    (claim,) = measure_claims(partition)
    assert (claim.in_time_cpu, claim.late_cpu) == (0, 0)


def test_long_running_tasks_claim_apart_and_best_effort_tasks_nothing() -> None:
    partition = Partition(workers=1, cpu=8000)
    partition.submit(make_step(count=1, cpu=2000, lasts=True))
    partition.submit(make_step(count=1, cpu=0, fills=True), job_id=OTHER_JOB)
    (claim,) = measure_claims(partition)
    assert claim == Claim(priority=0, lasting_cpu=2000)


def test_priorities_are_bounded_in_number() -> None:
    """Guards against answers that grow with the number of priorities."""
    partition = Partition(workers=1, cpu=8000)
    set_priorities(partition, 9, 0, 1, 2, 3, 4, 5)
    partition.submit(make_step(count=6, cpu=2000, estimated_ms=2000))
    claims = measure_claims(partition)
    assert [claim.priority for claim in claims] == [0, 1, 2, 3]
    assert len(claims) == MAX_CLAIMS and claims[-1].in_time_cpu == 12_000


def test_workers_with_tasks_that_have_to_end_are_listed() -> None:
    partition = Partition(workers=2, cpu=8000)
    partition.submit(make_step(count=1, cpu=2000))
    (run,) = partition.start_planned_runs()
    (load,) = measure_pools(partition.state, with_claims=True)
    assert not load.kept
    partition.list_known_runs(run.worker_id, percent=LITTLE_DONE_PERCENT)
    (load,) = measure_pools(partition.state, with_claims=True)
    assert load.kept == {run.worker_id: 2000}


def test_load_without_claims_is_decoded_as_before() -> None:
    """Guards against a fleet's owner that rejects loads of processes of an earlier release."""
    load = msgspec.msgpack.decode(
        msgspec.msgpack.encode(
            {
                "service": "portal",
                "wanted_cpu": 1,
                "used_cpu": 1,
                "workers": {},
                "empty": [],
                "lasting": {},
            }
        ),
        type=PoolLoad,
    )
    assert load.claims is None and load.kept == {}
