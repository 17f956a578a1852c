"""What a run does, drawn from its seed before it begins: jobs and faults with their times."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, Final

from heatherkeel.standins.job_calls import make_step

JOBS_PER_S: Final = 2.0
CANCELLED_SHARE: Final = 0.08
SHORT_MS: Final = (50, 1500)
LONG_MS: Final = (1500, 6000)
"""Durations of tasks that are long enough to be there when faults come, in milliseconds."""
MAX_LASTING: Final = 2
MAX_SERIES: Final = 4
SERIES_SHARE: Final = 0.3
"""Share of the faults that come in series of the same kind."""
SERIES_PAUSE_S: Final = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedJob:
    """A job that a caller hands in."""

    at_s: float
    job_id: str
    kind: str
    spec: str
    steps: list[Any]
    cancel_after_s: float | None
    draw: int
    """Seed of its caller's choices."""
    tasks: int
    """How many it has."""

    def lasts(self) -> bool:
        """Return whether its tasks run until it is cancelled."""
        return self.kind == "lasting"


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedFault:
    """A fault; the choices stand for a part of what there is then."""

    at_s: float
    kind: str
    lasts_s: float
    choice: float
    """Which process or link, from 0 to 1."""
    variant: float
    """How, from 0 to 1."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultKind:
    """How often a kind of fault comes, and how long it lasts, in seconds."""

    weight: float
    lasts_s: tuple[float, float]


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """One run."""

    seed: int
    duration_s: float
    jobs: list[PlannedJob]
    faults: list[PlannedFault]


def make_plan(
    seed: int, *, duration_s: float, faults_per_s: float, kinds: dict[str, FaultKind]
) -> Plan:
    """Draw a run; the same seed, duration, rate and kinds give the same one."""
    return Plan(
        seed=seed,
        duration_s=duration_s,
        jobs=_draw_jobs(Random(f"jobs {seed}"), duration_s),
        faults=_draw_faults(Random(f"faults {seed}"), duration_s, faults_per_s, kinds),
    )


def _draw_faults(
    random: Random, duration_s: float, faults_per_s: float, kinds: dict[str, FaultKind]
) -> list[PlannedFault]:
    faults: list[PlannedFault] = []
    names = list(kinds)
    weights = [kind.weight for kind in kinds.values()]
    at_s = 0.0
    while names and (at_s := at_s + random.expovariate(faults_per_s)) < duration_s:
        (name,) = random.choices(names, weights)
        series = random.randint(2, MAX_SERIES) if random.random() < SERIES_SHARE else 1
        begin_s = at_s
        for _ in range(series):
            fault = PlannedFault(
                at_s=round(begin_s, 2),
                kind=name,
                lasts_s=round(random.uniform(*kinds[name].lasts_s), 2),
                choice=random.random(),
                variant=random.random(),
            )
            begin_s += random.uniform(0.0, SERIES_PAUSE_S)
            faults.append(fault)
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_jobs(random: Random, duration_s: float) -> list[PlannedJob]:
    jobs: list[PlannedJob] = []
    at_s = 0.0
    while (at_s := at_s + random.expovariate(JOBS_PER_S)) < duration_s:
        (kind,) = random.choices(list(JOB_KINDS), [weight for weight, _ in JOB_KINDS.values()])
        lasting = sum(job.lasts() for job in jobs)
        if kind == "lasting" and lasting >= MAX_LASTING:
            kind = "ordinary"
        spec, steps = JOB_KINDS[kind][1](random)
        is_cancelled = random.random() < CANCELLED_SHARE
        job = PlannedJob(
            at_s=round(at_s, 2),
            job_id=f"{random.getrandbits(64):016x}",
            kind=kind,
            spec=spec,
            steps=steps,
            cancel_after_s=random.uniform(0.0, 6.0) if is_cancelled else None,
            draw=random.getrandbits(32),
            tasks=sum(step["count"] for step in steps),
        )
        jobs.append(job)
    return jobs


def _draw_ordinary(random: Random) -> tuple[str, Sequence[Any]]:
    return f"work {random.randint(*SHORT_MS)}", [make_step(count=random.randint(1, 4))]


def _draw_long(random: Random) -> tuple[str, Sequence[Any]]:
    return f"work {random.randint(*LONG_MS)}", [make_step(count=random.randint(1, 2))]


def _draw_two_steps(random: Random) -> tuple[str, Sequence[Any]]:
    steps = [make_step(count=random.randint(1, 3)), make_step(count=1, depends_on=[0])]
    return f"work {random.randint(*SHORT_MS)}", steps


def _draw_failing(random: Random) -> tuple[str, Sequence[Any]]:
    return f"fails {random.randint(20, 300)}", [make_step(count=1)]


def _draw_crashing(random: Random) -> tuple[str, Sequence[Any]]:
    count = random.randint(1, 3)
    index = random.randrange(count)
    how = random.choice(["crashes", f"crashes-after {random.randint(50, 600)}", "crashes-dark"])
    return f"{how} {index} {random.randint(700, 1500)}", [make_step(count=count)]


def _draw_lasting(random: Random) -> tuple[str, Sequence[Any]]:
    return "lasts", [make_step(count=random.randint(1, 2), lasts=True)]


JOB_KINDS: Final[dict[str, tuple[float, Callable[[Random], tuple[str, Any]]]]] = {
    "ordinary": (12.0, _draw_ordinary),
    "long": (8.0, _draw_long),
    "two steps": (4.0, _draw_two_steps),
    "failing": (1.0, _draw_failing),
    "crashing": (0.3, _draw_crashing),
    "lasting": (0.5, _draw_lasting),
}
"""Weight and specification of each kind of job, by name."""
