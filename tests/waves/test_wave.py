"""A wave maintains each instance of a pool once, and halts on correlated failures."""

from __future__ import annotations

from heatherkeel.core.models import Effect, RejectReason
from heatherkeel.pools.models import Health, InstanceGone, InstanceObserved, Source
from heatherkeel.waves.models import (
    DrainCancel,
    Purpose,
    Returned,
    ReturnFailed,
    ReturnFailure,
    WaveFinished,
    WaveHalted,
)
from heatherkeel.waves.wave import active_halt_reason, find_maintenance
from tests.fleets import FoldedLog, maintenance, small_fleet

INSTANCES = ("a0", "a1", "b0", "b1", "c0", "c1")


def _stop(log: FoldedLog, instance_id: str, *, wave: int = 1) -> int:
    log.quiesce(instance_id, wave=wave)
    log.must(log.stop(instance_id))
    return log.instance(instance_id).version


def _maintain(log: FoldedLog, instance_id: str, *, wave: int = 1) -> tuple[Effect, ...]:
    version = _stop(log, instance_id, wave=wave)
    boot_id = f"{instance_id}.{wave + 1}"
    return log.must(
        Returned(instance=instance_id, expected_version=version, boot_id=boot_id)
    ).effects


def _fail_return(log: FoldedLog, instance_id: str) -> tuple[Effect, ...]:
    version = _stop(log, instance_id)
    cause = ReturnFailure.START_FAILED
    return log.must(
        ReturnFailed(instance=instance_id, expected_version=version, cause=cause)
    ).effects


def test_a_wave_finishes_when_each_instance_is_maintained() -> None:
    log = small_fleet()
    for instance_id in INSTANCES[:-1]:
        _maintain(log, instance_id)
    log.wait(500)
    [_, finished] = _maintain(log, INSTANCES[-1])
    assert isinstance(finished, WaveFinished)
    assert finished.finished_ms - finished.started_ms == 500
    assert log.refused(log.drain("a0", wave=1)).version == 2
    _maintain(log, "a0", wave=2)
    assert log.state.waves.waves["desk"].number == 2


def test_an_instance_is_maintained_once_in_a_wave() -> None:
    # A delayed coordinator drains a0 again, which would reduce capacity without need.
    log = small_fleet()
    _maintain(log, "a0")
    assert log.refused(log.drain("a0")).reason is RejectReason.WRONG_STATE


def test_a_wave_halts_when_instances_do_not_come_back() -> None:
    # A bad image breaks each restarted instance. Every single stop is within the budget, so
    # without the halt the wave would reduce the pool to its minimum.
    log = small_fleet(min_serving=0)
    _fail_return(log, "a0")
    [_, halted] = _fail_return(log, "b0")
    assert isinstance(halted, WaveHalted)
    assert halted.reason == "2 instances of desk did not come back in this wave"
    refusal = log.refused(log.drain("c0"))
    assert (refusal.reason, refusal.detail) == (RejectReason.WAVE_HALTED, halted.reason)


def test_a_halted_wave_does_not_stop_drained_instances() -> None:
    log = small_fleet(min_serving=0)
    log.put("care", maintenance(max_concurrent=3))
    log.quiesce("c0")
    _fail_return(log, "a0")
    _fail_return(log, "b0")
    assert log.refused(log.stop("c0")).reason is RejectReason.WAVE_HALTED


def test_an_edit_finishes_a_wave_that_its_last_failure_halted() -> None:
    # The last two instances don't come back, and the wave halts. It must not be finished before an
    # operator edits the entry; the edit has to finish it, since no later record would.
    log = small_fleet(min_serving=0)
    for instance_id in ("b1", "c0", "c1", "a1"):
        _maintain(log, instance_id)
    _fail_return(log, "a0")
    [_, halted] = _fail_return(log, "b0")
    assert isinstance(halted, WaveHalted)
    assert not log.state.waves.waves["desk"].finished_ms
    log.now_ms += 1
    log.put("care", maintenance(max_failed_returns=3))
    assert isinstance(log.effects[-1], WaveFinished)
    assert log.state.waves.waves["desk"].finished_ms == log.now_ms


