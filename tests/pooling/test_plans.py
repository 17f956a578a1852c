"""Tests of planned moves and maintenance, and of when machines may be ordered."""

from __future__ import annotations

import pytest

from heatherkeel.platform.errors import CallError, Failure
from heatherkeel.platform.operator import Wave
from heatherkeel.pooling.const import PEAK_RETENTION_MS, REGISTRATION_MS, STANDBY_DELAY_MS
from heatherkeel.pooling.models import Purpose, SaveWave
from heatherkeel.questions.messages import Need

from .fleet import CPU, MEMORY_MB, Fleet


def test_pool_with_high_demand_gets_standby_machines_at_once() -> None:
    """A queue's demand rises to several times its pool's capacity."""
    fleet = Fleet(desk=2, spare=4)
    fleet.measure(desk=5 * CPU)
    moved = fleet.plan()
    assert len(moved) == 4
    assert {intent.pool for intent in moved} == {"desk"}


def test_machines_on_their_way_are_counted() -> None:
    fleet = Fleet(desk=2, spare=6)
    fleet.measure(desk=3 * CPU)
    first, second = fleet.plan()
    for intent in (first, second):
        fleet.answer(intent.machine)
    fleet.measure(desk=3 * CPU)
    assert not fleet.plan()


def test_surplus_of_one_pool_serves_another_once_it_is_empty() -> None:
    """Another pool's machine is ordered away only once its owner reports it as empty."""
    fleet = Fleet(desk=2, portal=6)
    fleet.measure(desk=3 * CPU, portal=0)
    assert not fleet.plan()
    leaving = [intent.machine for intent in fleet.state.intents.values()]
    assert len(leaving) == 2 and all(name.startswith("portal") for name in leaving)
    fleet.empty = {leaving[0]}
    fleet.measure(desk=3 * CPU, portal=0)
    (moved,) = fleet.plan()
    assert (moved.machine, moved.pool) == (leaving[0], "desk")


def test_machine_with_a_long_running_task_is_not_moved() -> None:
    fleet = Fleet(desk=2, portal=3)
    fleet.long_running = {f"portal{n}": 1 for n in range(3)}
    fleet.measure(desk=5 * CPU, portal=0)
    fleet.plan()
    assert not fleet.state.intents


