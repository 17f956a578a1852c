"""Processes are started, frozen and ended by their ids."""

from __future__ import annotations

import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
import trio

from heatherkeel.soak.supervisor import SoakError, Supervisor, read_lines

SAYS_HELLO = [
    sys.executable,
    "-c",
    'import time; print(\'{"event": "hello"}\', flush=True); time.sleep(600)',
]


@pytest.fixture
def supervisor(tmp_path: Path) -> Iterator[Supervisor]:
    supervisor = Supervisor(folder=tmp_path)
    yield supervisor
    supervisor.close()


def is_there(pid: int) -> bool:
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_close_ends_what_was_started_also_if_frozen_and_nothing_else(
    supervisor: Supervisor,
) -> None:
    other = subprocess.Popen([sys.executable, "-c", "import time; time.sleep(600)"])
    children = [supervisor.spawn(f"p{number}", SAYS_HELLO) for number in range(3)]
    for child in children:
        assert trio.run(child.async_find_event, "hello")["event"] == "hello"
    children[0].freeze()
    children[1].kill()
    supervisor.close()
    assert not any(is_there(child.pid) for child in children)
    assert other.poll() is None
    other.kill()
    other.wait()


def test_a_process_that_ends_before_it_is_ready_is_reported(supervisor: Supervisor) -> None:
    child = supervisor.spawn("p", [sys.executable, "-c", "raise SystemExit(7)"])
    with pytest.raises(SoakError, match="p ended with status 7"):
        trio.run(child.async_find_event, "hello")


def test_a_missing_program_is_reported(supervisor: Supervisor) -> None:
    with pytest.raises(SoakError, match="/nowhere/python: No such file"):
        supervisor.spawn("p", ["/nowhere/python"])


def test_a_torn_last_line_is_left(tmp_path: Path) -> None:
    file = tmp_path / "log"
    file.write_text('{"event": "a"}\nnot JSON\n{"event": "b"', encoding="utf-8")
    assert read_lines(file) == [{"event": "a"}]
