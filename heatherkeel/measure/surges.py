"""Measures what callers get in a surge: whose queue it is, and of the other queues.

`script/measure surges` prints one line of JSON for each case and seed. Machines of all pools
together are the room; a surge asks for a multiple of it, and other queues for a twentieth.
"""

from __future__ import annotations

import sys
from dataclasses import dataclass
from typing import Final

import msgspec
from absl import flags

from heatherkeel.dispatch.models import Job, JobState

from .registry import measurement
from .simulated_fleet import SimulatedFleet

POOLS: Final = 4
MACHINES: Final = 30
CALM_LOAD: Final = 0.05
SURGE_FROM_MS: Final = 4000
SURGE_MS: Final = 5000
AFTER_MS: Final = 12_000
"""How long other queues go on after a surge, in milliseconds."""
SETTLE_MS: Final = 30_000
WORTHLESS: Final = 3.0
"""A job that takes this many times its objective is worth nothing."""
WINDOW_MS: Final = 1000
BACK_SHARE: Final = 0.9
"""Service is back when so many jobs of a second are in time again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Case:
    """Which pools surge, and by how many times the room in all."""

    surging: int
    load: float


CASES: Final = tuple(
    Case(surging=surging, load=load) for surging in (1, POOLS) for load in (0.5, 1.0, 2.0, 3.0, 5.0)
)


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """What came of one case with one seed; shares are of jobs."""

    surging: int
    load: float
    seed: int
    jobs: int
    in_time: float
    """Of the surge's jobs."""
    in_time_of_room: float
    """The same against what the room could serve at best."""
    served: float
    others_in_time: float | None
    """Of the other queues' jobs; None if all queues surge."""
    back_after_ms: int | None
    """From the surge's end until jobs of its queues are in time again; None if never."""


def measure(case: Case, seed: int) -> Measured:
    """Run one case with one seed."""
    fleet = SimulatedFleet(pools=POOLS, machines=MACHINES, seed=seed)
    surge_until_ms = SURGE_FROM_MS + SURGE_MS
    for number, pool in enumerate(fleet.pools):
        end_ms = surge_until_ms + AFTER_MS
        fleet.draw_jobs(pool, load=CALM_LOAD, from_ms=0, until_ms=end_ms)
        if number < case.surging:
            load = case.load / case.surging
            fleet.draw_jobs(pool, load=load, from_ms=SURGE_FROM_MS, until_ms=surge_until_ms)
    began_ms = fleet.now_ms
    fleet.run(surge_until_ms + AFTER_MS + SETTLE_MS)
    from_ms, until_ms = began_ms + SURGE_FROM_MS, began_ms + surge_until_ms
    surging = [job for pool in fleet.pools[: case.surging] for job in fleet.jobs[pool]]
    during = [job for job in surging if from_ms <= job.accepted_ms < until_ms]
    others = [job for pool in fleet.pools[case.surging :] for job in fleet.jobs[pool]]
    in_time = _share(during, 1.0)
    return Measured(
        surging=case.surging,
        load=case.load,
        seed=seed,
        jobs=len(during),
        in_time=round(in_time, 3),
        in_time_of_room=round(in_time * max(1.0, case.load), 3),
        served=round(_share(during, WORTHLESS), 3),
        others_in_time=round(_share(others, 1.0), 3) if others else None,
        back_after_ms=_find_back(surging, until_ms),
    )


def _share(jobs: list[Job], most: float) -> float:
    """Return the share of jobs that took at most so many times their objective."""
    done = [job for job in jobs if _count_objectives(job) <= most]
    return len(done) / len(jobs) if jobs else 1.0


def _count_objectives(job: Job) -> float:
    if job.state is not JobState.COMPLETE or job.ended_ms is None:
        return float("inf")
    return (job.ended_ms - job.accepted_ms) / (job.due_ms - job.accepted_ms)


def _find_back(jobs: list[Job], end_ms: int) -> int | None:
    """Return how long after a surge's end the first second began whose jobs are in time."""
    for after_ms in range(0, AFTER_MS, WINDOW_MS):
        begins_ms = end_ms + after_ms
        came = [job for job in jobs if begins_ms <= job.accepted_ms < begins_ms + WINDOW_MS]
        if came and _share(came, 1.0) >= BACK_SHARE:
            return after_ms
    return None


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("seeds", 2, "Seeds of each case.", flag_values=values)


@measurement("surges", help="What surges of one queue, or of all, leave to whom.", define=_define)
def run_surges(values: flags.FlagValues) -> int:
    """Measure every case."""
    for case in CASES:
        for seed in range(values.seeds):
            sys.stdout.write(msgspec.json.encode(measure(case, seed)).decode() + "\n")
            sys.stdout.flush()
    return 0
