"""Expects when a job would be served, from its pool's backlog.

The result is a lower bound: whatever isn't sure to go before the job is left out.
"""

from __future__ import annotations

from math import sqrt

from .const import MACHINES_COME_MS, OPTIMISM, UNTIL_BUCKET_MS
from .models import (
    Applicant,
    Expectation,
    PoolBacklog,
    RefusalReason,
    Waiting,
    path_class,
    size_class,
)

Ahead = list[tuple[float, float]]
"""Work that goes before a job: until when it does, in milliseconds from now on, and how much it
is in core-milliseconds."""


def expect(backlog: PoolBacklog, applicant: Applicant, *, kept: float = 0.0) -> Expectation:
    """Return when a job would begin and end; `kept` is work for which room is kept.

    Of the pool's own backlog and that of the workspace's limit the later one counts.
    """
    in_pool = _expect_in_pool(backlog, applicant, kept=kept)
    at_limit = _expect_at_limit(backlog, applicant)
    return max(in_pool, at_limit, key=lambda expected: expected.ends_ms)


def _expect_in_pool(backlog: PoolBacklog, applicant: Applicant, *, kept: float) -> Expectation:
    reason = RefusalReason.BEYOND_WEIGHT if applicant.is_excess else RefusalReason.NO_ROOM
    if backlog.cores <= 0 or backlog.lasted_ms < MACHINES_COME_MS:
        return _make_expectation(applicant, begins_ms=0.0, ahead=0.0, reason=reason)
    certain = OPTIMISM * (backlog.running + kept)
    if applicant.is_excess:
        ahead = [*_list_ahead(backlog.live, None), *_list_ahead(backlog.excess, _rank(applicant))]
        begins_ms = find_begin(ahead, certain, backlog)
        return _make_expectation(
            applicant, begins_ms=begins_ms, ahead=certain + _sum(ahead), reason=reason
        )
    size = size_class(applicant.work)
    ahead = _list_ahead(backlog.in_time, size)
    begins_ms = find_begin(ahead, certain, backlog)
    if begins_ms > applicant.late_ms:
        # From then on, it waits with the late jobs.
        ahead = _list_ahead(backlog.live, _rank(applicant))
        begins_ms = max(applicant.late_ms, find_begin(ahead, certain, backlog))
    return _make_expectation(
        applicant, begins_ms=begins_ms, ahead=certain + _sum(ahead), reason=reason
    )


def _expect_at_limit(backlog: PoolBacklog, applicant: Applicant) -> Expectation:
    """Expect by the whole limit, as if no other partition used any of it."""
    ahead = backlog.limited.get(applicant.workspace, 0.0) if applicant.limit_cores else 0.0
    begins_ms = OPTIMISM * ahead / applicant.limit_cores if ahead else 0.0
    return _make_expectation(
        applicant, begins_ms=begins_ms, ahead=ahead, reason=RefusalReason.AT_LIMIT
    )


def _make_expectation(
    applicant: Applicant, *, begins_ms: float, ahead: float, reason: RefusalReason
) -> Expectation:
    return Expectation(
        begins_ms=begins_ms,
        ends_ms=begins_ms + OPTIMISM * applicant.path_ms,
        worthless_ms=applicant.worthless_ms,
        ahead=ahead,
        reason=reason,
    )


def _rank(applicant: Applicant) -> int:
    return path_class(applicant.path_ms)


def _list_ahead(waiting: Waiting, rank: int | None) -> Ahead:
    """Return the work of lower ranks than a job's, and half of that of its own; None for all."""
    return [
        (until * UNTIL_BUCKET_MS, OPTIMISM * (work / 2 if other == rank else work))
        for (other, until), work in waiting.items()
        if rank is None or other <= rank
    ]


def _sum(ahead: Ahead) -> float:
    return sum(work for _, work in ahead)


def find_begin(ahead: Ahead, certain: float, backlog: PoolBacklog) -> float:
    """Return the first time at which all work ahead may have been served or have expired.

    The pool may have served what expires last, so nothing that has expired by then counts.
    `certain` is work that doesn't expire.
    """
    since_ms = 0.0
    left = certain + _sum(ahead)
    for until_ms, work in sorted(ahead):
        begins_ms = max(since_ms, time_to_serve(left, backlog.cores, backlog.growth))
        if begins_ms <= until_ms:
            return begins_ms
        since_ms = max(since_ms, until_ms)
        left -= work
    return max(since_ms, time_to_serve(left, backlog.cores, backlog.growth))


def time_to_serve(work: float, cores: float, growth: float) -> float:
    """Return in how many milliseconds a pool, which gains cores each second, serves work."""
    gained = growth / 1000
    if gained <= 0:
        return max(0.0, work) / cores
    return (sqrt(cores * cores + 2 * gained * max(0.0, work)) - cores) / gained
