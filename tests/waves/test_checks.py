"""Each checker reports a step that breaks its guarantee."""

from __future__ import annotations

import pytest

from heatherkeel.core.models import Effect
from heatherkeel.core.registry import find_step_violations, find_violations
from heatherkeel.core.state import FleetState, canonical_bytes, from_canonical_bytes
from heatherkeel.pools.models import InstanceStatus
from heatherkeel.waves import wave
from heatherkeel.waves.models import ReturnFailed, ReturnFailure
from tests.fleets import FoldedLog, maintenance, small_fleet


def _copy(state: FleetState) -> FleetState:
    return from_canonical_bytes(canonical_bytes(state))


def _broken_promises(before: FleetState, after: FleetState) -> set[str]:
    effects: list[Effect] = []
    return {item.promise for item in find_step_violations(before, effects, after)}


def test_a_drain_in_a_halted_wave_is_reported(monkeypatch: pytest.MonkeyPatch) -> None:
    # The drain resets the reason of the halt, so the checker has to read the state before it.
    log = small_fleet(min_serving=0)
    for instance_id in ("a0", "b0"):
        log.quiesce(instance_id)
        log.must(log.stop(instance_id))
        version = log.instance(instance_id).version
        cause = ReturnFailure.START_FAILED
        log.must(ReturnFailed(instance=instance_id, expected_version=version, cause=cause))
    before = _copy(log.state)
    monkeypatch.setattr(wave, "is_halted", lambda *_: False)
    with pytest.raises(AssertionError):
        log.say(log.drain("c0"))
    assert "halted_wave_rests" in _broken_promises(before, log.state)


def _drained() -> tuple[FoldedLog, FleetState]:
    log = small_fleet(min_serving=4)
    before = _copy(log.state)
    log.must(log.drain("a0"))
    return log, before


def test_a_drain_beyond_the_budget_is_reported() -> None:
    log, before = _drained()
    log.state.pools.instances["b0"].status = InstanceStatus.FAILED
    assert "budget_holds" in _broken_promises(before, log.state)


def test_a_drain_in_counter_hours_is_reported() -> None:
    log, before = _drained()
    stored = log.state.catalogue.entries["care"]
    stored.entry = maintenance(closed_from_minute=0, closed_to_minute=1440)
    assert "outside_counter_hours" in _broken_promises(before, log.state)


def test_a_dropped_wait_and_a_stop_without_quiescing_are_reported() -> None:
    log, _ = _drained()
    before = _copy(log.state)
    log.drain_of("a0").waiting.pop("entry-b.1")
    assert "stopped_after_acknowledgement" in _broken_promises(before, log.state)
    after = _copy(before)
    after.pools.instances["a0"].status = InstanceStatus.STOPPED
    assert "stopped_after_acknowledgement" in _broken_promises(before, after)
    assert "drain_matches_status" in {item.promise for item in find_violations(after)}


def test_a_pool_change_without_a_move_is_reported() -> None:
    log, before = _drained()
    log.state.pools.instances["b0"].pool = "spare"
    assert {"one_pool", "versions_rise"} <= _broken_promises(before, log.state)


def test_a_decreasing_version_is_reported() -> None:
    log, before = _drained()
    log.state.catalogue.versions["stock"] = 0
    assert "versions_rise" in _broken_promises(before, log.state)
