"""Days of a whole fleet drawn by a seed: long-running jobs, surges in turns, and lost machines."""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from functools import partial
from math import log
from random import Random

from heatherkeel.platform.callers import StepRequest

from .whole_fleet import SPARE, ZONES, Starvation, StarvationWatch, WholeFleet

POOLS = {"desk": 34, "portal": 34, SPARE: 22}
PARTITIONS = 5
WARM_UP_MS = 3000
TURN_MS = 3000
TRAFFIC_MS = 12_000
SETTLE_MS = 14_000
WATCH_MS = 3500
JOBS_PER_MS = 0.012
QUIET_PART = 0.1
"""Rate of a service's jobs outside of its turn."""


class Trouble(StrEnum):
    """What happens to machines during a day."""

    NONE = "none"
    LISTED_ZONE = "a zone is lost and goes on being listed as up"
    DARK = "a quarter of the workers become unreachable for good"
    RACKS = "racks are lost twice"
    QUARTER_OUTDATED = "the entries of a quarter of the workers stay outdated"


def run_day(seed: int, trouble: Trouble) -> list[Starvation]:
    """Run one day; return the jobs that starve at its end."""
    day = _Day(seed)
    day.fleet.after(WARM_UP_MS + day.random.randint(1000, TRAFFIC_MS), lambda: _BEGIN[trouble](day))
    day.fleet.run(WARM_UP_MS + TRAFFIC_MS + SETTLE_MS)
    return StarvationWatch(day.fleet).run(WATCH_MS)


class _Day:
    """A fleet and the jobs of its day."""

    def __init__(self, seed: int) -> None:
        self.random = Random(seed)
        self.fleet = WholeFleet(pools=POOLS, partitions=PARTITIONS, seed=seed)
        for service in self.fleet.services:
            self.fleet.after(self.random.randint(0, 2000), partial(self._begin_lasting, service))
        for number, service in enumerate(self.fleet.services):
            self._draw_jobs(service, number)

    def _draw_jobs(self, service: str, number: int) -> None:
        at_ms = float(WARM_UP_MS)
        until_ms = WARM_UP_MS + TRAFFIC_MS
        while at_ms < until_ms:
            is_turn = int((at_ms - WARM_UP_MS) / TURN_MS) % len(self.fleet.services) == number
            rate = JOBS_PER_MS * (1 if is_turn else QUIET_PART)
            at_ms += self.random.expovariate(rate)
            if at_ms < until_ms:
                self.fleet.after(at_ms, lambda: self._submit(service))

    def _begin_lasting(self, service: str) -> None:
        step = StepRequest(
            count=24,
            cpu=int(self._draw(2300, 0.2, 3600)),
            memory_mb=int(self._draw(4600, 0.6, 17_000)),
            lasts=True,
            max_per_worker=2,
            max_unavailable=1,
        )
        self.fleet.submit(service, step)

    def _submit(self, service: str) -> None:
        cpu = int(self._draw(4000, 0.45, 13_000))
        memory_mb = int(self._draw(3700, 0.6, 13_000))
        steps = [
            StepRequest(
                count=max(1, round(self._draw(7, 0.6, 32))),
                cpu=cpu,
                memory_mb=memory_mb,
                estimated_ms=int(self._draw(1300, 0.5, 5200)),
                depends_on=(number - 1,) if number else (),
            )
            for number in range(self.random.choice([1, 1, 2]))
        ]
        self.fleet.submit(service, *steps)

    def _draw(self, median: float, spread: float, most: float) -> float:
        return min(most, self.random.lognormvariate(log(median), spread))

    def lose_zone(self) -> None:
        """Lose a zone whose machines go on being listed as up."""
        zone = self.random.choice(ZONES)
        for machine in self.fleet.machines.values():
            if machine.zone == zone and machine.state == "up":
                self.fleet.lose(machine, for_ms=None, is_listed=True)

    def cut_workers(self) -> None:
        """Let a quarter of the workers become unreachable for good."""
        for machine in self.fleet.machines.values():
            if machine.worker is not None and self.random.random() < 0.25:
                self.fleet.cut(machine, for_ms=None)

    def lose_racks(self) -> None:
        """Lose a rack, and another one when it is back."""
        racks = sorted({machine.rack for machine in self.fleet.machines.values()})
        for number, rack in enumerate(self.random.sample(racks, k=2)):
            self.fleet.after(number * 3500, partial(self._lose_rack, rack))

    def _lose_rack(self, rack: str) -> None:
        for machine in self.fleet.machines.values():
            if machine.rack == rack and machine.worker is not None:
                self.fleet.lose(machine, for_ms=3000, is_listed=False)

    def keep_outdated(self) -> None:
        """Let the entries of a quarter of the workers stay outdated."""
        self.fleet.outdated = frozenset(
            machine.worker.id
            for machine in self.fleet.machines.values()
            if machine.worker is not None and self.random.random() < 0.25
        )


def _do_nothing(day: _Day) -> None:
    """Leave all machines as they are."""


_BEGIN: dict[Trouble, Callable[[_Day], None]] = {
    Trouble.NONE: _do_nothing,
    Trouble.LISTED_ZONE: _Day.lose_zone,
    Trouble.DARK: _Day.cut_workers,
    Trouble.RACKS: _Day.lose_racks,
    Trouble.QUARTER_OUTDATED: _Day.keep_outdated,
}
