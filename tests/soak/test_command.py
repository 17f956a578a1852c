"""`heatherkeel soak` as its users run it."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

START_S = 60.0
"""Longest wait until the processes of a soak have started, in seconds."""


def command(*args: str) -> list[str]:
    return [sys.executable, "-m", "heatherkeel", "soak", *args]


def run(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(command(*args), capture_output=True, text=True, check=False)


def find_children(pid: int) -> set[int]:
    found = set()
    for stat in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = stat.read_text(encoding="utf-8").rpartition(")")[2].split()
        except (FileNotFoundError, ProcessLookupError):
            continue
        if int(fields[1]) == pid:
            found.add(int(stat.parent.name))
    return found


def is_there(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


@pytest.mark.parametrize(
    ("args", "fault"),
    [
        (["--only=kill-worker,flood"], "unknown fault 'flood'; one of: configure, cut-store, "),
        (["--processes=100000"], "100000 processes are more than the limits bear"),
        (["--processes=2"], "--processes=2"),
        (["--program=/nowhere/python -m heatherkeel"], "/nowhere/python -m heatherkeel instance"),
        (["--root=/nowhere"], "no such folder: /nowhere"),
    ],
)
def test_bad_input_gets_one_line_and_status_2(args: list[str], fault: str) -> None:
    done = run(*args)
    assert done.returncode == 2
    assert fault in done.stderr
    assert len(done.stderr.splitlines()) == 1


def test_a_short_run_is_sound_reports_and_keeps_everything(tmp_path: Path) -> None:
    done = run(
        *("--seed=5", "--minutes=0.1", "--processes=6", f"--keep={tmp_path}"),
        "--only=kill-worker,freeze-worker",
    )
    assert done.returncode == 0, done.stdout + done.stderr
    assert done.stdout.startswith("seed 5: sound")
    assert "promise: complete only when done: " in done.stdout
    kept = {file.name for file in (tmp_path / "seed-5").iterdir()}
    assert {"plan.json", "jobs.json", "tasks.json", "disturbances.json"} <= kept
    assert {"edge-0.log", "platform.log", "m0.log", "m0.history"} <= kept


@pytest.mark.parametrize("stop", [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_leaves_no_process_behind(stop: signal.Signals, tmp_path: Path) -> None:
    args = ["--processes=6", f"--keep={tmp_path}", "--only=freeze-worker"]
    soak = subprocess.Popen(command(*args), stdout=subprocess.DEVNULL)
    deadline = time.monotonic() + START_S
    while len(find_children(soak.pid)) < 7 and time.monotonic() < deadline:
        time.sleep(0.1)
    children = find_children(soak.pid)
    assert len(children) >= 7
    soak.send_signal(stop)
    assert soak.wait(timeout=START_S) == 1
    assert not any(is_there(pid) for pid in children)
