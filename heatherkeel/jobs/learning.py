"""Learns the sizes and run times of job families from their measured usage."""

from __future__ import annotations

from heatherkeel.core.state import FleetState

from .const import (
    FAMILY_SAMPLES,
    LEARNED_MARGIN_PERCENT,
    LEARNED_PERCENTILE,
    MAX_FAMILIES,
    MIN_FAMILY_SAMPLES,
    MS_PER_S,
)
from .models import FamilyUsage, Job, Resources, job_team


def family_key(job_id: str, job: Job) -> str:
    """Return the key of a job's family in `JobsState.families`."""
    return f"{job_team(job_id)}:{job.spec.family}"


def update_family_usage(state: FleetState, job_id: str, job: Job, now_ms: int) -> None:
    """Add the measured usage of an attempt that just ended to its family."""
    if job.peak_memory_mib == 0 and job.peak_cpu_millicores == 0:
        return
    families = state.jobs.families
    key = family_key(job_id, job)
    if key not in families and len(families) >= MAX_FAMILIES:
        del families[min(families, key=lambda name: (families[name].updated_ms, name))]
    usage = families.setdefault(key, FamilyUsage(updated_ms=now_ms))
    usage.updated_ms = now_ms
    _append_sample(usage.memory_mib, job.peak_memory_mib)
    _append_sample(usage.cpu_millicores, job.peak_cpu_millicores)
    _append_sample(
        usage.run_time_s, max(0, now_ms - job.started_ms) // MS_PER_S if job.started_ms else 0
    )


def expected_size(state: FleetState, job_id: str, job: Job) -> Resources:
    """Return the expected size of an attempt: learned CPU, and at least the declared memory.

    CPU can be throttled later if the estimate is too low; memory can't be reclaimed from a
    running task.
    """
    declared = job.spec.size
    usage = state.jobs.families.get(family_key(job_id, job))
    if usage is None or len(usage.memory_mib) < MIN_FAMILY_SAMPLES:
        return declared
    return Resources(
        cpu_millicores=_with_margin(usage.cpu_millicores) or declared.cpu_millicores,
        memory_mib=max(declared.memory_mib, _with_margin(usage.memory_mib)),
        accelerators=declared.accelerators,
    )


def expected_run_time_s(state: FleetState, job_id: str, job: Job) -> int:
    """Return the learned run time in seconds, or the declared one if there are too few samples."""
    usage = state.jobs.families.get(family_key(job_id, job))
    if usage is None or len(usage.run_time_s) < MIN_FAMILY_SAMPLES:
        return job.spec.run_time_s
    return _percentile(usage.run_time_s)


def _append_sample(samples: list[int], value: int) -> None:
    samples.append(value)
    del samples[:-FAMILY_SAMPLES]


def _percentile(samples: list[int]) -> int:
    ordered = sorted(samples)
    rank = -(-len(ordered) * LEARNED_PERCENTILE // 100)
    return ordered[rank - 1]


def _with_margin(samples: list[int]) -> int:
    return -(-_percentile(samples) * (100 + LEARNED_MARGIN_PERCENT) // 100)
