"""When requests arrive: processes that decorators register."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from typing import Final

from .const import TURN_PEAK_FRACTION, TURN_PERIOD_S, TURN_QUIET_FRACTION

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


@arrival_process("turns")
def turns(rate: float, source: random.Random) -> Iterator[float]:
    """Demand peaks: most of each period's requests come in a part of it, with the same mean rate.

    A system that sizes its pools by the mean has too few machines in the peaks.
    """
    quiet_rate = TURN_QUIET_FRACTION * rate
    peak_rate = (rate - (1 - TURN_PEAK_FRACTION) * quiet_rate) / TURN_PEAK_FRACTION
    peak_s = TURN_PERIOD_S * TURN_PEAK_FRACTION
    at_s = 0.0
    while True:
        # Candidates at the peak's rate, of which the quiet time keeps a part.
        at_s += source.expovariate(peak_rate)
        if at_s % TURN_PERIOD_S < peak_s or source.random() < quiet_rate / peak_rate:
            yield at_s
