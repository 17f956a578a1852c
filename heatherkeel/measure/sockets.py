"""Bytes on the sockets of processes, as the kernel counts them (`ss` of iproute2)."""

from __future__ import annotations

import re
import shutil
import subprocess
from collections import defaultdict
from typing import Final

from .processes import MeasurementError

_PID: Final = re.compile(r"pid=(\d+)")
_COUNTERS: Final = re.compile(r"\bbytes_(?:sent|received):(\d+)")


class SocketBytes:
    """Sums what the TCP sockets of each process have sent and received.

    A socket that closes between two samples takes what it carried since the last one along, so
    `sample` is called every second or so. Each process's own sockets are counted, so traffic
    between two measured processes counts at both ends, as it would on two machines.
    """

    def __init__(self, *, pids: list[int]) -> None:
        if shutil.which("ss") is None:
            raise MeasurementError("`ss` is needed to count bytes; it comes with iproute2")
        self.pids = set(pids)
        self.carried: dict[tuple[int, str], int] = {}

    def sample(self) -> None:
        """Read all counters once."""
        output = subprocess.run(
            ["ss", "--tcp", "--info", "--processes", "--numeric", "--no-header", "--oneline"],
            capture_output=True,
            text=True,
            check=True,
        ).stdout
        for line in output.splitlines():
            self.take(line)

    def take(self, line: str) -> None:
        """Take in one line of `ss`."""
        found = _PID.search(line)
        if found is None or int(found[1]) not in self.pids:
            return
        fields = line.split()
        socket = (int(found[1]), f"{fields[3]}-{fields[4]}")
        carried = sum(int(value) for value in _COUNTERS.findall(line))
        self.carried[socket] = max(self.carried.get(socket, 0), carried)

    def totals(self) -> dict[int, int]:
        """Return the bytes of each process so far, in both directions."""
        totals: dict[int, int] = defaultdict(int)
        for (pid, _), carried in self.carried.items():
            totals[pid] += carried
        return totals
