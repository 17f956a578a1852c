"""When a job begins at the earliest, given what goes before it."""

from __future__ import annotations

import pytest

from heatherkeel.admission.const import MACHINES_COME_MS, OPTIMISM
from heatherkeel.admission.estimate import expect, time_to_serve
from heatherkeel.admission.models import Applicant, PoolBacklog, RefusalReason, size_class

FAR = 1000
"""A bucket of times beyond all in these tests."""


def make_applicant(*, is_excess: bool = False, limit_cores: float = 0.0) -> Applicant:
    """Return a job of one second that is worth nothing after five."""
    return Applicant(
        job_id="aa",
        workspace="desk",
        work=8000.0,
        path_ms=1000.0,
        late_ms=1500.0,
        worthless_ms=5000.0,
        is_excess=is_excess,
        limit_cores=limit_cores,
    )


def make_backlog(
    *,
    in_time: float = 0.0,
    live: float = 0.0,
    until: int = FAR,
    lasted_ms: int = MACHINES_COME_MS,
    cores: float = 10.0,
    growth: float = 0.0,
    limited: float = 0.0,
) -> PoolBacklog:
    """Return a backlog of jobs that are all smaller and shorter than the applicant."""
    return PoolBacklog(
        measured_ms=0,
        cores=cores,
        growth=growth,
        in_time={(size_class(8000.0) - 1, until): in_time},
        live={(0, until): live},
        limited={"desk": limited},
        lasted_ms=lasted_ms,
    )


def test_empty_pool_serves_at_once() -> None:
    expected = expect(make_backlog(), make_applicant())
    assert expected.begins_ms == 0 and not expected.is_hopeless()


def test_job_behind_more_than_its_worth_allows_is_hopeless() -> None:
    expected = expect(make_backlog(in_time=80_000.0, live=80_000.0), make_applicant())
    assert expected.begins_ms == OPTIMISM * 8000
    assert expected.is_hopeless()
    assert expected.room_in_ms() == expected.ends_ms - 5000


def test_work_that_is_worth_nothing_before_it_is_served_counts_only_until_then() -> None:
    """Guards against refusals because of jobs that no one will serve any more."""
    backlog = make_backlog(in_time=80_000.0, live=80_000.0, until=8)
    assert expect(backlog, make_applicant()).begins_ms == 2000


def test_job_that_can_begin_in_time_does_not_wait_with_late_ones() -> None:
    backlog = make_backlog(in_time=10_000.0, live=500_000.0)
    assert not expect(backlog, make_applicant()).is_hopeless()


@pytest.mark.parametrize(
    "backlog",
    [
        pytest.param(
            make_backlog(in_time=80_000.0, live=80_000.0, lasted_ms=MACHINES_COME_MS - 1),
            id="machines may be on their way",
        ),
        pytest.param(make_backlog(in_time=80_000.0, live=80_000.0, cores=0.0), id="no machines"),
        pytest.param(
            make_backlog(in_time=80_000.0, live=80_000.0, growth=10.0), id="the pool grows"
        ),
    ],
)
def test_doubt_about_the_pool_refuses_nothing(backlog: PoolBacklog) -> None:
    """Guards against refusals while machines are about to arrive."""
    assert not expect(backlog, make_applicant()).is_hopeless()


def test_job_beyond_its_workspaces_weight_is_refused_first() -> None:
    """Jobs of other workspaces go before it, also late ones."""
    backlog = make_backlog(in_time=10_000.0, live=80_000.0)
    assert not expect(backlog, make_applicant()).is_hopeless()
    expected = expect(backlog, make_applicant(is_excess=True))
    assert expected.is_hopeless() and expected.reason is RefusalReason.BEYOND_WEIGHT


def test_backlog_at_a_limit_counts_for_its_workspace_only() -> None:
    backlog = make_backlog(limited=80_000.0)
    expected = expect(backlog, make_applicant(limit_cores=10.0))
    assert expected.is_hopeless() and expected.reason is RefusalReason.AT_LIMIT
    assert not expect(backlog, make_applicant(limit_cores=100.0)).is_hopeless()
    assert not expect(backlog, make_applicant()).is_hopeless()


def test_growing_pool_serves_sooner() -> None:
    assert time_to_serve(1000.0, 1.0, 0.0) == 1000
    took_ms = time_to_serve(1000.0, 1.0, 2.0)
    assert took_ms + 0.002 * took_ms**2 / 2 == pytest.approx(1000.0)
