"""The timeline of one job from the logs of several processes."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heatherkeel.cli.main import main
from heatherkeel.explain.reading import parse_line

JOB = "494ca5df60d0595b"
Captured = pytest.CaptureFixture[str]


def write_logs(folder: Path, **instances: list[tuple[float, dict[str, Any]]]) -> list[str]:
    """Write a log file for each instance; times are seconds after a minute."""
    files = []
    for instance, lines in instances.items():
        file = folder / f"{instance}.log"
        texts = [
            json.dumps({"time": f"2026-08-26T16:32:{at:06.3f}Z", "instance": instance} | fields)
            for at, fields in lines
        ]
        file.write_text("\n".join(texts) + "\n", encoding="utf-8")
        files.append(str(file))
    return files


def accepted(partition: int = 1) -> dict[str, Any]:
    """Return the line of the process that accepted the job."""
    return {"event": "job_accepted", "job": JOB, "partition": partition}


def test_timeline_follows_a_job_through_a_change_of_owner(tmp_path: Path, capsys: Captured) -> None:
    """Guards against a timeline that ends when the owner of the job's partition is replaced."""
    files = write_logs(
        tmp_path,
        front=[(1.0, accepted())],
        old=[(1.1, {"event": "job_taken", "job": JOB})],
        new=[
            (0.5, {"event": "ownership", "gained": [1], "lost": []}),
            (3.9, {"event": "ownership", "gained": [1, 4], "lost": []}),
            (3.95, {"event": "partition_owned", "partition": 1}),
            (3.96, {"event": "partition_owned", "partition": 4}),
            (4.2, {"event": "run_lost", "task": f"{JOB}.0.1.0", "worker": "w1"}),
            (5.0, {"event": "job_ended", "job": JOB, "late_ms": 900}),
        ],
    )
    assert main(["explain", JOB, *files]) == 0
    lines = capsys.readouterr().out.splitlines()
    events = [line.split()[3] if " ms " in line else "gap" for line in lines]
    assert events == [
        "job_accepted",
        "job_taken",
        "gap",
        "ownership",
        "partition_owned",
        "run_lost",
        "job_ended",
    ]
    assert "2.8 s without a line" in lines[2]
    assert lines[-1].split()[0] == "4000" and "late_ms=900" in lines[-1]


def test_store_outage_is_shown_only_for_processes_of_the_job(
    tmp_path: Path, capsys: Captured
) -> None:
    files = write_logs(
        tmp_path,
        front=[
            (1.0, {"event": "refused", "job": JOB, "reason": "store_silent"}),
            (1.5, {"event": "store_lost", "detail": "no answer in time"}),
            (2.0, accepted()),
        ],
        bystander=[(1.6, {"event": "store_lost"})],
    )
    assert main(["explain", JOB, *files]) == 0
    out = capsys.readouterr().out
    assert out.count("store_lost") == 1
    assert "reason=store_silent" in out


def test_unresponsive_worker_is_shown_with_its_lost_run(tmp_path: Path, capsys: Captured) -> None:
    files = write_logs(
        tmp_path,
        owner=[
            (1.0, accepted()),
            (2.0, {"event": "worker_silent", "worker": "w1"}),
            (2.1, {"event": "worker_silent", "worker": "w2"}),
            (3.0, {"event": "run_lost", "task": f"{JOB}.0.0.0", "worker": "w1"}),
        ],
    )
    assert main(["explain", JOB, *files]) == 0
    out = capsys.readouterr().out
    assert "worker=w1" in out and "worker=w2" not in out


def test_worker_restart_is_shown_with_its_lost_run(tmp_path: Path, capsys: Captured) -> None:
    files = write_logs(
        tmp_path,
        owner=[
            (1.0, accepted()),
            (2.0, {"event": "worker_restarted", "worker": "w1", "born": 1796286683078}),
            (2.1, {"event": "run_lost", "task": f"{JOB}.0.0.0", "worker": "w1"}),
        ],
    )
    assert main(["explain", JOB, *files]) == 0
    assert "born=1796286683078" in capsys.readouterr().out


def test_collector_prefix_is_ignored_and_unreadable_lines_are_counted(
    tmp_path: Path, capsys: Captured
) -> None:
    file = tmp_path / "all.log"
    line = json.dumps({"time": "2026-08-26T16:32:01Z", "instance": "a"} | accepted())
    file.write_text(f"  12.5 edge-1 {line}\nTraceback\n{{broken\n\n", encoding="utf-8")
    assert main(["explain", JOB, str(file)]) == 0
    captured = capsys.readouterr()
    assert "job_accepted" in captured.out
    assert captured.err == "2 lines can't be read and are left out\n"


def test_unknown_id_and_missing_file_are_reported(tmp_path: Path, capsys: Captured) -> None:
    files = write_logs(tmp_path, a=[(1.0, accepted())])
    assert main(["explain", "ffff", *files]) == 1
    assert capsys.readouterr().err == "no line of 1 names 'ffff'\n"
    assert main(["explain", JOB, str(tmp_path / "none.log")]) == 2
    assert capsys.readouterr().err.count("\n") == 1


@given(st.text())
def test_any_text_is_a_line_or_none(text: str) -> None:
    parse_line(text)
    parse_line(f'{{"time": {json.dumps(text)}}}')
