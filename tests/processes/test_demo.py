"""The demo runs to its end by itself, and ends its own processes when it is interrupted."""

from __future__ import annotations

import signal
import subprocess
import sys
from pathlib import Path

from .harness import wait_for

COMMAND = [sys.executable, "-m", "heatherkeel.demo"]
PROCESSES = 10


def children(pid: int) -> list[int]:
    """Return the processes that any thread of a process started."""
    lists = Path(f"/proc/{pid}/task").glob("*/children")
    return [int(child) for found in lists for child in found.read_text("utf-8").split()]


def test_the_demo_keeps_its_promises() -> None:
    ended = subprocess.run(COMMAND, capture_output=True, text=True, check=False, timeout=120)
    assert ended.returncode == 0, ended.stdout + ended.stderr
    assert "none broken" in ended.stdout and "0 requests cut, 0 doubled" in ended.stdout


def test_an_interrupted_demo_leaves_no_process_behind() -> None:
    # The reader presses Ctrl-C while all processes run. The demo has to end each of them, or
    # the next demo meets their load; it must not touch any other process.
    with subprocess.Popen(COMMAND, stdout=subprocess.PIPE, text=True) as demo:
        started = wait_for(
            lambda: pids if len(pids := children(demo.pid)) == PROCESSES else None, "it runs"
        )
        demo.send_signal(signal.SIGINT)
        assert demo.wait(timeout=60) == 130
    assert [pid for pid in started if Path(f"/proc/{pid}").exists()] == []
