"""Machines for long-running tasks while every pool is short."""

from __future__ import annotations

from heatherkeel.pooling.const import MIN_MACHINES

from .fleet import CPU, Fleet


def _make_fleet(*, portal: int = 12) -> Fleet:
    """Return a fleet without standby machines, in which portal is short."""
    fleet = Fleet(desk=4, portal=portal, spare=0)
    fleet.long_running = {f"desk{number}": 2 for number in range(4)}
    fleet.used = {f"portal{number}": CPU for number in range(1, portal)}
    return fleet


def _measure(fleet: Fleet) -> None:
    fleet.measure(desk=2 * CPU, portal=20 * CPU)


def test_long_running_task_gets_a_machine_of_a_pool_that_is_short() -> None:
    """Guards against a long-running task that stays away for as long as other pools are short."""
    fleet = _make_fleet()
    fleet.lacking["desk"] = 1
    _measure(fleet)
    fleet.plan()
    assert [(name, to.pool) for name, to in fleet.state.intents.items()] == [("portal0", "desk")]
    _measure(fleet)
    fleet.plan()
    assert len(fleet.state.intents) == 1, "it is on its way"


def test_short_pool_keeps_machines_that_do_not_help_or_that_it_cannot_do_without() -> None:
    fleet = _make_fleet()
    _measure(fleet)
    fleet.plan()
    assert not fleet.state.intents, "no long-running task lacks any"
    fleet.lacking["desk"] = 1
    fleet.long_running |= {f"portal{number}": 1 for number in range(11)}
    fleet.reserved = {"portal11"}
    _measure(fleet)
    fleet.plan()
    assert not fleet.state.intents


def test_small_short_pool_keeps_its_machines() -> None:
    fleet = _make_fleet(portal=2 * MIN_MACHINES)
    fleet.lacking["desk"] = 1
    _measure(fleet)
    fleet.plan()
    assert not fleet.state.intents
