"""Starts the processes of a soak, and ends exactly those, by their ids."""

from __future__ import annotations

import os
import shlex
import signal
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import msgspec
import trio

from heatherkeel.measure.processes import Usage, read_usage

START_TIMEOUT_S: Final = 30.0
POLL_S: Final = 0.02
OWN_PROGRAM: Final = (sys.executable, "-m", "heatherkeel")


class SoakError(Exception):
    """The soak can't be run; the message is one line."""


def find_soak_error(err: BaseException) -> SoakError | None:
    """Return the first `SoakError` of a group, or None if there is none."""
    if isinstance(err, SoakError):
        return err
    if not isinstance(err, BaseExceptionGroup):
        return None
    return next((found for item in err.exceptions if (found := find_soak_error(item))), None)


@dataclass(kw_only=True, eq=False)
class Child:
    """One process, and where it logs."""

    name: str
    popen: subprocess.Popen[bytes]
    log: Path
    log_start: int
    """Bytes that earlier processes of this name had logged."""
    is_frozen: bool = False

    @property
    def pid(self) -> int:
        """Return its process id."""
        return self.popen.pid

    def is_alive(self) -> bool:
        """Return whether it has not ended."""
        return self.popen.poll() is None

    def freeze(self) -> None:
        """Stop it without its knowing."""
        self.popen.send_signal(signal.SIGSTOP)
        self.is_frozen = True

    def thaw(self) -> None:
        """Let it go on."""
        self.popen.send_signal(signal.SIGCONT)
        self.is_frozen = False

    def terminate(self) -> None:
        """Ask it to end."""
        self.popen.terminate()

    def kill(self) -> None:
        """End it at once, and wait for it."""
        self.popen.kill()
        self.popen.wait()

    async def async_wait(self) -> None:
        """Wait until it has ended."""
        while self.is_alive():
            await trio.sleep(POLL_S)

    async def async_find_event(self, event: str) -> dict[str, Any]:
        """Wait until it has logged an event, and return the line's fields."""
        with trio.move_on_after(START_TIMEOUT_S):
            while True:
                for line in read_lines(self.log, self.log_start):
                    if line.get("event") == event:
                        return line
                if not self.is_alive():
                    raise SoakError(f"{self.name} ended with status {self.popen.returncode}")
                await trio.sleep(POLL_S)
        raise SoakError(f"{self.name} did not log {event!r} within {START_TIMEOUT_S:.0f} s")


def read_lines(file: Path, start: int = 0) -> list[dict[str, Any]]:
    """Return the complete JSON lines of a file from a byte on; other lines are left out."""
    with file.open("rb") as stream:
        stream.seek(start)
        lines = stream.read().split(b"\n")[:-1]
    return [msgspec.json.decode(line) for line in lines if line.startswith(b"{")]


@dataclass(kw_only=True)
class Supervisor:
    """Holds all processes that a soak has started."""

    folder: Path
    children: list[Child] = field(default_factory=list)

    def spawn(
        self,
        name: str,
        command: list[str],
        *,
        root: Path | None = None,
        env: dict[str, str] | None = None,
    ) -> Child:
        """Start a process that logs to a file of its name; raises `SoakError` if it can't."""
        log = self.folder / f"{name}.log"
        log_start = log.stat().st_size if log.exists() else 0
        with log.open("ab") as stream:
            try:
                # A session of its own: an interrupt from the terminal reaches the soak alone.
                popen = subprocess.Popen(
                    command,
                    stdin=subprocess.DEVNULL,
                    stdout=stream,
                    stderr=stream,
                    cwd=root,
                    env=os.environ | (env or {}),
                    start_new_session=True,
                )
            except OSError as err:
                raise SoakError(f"{shlex.join(command)}: {err.strerror}") from err
        child = Child(name=name, popen=popen, log=log, log_start=log_start)
        self.children.append(child)
        return child

    def measure(self) -> dict[str, Usage]:
        """Return what the processes have used that are there now, by name."""
        return {child.name: read_usage(child.pid) for child in self.children if child.is_alive()}

    def close(self) -> None:
        """End all processes that are left; frozen ones too."""
        for child in self.children:
            if child.is_alive():
                child.popen.kill()
        for child in self.children:
            child.popen.wait()
