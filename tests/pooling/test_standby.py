"""Tests of planned moves to the standby pool when another pool's demand rises."""

from __future__ import annotations

from heatherkeel.pooling.const import PEAK_RETENTION_MS, STANDBY_DELAY_MS
from heatherkeel.pooling.models import Purpose

from .fleet import CPU, Fleet

LOOK_MS = 100


def test_unsent_move_to_standby_is_cancelled_on_a_shortfall() -> None:
    """Guards against a machine that is unavailable for two moves instead of one."""
    fleet = Fleet(desk=20, portal=10, spare=0)
    for _ in range((PEAK_RETENTION_MS + STANDBY_DELAY_MS) // LOOK_MS + 2):
        fleet.measure(desk=0, portal=0)
        fleet.plan(after_ms=LOOK_MS)
    assert any(intent.pool == "spare" for intent in fleet.state.intents.values())
    fleet.measure(desk=0, portal=16 * CPU)
    fleet.plan(after_ms=LOOK_MS)
    moves = [i for i in fleet.state.intents.values() if i.purpose is Purpose.MOVE]
    assert moves and all(intent.pool == "portal" for intent in moves)


def test_sent_order_to_standby_is_not_cancelled() -> None:
    """The machine may have moved already, so it is reserved until the list shows where it is."""
    fleet = Fleet(desk=20, portal=10, spare=0)
    for _ in range((PEAK_RETENTION_MS + STANDBY_DELAY_MS) // LOOK_MS + 2):
        fleet.empty = set(fleet.pool_of)
        fleet.measure(desk=0, portal=0)
        fleet.plan(after_ms=LOOK_MS)
    ordered = {name for name, i in fleet.state.intents.items() if i.ordered_ms is not None}
    assert ordered
    fleet.measure(desk=0, portal=16 * CPU)
    fleet.plan(after_ms=LOOK_MS)
    assert all(fleet.state.intents[name].pool == "spare" for name in ordered)
