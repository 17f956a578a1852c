"""Traces go through the production fold; bad ones are told by their line."""

from __future__ import annotations

import json
from pathlib import Path

import msgspec
import pytest
from result import Err, Ok

from heatherkeel.core.models import Effect, LogRecord, Violation
from heatherkeel.core.reducer import fold
from heatherkeel.core.state import FleetState
from heatherkeel.replay.errors import TraceError
from heatherkeel.replay.models import ReplayReport
from heatherkeel.replay.replayer import replay_file
from heatherkeel.replay.trace import replay_schema

TRACES = Path(__file__).parent.parent / "traces"
POOL = {
    "at_ms": 5,
    "event": "record",
    "kind": "catalogue.put",
    "body": {
        "name": "desk",
        "expected_version": 0,
        "team": "sheetal",
        "entry": {"kind": "pool", "owner": "sheetal", "size": 1},
    },
}


def _report(path: Path) -> ReplayReport:
    match replay_file(path):
        case Ok(report):
            return report
        case Err(error):
            raise AssertionError(error)


def _error(tmp_path: Path, *lines: str) -> TraceError:
    path = tmp_path / "trace.jsonl"
    path.write_text("\n".join(lines))
    match replay_file(path):
        case Ok(report):
            raise AssertionError(report)
        case Err(error):
            return error


def _violations(tmp_path: Path, *events: dict[str, object]) -> list[Violation]:
    path = tmp_path / "trace.jsonl"
    path.write_text("\n".join(json.dumps(event) for event in events))
    return _report(path).violations


@pytest.mark.parametrize("path", sorted(TRACES.glob("*.jsonl")), ids=lambda path: path.stem)
def test_each_recorded_trace_ends_as_it_states(path: Path) -> None:
    first = _report(path)
    assert first.violations == []
    assert _report(path) == first


def test_the_reports_say_what_each_failure_cost() -> None:
    ordinary = _report(TRACES / "ordinary-wave.jsonl")
    assert ordinary.measures.roll_out_time_s == 183.0
    assert ordinary.refused == {}
    cut = _report(TRACES / "zone-cut-mid-drain.jsonl")
    assert cut.measures.roll_out_time_s > 599.0
    woken = _report(TRACES / "coordinator-wakes-mid-wave.jsonl")
    assert woken.refused == {"stale_version": 2}
    slow = _report(TRACES / "platform-down-then-slow.jsonl")
    assert slow.measures.edit_in_force_s == 4.0
    assert slow.refused == {"stale_version": 2}


def test_a_wrong_statement_is_a_violation(tmp_path: Path) -> None:
    stale = {**POOL, "expect": "stale_version", "author": "operator"}
    [wrong] = _violations(tmp_path, stale)
    assert (wrong.promise, wrong.offset, wrong.where) == ("stated_outcome", 0, "operator")
    unknown = {"at_ms": 6, "event": "expect_instance", "instance": "a0"}
    no_wave = {"at_ms": 6, "event": "expect_wave", "pool": "desk"}
    entry = {"at_ms": 6, "event": "expect_entry", "name": "desk", "version": 2}
    found = _violations(tmp_path, POOL, unknown, no_wave, entry)
    assert [item.where for item in found] == ["a0", "desk", "desk"]


def test_a_reader_that_skips_records_is_a_violation(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    # A process comes back after retention passed its offset, and its fold doesn't mind the gap.
    def heedless(state: FleetState, record: LogRecord) -> list[Effect]:
        state.next_offset = record.offset
        return fold(state, record)

    stopped = {"at_ms": 1, "event": "reader_stopped"}
    garbage = {"at_ms": 6, "event": "garbage", "text": "x"}
    back = {"at_ms": 7, "event": "reader_back", "retained": 1}
    assert _violations(tmp_path, stopped, POOL, garbage, back) == []
    monkeypatch.setattr("heatherkeel.replay.folding.fold", heedless)
    found = _violations(tmp_path, stopped, POOL, garbage, back)
    assert [item.promise for item in found] == ["offset_gap_noticed", "replicas_equal"]


@pytest.mark.parametrize(
    ("bad", "reason"),
    [
        ("{", "truncated"),
        ('{"at_ms":5,"event":"quake"}', "quake"),
        ('{"at_ms":4,"event":"end"}', "at_ms 4 is before 5"),
        ('{"at_ms":5,"event":"fakes","policy":"best"}', "policy 'best' is none of"),
        ('{"at_ms":5,"event":"record","kind":"x","body":{}}', "kind 'x' is unknown"),
        ('{"at_ms":5,"event":"record","kind":"catalogue.put","body":{}}', "missing required"),
        ('{"at_ms":5,"event":"zone_cut","zone":"a","why":"?"}', "why"),
    ],
)
def test_a_bad_line_is_told_by_its_number(tmp_path: Path, bad: str, reason: str) -> None:
    error = _error(tmp_path, json.dumps(POOL), "", bad)
    assert error.line == 3
    assert reason in error.reason


def test_a_trace_that_cannot_be_read_has_no_line(tmp_path: Path) -> None:
    assert _error(tmp_path) == TraceError(line=0, reason="the trace has no events")
    match replay_file(tmp_path / "none"):
        case Err(error):
            assert error.line == 0
        case Ok(_):
            raise AssertionError


def test_the_schema_names_every_event() -> None:
    schema = replay_schema()
    names = [part["$ref"].rsplit("/", 1)[1] for part in schema["anyOf"]]
    assert {"Record", "ZoneCut", "ExpectWave"} <= set(names)
    assert msgspec.json.encode(schema)
