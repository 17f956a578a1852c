"""Tests that a new owner of the fleet resumes a wave."""

from __future__ import annotations

import msgspec
import pytest

from heatherkeel.platform.operator import Wave
from heatherkeel.pooling.models import FleetOwnerState, Purpose, WaveProgress
from heatherkeel.pooling.wave_records import encode_wave, restore_wave

from .fleet import CPU, Fleet

WALL_MS = 1_700_000_000_000
MACHINES = [f"desk{number}" for number in range(4)]
WAVE = Wave(number=1, machines=MACHINES, duration_s=24.0, max_down=2)


def make_progress(*, began_ms: int, begun: set[str] | None = None) -> WaveProgress:
    """Return the progress of a wave that began at a time."""
    return WaveProgress(wave=WAVE, began_ms=began_ms, begun=begun or set())


def take_over(value: bytes, *, after_ms: int, now_ms: int = 500) -> WaveProgress:
    """Restore a wave's record later in a process with another monotonic clock."""
    progress = make_progress(began_ms=now_ms)
    restore_wave(progress, value, now_ms=now_ms, wall_ms=WALL_MS + after_ms)
    return progress


def test_wave_counts_from_its_acceptance_by_the_first_owner() -> None:
    first = make_progress(began_ms=70_000, begun={"desk1", "desk0"})
    value = encode_wave(first, now_ms=73_000, wall_ms=WALL_MS)
    then = take_over(value, after_ms=9_000)
    assert then.began_ms == 500 - 12_000
    assert then.begun == {"desk0", "desk1"}
    again = encode_wave(then, now_ms=500, wall_ms=WALL_MS + 9_000)
    assert msgspec.json.decode(again) == msgspec.json.decode(value)


def test_clock_skew_begins_no_wave_in_the_future() -> None:
    value = encode_wave(make_progress(began_ms=0), now_ms=0, wall_ms=WALL_MS)
    assert take_over(value, after_ms=-2000).began_ms == 500


def test_record_of_an_earlier_version_is_read() -> None:
    then = take_over(b'["desk0"]', after_ms=0)
    assert (then.begun, then.began_ms) == ({"desk0"}, 500)


def test_invalid_record_is_logged(caplog: pytest.LogCaptureFixture) -> None:
    """All machines count as not begun: some may be maintained twice, but none is left out."""
    assert take_over(b"{", after_ms=0).begun == set()
    assert [record.__dict__["event"] for record in caplog.records] == ["wave_record_bad"]


def test_new_owner_defers_no_busy_pool_when_the_wave_is_late() -> None:
    """Guards against a new owner that restarts a wave's time and defers machines past its end."""
    first = make_progress(began_ms=0, begun={"desk0"})
    value = encode_wave(first, now_ms=14_000, wall_ms=WALL_MS)
    fleet = Fleet(waves=[WAVE], desk=4)
    restore(fleet.state, value, now_ms=fleet.now_ms)
    fleet.measure(desk=4 * CPU)
    fleet.plan()
    begun = [i.machine for i in fleet.state.intents.values() if i.purpose is Purpose.MAINTAIN]
    assert begun and "desk0" not in begun


def restore(state: FleetOwnerState, value: bytes, *, now_ms: int) -> None:
    """Restore the record of a wave into a fleet's state."""
    restore_wave(state.waves[WAVE.number], value, now_ms=now_ms, wall_ms=WALL_MS)