def _repair_under_way(log: FoldedLog) -> None:
    """Bring the log to a state where only the repair of a0 is left in the wave."""
    log.put("care", maintenance(max_failed_returns=3))
    _fail_return(log, "a0")
    log.must(log.drain("a0", purpose=Purpose.REPAIR))
    for instance_id in ("a1", "b1", "c0", "c1"):
        _maintain(log, instance_id)
    _fail_return(log, "b0")
    assert not log.state.waves.waves["desk"].finished_ms


def test_a_repair_that_returns_last_finishes_the_wave() -> None:
    # The return of a repaired instance is the wave's last record. If it didn't finish the wave,
    # the wave would never finish.
    log = small_fleet(min_serving=0)
    _repair_under_way(log)
    for entry_id in sorted(set(log.drain_of("a0").waiting.values())):
        log.must(log.ack(entry_id, "a0"))
    log.must(log.stop("a0"))
    version = log.instance("a0").version
    body = Returned(instance="a0", expected_version=version, boot_id="a0.9")
    assert isinstance(log.must(body).effects[-1], WaveFinished)


def test_a_repair_that_is_cancelled_last_finishes_the_wave() -> None:
    log = small_fleet(min_serving=0)
    _repair_under_way(log)
    body = DrainCancel(
        instance="a0",
        expected_version=log.instance("a0").version,
        coordinator="entry-a",
        reason="x",
    )
    assert isinstance(log.must(body).effects[-1], WaveFinished)


def test_an_edit_of_the_maintenance_entry_resumes_a_halted_wave() -> None:
    log = small_fleet(min_serving=0)
    _fail_return(log, "a0")
    _fail_return(log, "b0")
    log.put("care", maintenance(max_concurrent=1))
    _maintain(log, "c0")
    assert log.state.waves.waves["desk"].halted_reason == ""
    _fail_return(log, "c1")
    assert log.state.waves.waves["desk"].failed == 1


def test_a_halt_is_not_shown_after_an_edit_resumed_the_wave() -> None:
    # A halt that is still shown between the edit and the next drain would suggest that the edit had
    # no effect.
    log = small_fleet(min_serving=0)
    _fail_return(log, "a0")
    _fail_return(log, "b0")
    wave = log.state.waves.waves["desk"]
    assert active_halt_reason(wave, find_maintenance(log.state, "desk")) == wave.halted_reason != ""
    log.put("care", maintenance(max_concurrent=1))
    assert active_halt_reason(wave, find_maintenance(log.state, "desk")) == ""


def test_a_drain_names_the_wave_of_its_pool() -> None:
    log = small_fleet()
    refusal = log.refused(log.drain("a0", wave=2))
    assert (refusal.reason, refusal.version) == (RejectReason.STALE_VERSION, 1)


def test_a_wave_finishes_when_its_last_instance_fails() -> None:
    # c1 fails before its maintenance, and no instance is left to maintain. A wave that never
    # finished would delay the next one.
    log = small_fleet()
    for instance_id in INSTANCES[:-1]:
        _maintain(log, instance_id)
    seen = InstanceObserved(
        instance="c1", health=Health.FAILED, observer="entry-a", source=Source.PLATFORM
    )
    assert isinstance(log.must(seen).effects[-1], WaveFinished)


def test_a_wave_finishes_when_its_last_instance_is_terminated() -> None:
    log = small_fleet()
    for instance_id in INSTANCES[:-1]:
        _maintain(log, instance_id)
    gone = InstanceGone(instance="c1", boot_id="c1.1")
    assert isinstance(log.must(gone).effects[-1], WaveFinished)


def test_a_wave_finishes_when_the_repair_of_its_last_instance_fails() -> None:
    log = small_fleet(min_serving=0)
    for instance_id in INSTANCES[:-2]:
        _maintain(log, instance_id)
    _fail_return(log, "c1")
    log.must(log.drain("c1", purpose=Purpose.REPAIR))
    log.must(log.ack("entry-a", "c1"))
    log.must(log.ack("entry-b", "c1"))
    log.must(log.ack("entry-c", "c1"))
    log.must(log.stop("c1"))
    _maintain(log, "c0")
    version = log.instance("c1").version
    cause = ReturnFailure.START_FAILED
    lost = log.must(ReturnFailed(instance="c1", expected_version=version, cause=cause))
    assert isinstance(lost.effects[-1], WaveFinished)
