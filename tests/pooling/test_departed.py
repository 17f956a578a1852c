"""Tests of workers whose machines have gone but whose entries haven't expired yet."""

from __future__ import annotations

from heatherkeel.platform.operator import Wave
from heatherkeel.pooling.const import DEPARTED_WORKER_MS
from heatherkeel.pooling.models import OrderMachine, PoolShare

from .fleet import Fleet


def take_away(fleet: Fleet) -> str:
    """Let an idle pool's first surplus machine move to standby; return its name."""
    fleet.measure(desk=0)
    fleet.empty = set(fleet.pool_of)
    for _ in range(20):
        fleet.measure(desk=0)
        intents = fleet.plan()
        if intents:
            break
    machine = intents[0].machine
    for effect in fleet.effects:
        if isinstance(effect, OrderMachine):
            fleet.answer(effect.intent.machine)
    return machine


def test_worker_of_departed_machine_is_reported_as_leaving() -> None:
    # Until the worker's entry expires, its share's owner would prefer the empty worker for the next
    # job's tasks and send them to an address where nothing listens.
    fleet = Fleet(desk=9, spare=0)
    machine = take_away(fleet)
    assert f"i-{machine}" in fleet.state.leaving_workers().get(0, [])
    fleet.pool_of[machine] = "spare"
    fleet.now_ms += 100
    fleet.list_machines()
    assert machine not in fleet.state.intents
    assert f"i-{machine}" in fleet.state.leaving_workers().get(0, [])


def test_departed_worker_is_reported_until_its_entry_has_expired() -> None:
    fleet = Fleet(desk=9, spare=0)
    machine = take_away(fleet)
    fleet.pool_of[machine] = "spare"
    fleet.now_ms += 100
    fleet.list_machines()
    fleet.now_ms += DEPARTED_WORKER_MS
    fleet.list_machines()
    assert f"i-{machine}" not in fleet.state.leaving_workers().get(0, [])
    assert not fleet.state.departed


def test_machine_whose_order_was_never_carried_out_serves_on() -> None:
    # The order was never carried out, and the list shows the same incarnation in the same pool
    # after the settle time. The worker must get tasks again.
    fleet = Fleet(desk=9, spare=0)
    machine = take_away(fleet)
    fleet.state.intents[machine].is_confirmed = False
    fleet.now_ms += 60_000
    fleet.list_machines()
    assert machine not in fleet.state.intents
    assert not fleet.state.leaving_workers()


def test_only_the_owner_of_the_workers_share_is_notified() -> None:
    # Sending all leaving workers to every owner would load the links at the end of a demand peak.
    fleet = Fleet(desk=16, spare=0, shares=2)
    fleet.empty = set(fleet.pool_of)
    for _ in range(20):
        for partition in (0, 1):
            fleet.measure(partition=partition, desk=0)
        fleet.plan()
    leaving = [set(fleet.state.leaving_workers()[partition]) for partition in (0, 1)]
    named = {intent.worker_id for intent in fleet.state.intents.values()}
    assert leaving[0] and leaving[1] and not leaving[0] & leaving[1]
    assert leaving[0] | leaving[1] == named


def test_worker_without_a_machine_name_is_reported_to_its_owner() -> None:
    # The worker's owner follows from its own id. If another owner were notified, the worker would
    # never be emptied, and its machine's maintenance would never begin.
    wave = Wave(number=1, machines=["desk0"], duration_s=30, max_down=1)
    fleet = Fleet(desk=4, spare=0, shares=2, waves=[wave])
    owner = fleet.state.share_of("desk0", "desk")
    assert owner is not None
    other = 1 - owner.partition
    fleet.measure(partition=other, desk=0)
    view = fleet.state.views[PoolShare("desk", other)]
    view.load.workers["i-desk0"] = 0
    fleet.plan()
    assert fleet.state.leaving_workers() == {other: ["i-desk0"]}
