"""When requests arrive: processes that decorators register."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Final

ArrivalProcess = Callable[[float, random.Random], Iterator[float]]
ARRIVALS: Final[dict[str, ArrivalProcess]] = {}


def arrival_process(name: str) -> Callable[[ArrivalProcess], ArrivalProcess]:
    """Register an arrival process: a rate and a random source give rising times in seconds."""

    def register(process: ArrivalProcess) -> ArrivalProcess:
        ARRIVALS[name] = process
        return process

    return register


@arrival_process("poisson")
def poisson(rate: float, source: random.Random) -> Iterator[float]:
    """Independent callers: exponential gaps with a mean of 1 / rate."""
    at_s = 0.0
    while True:
        at_s += source.expovariate(rate)
        yield at_s


@arrival_process("constant")
def constant(rate: float, source: random.Random) -> Iterator[float]:
    """One request every 1 / rate seconds."""
    count = 0
    while True:
        yield count / rate
        count += 1
