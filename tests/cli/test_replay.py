"""`heatherkeel replay`: one JSON object, and an exit status that a script can act on."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Final

import pytest

from heatherkeel.cli.main import main

TRACES: Final = Path(__file__).parents[1] / "traces"
Captured = pytest.CaptureFixture[str]


def test_a_clean_trace(capsys: Captured) -> None:
    assert main(["replay", str(TRACES / "two-operators-race.jsonl")]) == 0
    report = json.loads(capsys.readouterr().out)
    assert report["violations"] == [] and len(report["digest"]) == 64
    assert report["measures"].keys() >= {"buffer_cost", "roll_out_time_s", "moves"}


def test_a_broken_promise_is_told(capsys: Captured, tmp_path: Path) -> None:
    trace = tmp_path / "broken.jsonl"
    expected = '{"event": "expect_entry", "at_ms": 1, "name": "none", "version": 3}\n'
    trace.write_text('{"event": "end", "at_ms": 0}\n' + expected, encoding="utf-8")
    assert main(["replay", str(trace)]) == 1
    [violation] = json.loads(capsys.readouterr().out)["violations"]
    assert violation.keys() == {"promise", "offset", "where", "detail"}


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ('\n{"event": "end", "at_ms": 0}\n{"event"', "line 3: "),
        ('{"event": "nothing", "at_ms": 0}', "line 1: "),
        ("", "the trace has no events"),
    ],
)
def test_a_bad_trace_is_told_by_its_line(
    capsys: Captured, tmp_path: Path, text: str, place: str
) -> None:
    trace = tmp_path / "bad.jsonl"
    trace.write_text(text, encoding="utf-8")
    assert main(["replay", str(trace)]) == 2
    captured = capsys.readouterr()
    assert captured.err.startswith(f"{trace}: {place}")
    assert captured.out == "" and captured.err.count("\n") == 1


def test_a_missing_file_is_told(capsys: Captured) -> None:
    assert main(["replay", "/no/such/trace"]) == 2
    assert capsys.readouterr().err == "/no/such/trace: No such file or directory\n"


def test_the_schema(capsys: Captured) -> None:
    assert main(["replay", "--schema"]) == 0
    assert "$defs" in json.loads(capsys.readouterr().out)


@pytest.mark.parametrize("argv", [["replay"], ["replay", "x", "--schema"], ["replay", "x", "y"]])
def test_either_a_trace_or_the_schema(capsys: Captured, argv: list[str]) -> None:
    assert main(argv) == 2
    assert capsys.readouterr().err.count("\n") == 1