def test_surplus_moves_to_standby_after_a_delay_and_not_below_the_minimum() -> None:
    fleet = Fleet(desk=6, spare=1)
    for _ in range((PEAK_RETENTION_MS + STANDBY_DELAY_MS) // 100 + 2):
        fleet.measure(desk=0)
        fleet.plan()
    surplus = [intent for intent in fleet.state.intents.values() if intent.pool == "spare"]
    assert len(surplus) == 3


def test_pool_with_unknown_load_neither_gains_nor_loses_machines() -> None:
    """A pool's owner is unreachable, so its last load may be outdated."""
    fleet = Fleet(desk=2, portal=6, spare=2)
    fleet.measure(desk=5 * CPU, portal=0)
    assert not fleet.plan(after_ms=5000)
    assert not fleet.state.intents


def test_wave_respects_its_limit_and_begins_with_standby_machines() -> None:
    wave = Wave(number=1, machines=["spare0", "desk0", "desk1"], max_down=1, duration_s=60)
    fleet = Fleet(waves=[wave], desk=6, spare=2)
    fleet.measure(desk=0)
    (first,) = fleet.plan()
    assert first.machine == "spare0"
    fleet.answer("spare0")
    fleet.measure(desk=0)
    assert not fleet.plan()


def test_wave_begins_with_machines_that_take_longest_to_empty() -> None:
    """Guards against a late wave, and against only such machines taking up its concurrency."""
    names = [f"desk{number}" for number in range(12)]
    fleet = Fleet(waves=[Wave(number=1, machines=names, max_down=4)], desk=24)
    fleet.long_running = {f"desk{number}": 2 for number in range(6, 12)}
    fleet.measure(desk=0)
    fleet.plan()
    begun = {i.machine for i in fleet.state.intents.values() if i.purpose is Purpose.MAINTAIN}
    assert len(begun) == 4
    assert len(begun & fleet.long_running.keys()) == 2


def test_wave_is_complete_only_when_each_machine_was_begun() -> None:
    """Guards against reporting a wave complete while one of its machines wasn't maintained."""
    wave = Wave(number=1, machines=["spare0", "spare1", "gone"], max_down=2, duration_s=60)
    fleet = Fleet(waves=[wave], spare=2)
    for intent in fleet.plan():
        fleet.answer(intent.machine, CallError(failure=Failure.UNKNOWN))
    fleet.plan()
    assert not fleet.state.waves[1].is_complete
    for intent in fleet.plan(after_ms=1500):
        fleet.answer(intent.machine)
    fleet.plan()
    assert fleet.state.waves[1].is_complete
    last = fleet.effects[-1]
    assert isinstance(last, SaveWave) and last.progress.is_complete


def test_wave_isnt_complete_since_one_list_lacks_its_last_machine() -> None:
    """Guards against a wave that is complete for good, with a machine that wasn't maintained."""
    fleet = Fleet(waves=[Wave(number=1, machines=["spare0"], max_down=1, duration_s=60)], spare=2)
    left_out = fleet.pool_of.pop("spare0")
    fleet.list_machines()
    fleet.plan()
    assert not fleet.state.waves[1].is_complete
    fleet.pool_of["spare0"] = left_out
    fleet.list_machines()
    (intent,) = fleet.plan()
    assert intent.machine == "spare0" and intent.purpose is Purpose.MAINTAIN


def test_wave_ends_without_a_machine_that_all_lists_lack() -> None:
    """Guards against a wave that is late for good because of a machine that is gone."""
    fleet = Fleet(waves=[Wave(number=1, machines=["spare0"], max_down=1, duration_s=60)], spare=2)
    del fleet.pool_of["spare0"]
    for _ in range(6):
        fleet.list_machines()
        fleet.plan(after_ms=600)
    assert fleet.state.waves[1].is_complete


def test_machine_in_maintenance_that_one_list_lacks_still_counts_as_down() -> None:
    """Guards against more machines down for a wave than it allows."""
    wave = Wave(number=1, machines=["spare0", "spare1"], max_down=1, duration_s=60)
    fleet = Fleet(waves=[wave], spare=2)
    (intent,) = fleet.plan()
    fleet.answer(intent.machine)
    del fleet.pool_of[intent.machine]
    fleet.list_machines()
    assert not fleet.plan()


def test_maintenance_of_a_busy_pool_is_deferred_while_there_is_time() -> None:
    wave = Wave(number=1, machines=["desk0", "portal0"], max_down=2, duration_s=60)
    fleet = Fleet(waves=[wave], desk=4, portal=4)
    fleet.measure(desk=3 * CPU, portal=0)
    fleet.plan()
    assert [intent.machine for intent in fleet.state.intents.values()] == ["portal0"]


def test_late_wave_defers_no_pool() -> None:
    wave = Wave(number=1, machines=["desk0"], max_down=1, duration_s=10)
    fleet = Fleet(waves=[wave], desk=4)
    fleet.measure(desk=3 * CPU)
    fleet.plan()
    assert list(fleet.state.intents) == ["desk0"]


def test_unanswered_order_reserves_its_machine() -> None:
    """Guards against losing tasks that were placed on a machine whose move is executed late."""
    fleet = Fleet(desk=2, spare=1)
    fleet.measure(desk=5 * CPU)
    (moved,) = fleet.plan()
    fleet.answer(moved.machine, CallError(failure=Failure.UNKNOWN))
    fleet.list_machines()
    assert moved.machine in fleet.state.intents
    fleet.measure(desk=5 * CPU)
    (again,) = fleet.plan(after_ms=1200)
    assert again.machine == moved.machine


def test_machine_whose_orders_stay_unanswered_is_not_on_its_way() -> None:
    """Guards against a share that waits for good for one machine, since each repeat counts."""
    fleet = Fleet(desk=4, spare=6)
    first = ""
    moved: list[str] = []
    for _ in range(100):
        fleet.measure(desk=4 * CPU)
        for intent in fleet.plan():
            first = first or intent.machine
            if intent.machine == first:
                fleet.answer(first, CallError(failure=Failure.UNKNOWN))
                continue
            fleet.answer(intent.machine)
            fleet.pool_of[intent.machine] = intent.pool
            moved.append(intent.machine)
        fleet.list_machines()
    assert first in fleet.state.intents, "it may still come"
    assert len(moved) == 1


def test_owner_that_cannot_order_cancels_unsent_intents() -> None:
    fleet = Fleet(desk=2, portal=6)
    fleet.measure(desk=5 * CPU, portal=0)
    fleet.plan()
    assert fleet.state.intents
    fleet.plan(can_order=False)
    assert not fleet.state.intents


def test_machine_that_another_owner_has_just_ordered_is_blocked() -> None:
    fleet = Fleet(desk=2, spare=1)
    fleet.state.blocked_until_ms["spare0"] = fleet.now_ms + 3000
    fleet.measure(desk=5 * CPU)
    assert not fleet.plan()
    fleet.measure(desk=5 * CPU)
    assert fleet.plan(after_ms=3000)


def test_machines_that_can_be_ordered_now_are_preferred() -> None:
    """Guards against waiting for machines that the earlier owner has just ordered."""
    fleet = Fleet(desk=4, portal=12, spare=6)
    for number in range(6):
        fleet.state.blocked_until_ms[f"spare{number}"] = fleet.now_ms + 3000
    fleet.measure(desk=6 * CPU, portal=0)
    fleet.empty = set(fleet.pool_of)
    fleet.measure(desk=6 * CPU, portal=0)
    ordered = fleet.plan()
    assert len(ordered) == 4
    assert {intent.from_pool for intent in ordered} == {"portal"}


def test_pool_releases_machines_at_once_when_another_has_a_shortfall() -> None:
    """Guards against a pool keeping machines for its own recent peak while another lacks them."""
    fleet = Fleet(desk=2, portal=6)
    fleet.measure(desk=0, portal=5 * CPU)
    fleet.plan()
    assert not fleet.state.intents
    fleet.now_ms += 300
    fleet.measure(desk=4 * CPU, portal=0)
    fleet.plan()
    assert len(fleet.state.intents) == 3
    assert {intent.pool for intent in fleet.state.intents.values()} == {"desk"}


def test_pool_whose_tasks_lack_memory_gets_machines() -> None:
    """Tasks that need all of the memory and little processor mustn't make a pool look idle."""
    fleet = Fleet(desk=4, spare=6)
    fleet.wanted_memory_mb["desk"] = 6 * MEMORY_MB
    fleet.measure(desk=CPU)
    assert len(fleet.plan()) == 4


def test_machines_that_hold_memory_are_not_surplus() -> None:
    """The processor is idle, but long-running tasks still need the machines' memory."""
    fleet = Fleet(desk=8, spare=1)
    fleet.wanted_memory_mb["desk"] = 6 * MEMORY_MB
    for _ in range((STANDBY_DELAY_MS + PEAK_RETENTION_MS) // 100 + 10):
        fleet.measure(desk=0)
        fleet.plan()
    assert not fleet.state.intents


def test_long_running_task_that_fits_on_no_machine_gets_one() -> None:
    """Guards against a task that never starts since memory suffices only in total."""
    fleet = Fleet(desk=4, spare=6)
    fleet.lacking["desk"] = 3
    fleet.measure(desk=CPU)
    assert len(fleet.plan()) == 3
    fleet.measure(desk=CPU)
    assert not fleet.plan(), "more are asked for only when these have come"


def test_long_running_tasks_without_capacity_come_before_other_demand() -> None:
    fleet = Fleet(desk=4, portal=4, spare=1)
    fleet.lacking["desk"] = 1
    fleet.measure(desk=CPU, portal=9 * CPU)
    assert [intent.pool for intent in fleet.plan()] == ["desk"]


def test_wave_is_limited_to_its_schedule_while_a_pool_lacks_machines() -> None:
    """Guards against taking all standby machines down as a pool's demand rises."""
    names = [f"spare{number}" for number in range(12)]
    fleet = Fleet(
        desk=4, spare=12, waves=[Wave(number=1, machines=names, max_down=12, duration_s=27)]
    )
    fleet.measure(desk=20 * CPU)
    ordered = fleet.plan()
    maintained = [intent for intent in ordered if intent.wave]
    assert len(maintained) == 4
    assert len(ordered) - len(maintained) == 8


def test_wave_uses_its_full_limit_while_no_pool_lacks_machines() -> None:
    names = [f"spare{number}" for number in range(12)]
    fleet = Fleet(
        desk=4, spare=12, waves=[Wave(number=1, machines=names, max_down=12, duration_s=27)]
    )
    fleet.measure(desk=CPU)
    assert len([intent for intent in fleet.plan() if intent.wave]) == 12


def test_task_that_needs_a_label_gets_a_machine_with_it() -> None:
    """Guards against a job that waits while the last machine with its label is on standby."""
    fleet = Fleet(desk=4, spare=6)
    fleet.labels_of["spare4"] = ["b", "r2"]
    fleet.list_machines()
    fleet.needs["desk"] = [Need(label="b", cpu=100)]
    fleet.measure(desk=CPU)
    assert [intent.machine for intent in fleet.plan()] == ["spare4"]
    fleet.measure(desk=CPU)
    assert not fleet.plan(), "one is on its way"


def test_need_that_no_machine_can_meet_moves_none() -> None:
    """Jobs that fit on no machine mustn't take machines from other pools."""
    fleet = Fleet(desk=4, spare=6)
    fleet.needs["desk"] = [Need(label="none"), Need(cpu=2 * CPU)]
    fleet.measure(desk=CPU)
    assert not fleet.plan()


def test_machine_in_the_share_without_a_listed_worker_meets_a_need() -> None:
    fleet = Fleet(desk=4, spare=6)
    fleet.labels_of |= {"desk0": ["b", "r1"], "spare0": ["b", "r2"]}
    fleet.unregistered = {"desk0"}
    fleet.list_machines()
    fleet.needs["desk"] = [Need(label="b")]
    fleet.measure(desk=CPU)
    assert not fleet.plan()


def test_machine_whose_worker_never_registers_meets_no_need() -> None:
    """Guards against a task that waits forever for a machine that was lost while listed as up."""
    fleet = Fleet(desk=4, spare=6)
    fleet.labels_of |= {"desk0": ["b", "r1"], "spare0": ["b", "r2"]}
    fleet.unregistered = {"desk0"}
    fleet.list_machines()
    fleet.needs["desk"] = [Need(label="b")]
    fleet.measure(desk=CPU)
    fleet.plan()
    fleet.now_ms += REGISTRATION_MS
    fleet.measure(desk=CPU)
    assert [intent.machine for intent in fleet.plan()] == ["spare0"]


def test_worker_that_the_share_knows_meets_none_of_its_needs() -> None:
    """Guards against a task that waits for a worker that is quarantined or closed by a suspect."""
    fleet = Fleet(desk=4, spare=6)
    fleet.labels_of |= {"desk0": ["b", "r1"], "spare0": ["b", "r2"]}
    fleet.list_machines()
    fleet.needs["desk"] = [Need(label="b")]
    fleet.measure(desk=CPU)
    assert [intent.machine for intent in fleet.plan()] == ["spare0"]
    fleet.measure(desk=CPU)
    assert not fleet.plan(), "one is on its way"


def test_need_that_machines_do_not_end_moves_few_of_them() -> None:
    """Guards against moving all standby machines to and fro for a task that fits on none."""
    fleet = Fleet(desk=4, portal=6, spare=20)
    fleet.labels_of |= {f"spare{number}": ["b", "r1"] for number in range(20)}
    fleet.empty = set(fleet.pool_of)
    fleet.list_machines()
    fleet.needs["desk"] = [Need(label="b")]
    moved = 0
    for _ in range(600):
        fleet.measure(desk=CPU, portal=CPU)
        for intent in fleet.plan():
            fleet.answer(intent.machine)
            fleet.pool_of[intent.machine] = intent.pool
            moved += intent.pool == "desk"
        fleet.list_machines()
    assert 4 <= moved <= 10


def test_machine_with_a_long_running_task_meets_no_need() -> None:
    """Guards against a large task that waits while each machine of its share is partly taken."""
    fleet = Fleet(desk=2, spare=2)
    fleet.long_running = {"desk0": 1, "desk1": 2}
    fleet.needs["desk"] = [Need(cpu=CPU - 1)]
    fleet.measure(desk=CPU // 2)
    assert len(fleet.plan()) == 1
    fleet.measure(desk=CPU // 2)
    assert not fleet.plan()


@pytest.mark.parametrize("is_registered", [True, False])
def test_machine_that_is_unreachable_is_not_on_its_way(is_registered: bool) -> None:
    """Guards against a share that waits forever for a machine that nobody can empty."""
    fleet = Fleet(desk=4, portal=8, spare=0)
    fleet.measure(desk=4 * CPU, portal=0)
    fleet.plan()
    first, *_ = [name for name, to in fleet.state.intents.items() if to.pool == "desk"]
    planned = len(fleet.state.intents)
    if is_registered:
        fleet.unresponsive = {first}
    else:
        fleet.unregistered = {first}
    fleet.measure(desk=4 * CPU, portal=0)
    fleet.plan()
    fleet.now_ms += REGISTRATION_MS
    fleet.measure(desk=4 * CPU, portal=0)
    fleet.plan()
    assert first not in fleet.state.intents
    assert len(fleet.state.intents) == planned, "another one comes instead"


def test_pools_are_logged_once_a_second(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level("INFO")
    fleet = Fleet(desk=3, spare=4)
    fleet.long_running = {"desk0": 1}
    fleet.measure(desk=5 * CPU)
    for _ in range(12):
        fleet.plan()
    logged = [row for row in caplog.records if getattr(row, "event", "") == "pools"]
    assert len(logged) == 2
    (line,) = logged[0].shares  # type: ignore[attr-defined]
    assert (line["machines"], line["lacking"], line["pinned"]) == (3, 3, 1)
    assert line["wanted_cpu"] == 5 * CPU
