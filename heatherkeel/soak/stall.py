"""Measures stalls of the whole machine: `python -m heatherkeel.soak.stall FILE`.

A process that does nothing else: if it wakes late, others did too.
"""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Final

import msgspec

SLEEP_S: Final = 0.02
MIN_STALL_S: Final = 0.1
"""Shortest delay that is written down, in seconds."""


class Stall(msgspec.Struct, frozen=True, kw_only=True):
    """A time in which the machine did not let this process run, in seconds since 1970."""

    at_s: float
    lasted_s: float


def read_stalls(file: Path) -> list[Stall]:
    """Return the stalls in a file; a torn last line is left."""
    if not file.exists():
        return []
    lines = file.read_bytes().split(b"\n")[:-1]
    return [msgspec.json.decode(line, type=Stall) for line in lines]


def main(file: str) -> None:
    """Write each stall to a file as it ends, until the process is ended."""
    with Path(file).open("ab", buffering=0) as stream:
        while True:
            before_s = time.monotonic()
            time.sleep(SLEEP_S)
            late_s = time.monotonic() - before_s - SLEEP_S
            if late_s >= MIN_STALL_S:
                stall = Stall(at_s=round(time.time(), 3), lasted_s=round(late_s, 3))
                stream.write(msgspec.json.encode(stall) + b"\n")


if __name__ == "__main__":
    main(sys.argv[1])
