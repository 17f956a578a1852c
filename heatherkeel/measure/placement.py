"""Measures placement: time per round and decision, fold time, state bytes, and packing.

`script/measure placement` prints one line of JSON for each size, layout and
policy. All times are of one process on one core.
"""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import dataclass
from time import perf_counter
from typing import Final

import msgspec
from absl import flags

from heatherkeel.jobs.models import Job, JobStatus
from heatherkeel.jobs.policies import POLICIES
from heatherkeel.jobs.policy import PlacementRound, RoundRequest
from heatherkeel.jobs.records import TaskEnded, TaskExit

from .fleet_of_jobs import MeasuredFold, make_fleet
from .registry import measurement

ZONES: Final = 24
TEAMS: Final = 560
REPEATS: Final = 3
ROUND_LIMIT: Final = 200


@dataclass(frozen=True, kw_only=True, slots=True)
class Size:
    """One point: workers, queued jobs, and the pools that they are spread over."""

    workers: int
    jobs: int
    pools: int


SIZES: Final = (
    Size(workers=888, jobs=1_250, pools=25),
    Size(workers=1_775, jobs=2_500, pools=50),
    Size(workers=3_550, jobs=5_000, pools=101),
    Size(workers=7_100, jobs=10_000, pools=201),
    Size(workers=888, jobs=1_250, pools=1),
    Size(workers=1_775, jobs=2_500, pools=1),
    Size(workers=3_550, jobs=5_000, pools=1),
    Size(workers=7_100, jobs=10_000, pools=1),
)


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the result; `ms` is wall time, `us` microseconds per decision or record."""

    policy: str
    workers: int
    jobs: int
    pools: int
    round_all_ms: float
    decision_us: float
    round_200_ms: float
    placed: int
    waiting: dict[str, int]
    refused_by_fold: int
    fold_place_us: float
    fold_submit_us: float
    fold_end_us: float
    workers_used: int
    worst_zone_share_percent: float
    """The largest share of any family's tasks in one availability zone, over large families."""
    bytes_per_queued_job: float
    bytes_per_placed_job: float
    bytes_per_finished_job: float


def measure(policy: str, size: Size) -> Measured:
    """Plan and fold one whole round of all jobs, then end them all."""
    measured = make_fleet(
        workers=size.workers, jobs=size.jobs, pools=size.pools, teams=TEAMS, zones=ZONES
    )
    queued_bytes = _jobs_bytes(measured)
    short_ms, _ = _time_round(measured, policy, ROUND_LIMIT)
    all_ms, planned = _time_round(measured, policy, size.jobs)
    for body in planned.records:
        measured.append(body)
    placed_bytes = _jobs_bytes(measured)
    used, worst = _look_at_packing(measured)
    placed = _end_all(measured)
    return Measured(
        policy=policy,
        workers=size.workers,
        jobs=size.jobs,
        pools=size.pools,
        round_all_ms=round(all_ms, 1),
        decision_us=round(1e3 * all_ms / size.jobs, 1),
        round_200_ms=round(short_ms, 1),
        placed=placed,
        waiting=planned.waiting,
        refused_by_fold=measured.refused,
        fold_place_us=round(measured.microseconds("JobPlace"), 1),
        fold_submit_us=round(measured.microseconds("JobSubmit"), 1),
        fold_end_us=round(measured.microseconds("TaskEnded"), 1),
        workers_used=used,
        worst_zone_share_percent=round(100 * worst, 1),
        bytes_per_queued_job=round(queued_bytes / size.jobs, 1),
        bytes_per_placed_job=round(placed_bytes / size.jobs, 1),
        bytes_per_finished_job=round(_finished_bytes(measured), 1),
    )


def _time_round(measured: MeasuredFold, policy: str, limit: int) -> tuple[float, PlacementRound]:
    """Return the shortest time of a few tries in milliseconds, and what was planned."""
    request = RoundRequest(placer="entry1", limit=limit)
    best = float("inf")
    planned = PlacementRound()
    for _ in range(REPEATS):
        started = perf_counter()
        planned = POLICIES[policy](measured.state, request)
        best = min(best, 1e3 * (perf_counter() - started))
    return best, planned


def _jobs_bytes(measured: MeasuredFold) -> int:
    return len(msgspec.json.encode(measured.state.jobs))


def _finished_bytes(measured: MeasuredFold) -> float:
    finished = measured.state.jobs.finished
    return len(msgspec.json.encode(finished)) / max(1, len(finished))


def _placed_jobs(measured: MeasuredFold) -> dict[str, Job]:
    live = measured.state.jobs.live.items()
    return {job_id: job for job_id, job in live if job.status is JobStatus.PLACED}


def _look_at_packing(measured: MeasuredFold) -> tuple[int, float]:
    """Return how many workers are used, and the largest share of a family in one zone."""
    jobs = _placed_jobs(measured)
    by_family: dict[str, Counter[str]] = {}
    for job in jobs.values():
        zone = measured.state.pools.instances[job.instance].zone
        by_family.setdefault(f"{job.spec.pool}:{job.spec.family}", Counter())[zone] += 1
    large = [zones for zones in by_family.values() if zones.total() >= ZONES]
    shares = [max(zones.values()) / zones.total() for zones in large]
    return len({job.instance for job in jobs.values()}), max(shares, default=0.0)


def _end_all(measured: MeasuredFold) -> int:
    jobs = _placed_jobs(measured)
    for job_id, job in jobs.items():
        task = f"{job_id}:{job.submitted_offset}:{job.attempt}"
        measured.append(TaskEnded(task=task, exit=TaskExit.SUCCEEDED))
    return len(jobs)


@measurement(
    "placement", help="Placement time, packing and state bytes.", define=lambda values: None
)
def run_placement(values: flags.FlagValues) -> int:
    """Measure every policy at every size."""
    for size in SIZES:
        for name in POLICIES:
            sys.stdout.write(msgspec.json.encode(measure(name, size)).decode() + "\n")
            sys.stdout.flush()
    return 0
