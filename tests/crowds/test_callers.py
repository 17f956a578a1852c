"""Crowds at the address for callers, at a path with a route and at one without."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial

import pytest

from tests.processes.harness import Fleet

from .clients import Crowd, Script
from .requests import (
    NO_ROUTE,
    ROUTE,
    body_short_of_its_end,
    chunks_short_of_their_end,
    empty_steps,
    endless_chunks,
    far_too_large,
    h2c_upgrade,
    http2_preface,
    job_path,
    many_fields,
    many_tasks,
    nothing,
    sent_ahead,
    slow_head,
    small_pieces,
    upgrade_with_frames,
    whole_jobs,
    wide_job,
)
from .site import Site, Watch, start_site, wait_until

CROWD = 400
SLOW_CROWD = 900
SETTLE_S = 15.0
"""Longest time that a crowd gets to send its requests, in seconds."""
ENDLESS_S = 5.0
"""Time before the ordinary job where a crowd never ends to send, in seconds."""
PREFIXES = pytest.mark.parametrize("prefix", [ROUTE, NO_ROUTE])


def stand(
    site: Site, script: Script, count: int = CROWD, settle_s: float = SETTLE_S, **manners: float
) -> Crowd:
    """Run one ordinary job beside a crowd, and check the process; return the crowd."""
    crowd = Crowd(address=site.doors.callers, count=count, script=script)
    for name, value in manners.items():
        setattr(crowd, name, value)
    with Watch(process=site.process) as watch:
        with crowd:
            wait_until(crowd.has_sent_all, at_most_s=settle_s)
            site.run_job()
        site.run_job()
    watch.check()
    return crowd


def at(prefix: str, make: Callable[[str], Iterator[bytes]]) -> Script:
    """Return the script of a client that names one job."""
    return partial(make, job_path(0xC0FFEE, prefix))


@PREFIXES
def test_upgrade_with_frames_ends_its_connection_only(fleet: Fleet, prefix: str) -> None:
    """Guards against one request to upgrade that ends the process."""
    stand(start_site(fleet), at(prefix, upgrade_with_frames), count=3)


@PREFIXES
@pytest.mark.parametrize("make", [body_short_of_its_end, chunks_short_of_their_end])
def test_bodies_short_of_their_end_stay_within_memory(
    fleet: Fleet, make: Callable[[str], Iterator[bytes]], prefix: str
) -> None:
    """Guards against bodies that are held for ever, each of them within the limit."""
    stand(start_site(fleet), at(prefix, make))


@PREFIXES
def test_bodies_in_small_pieces_stay_within_memory(fleet: Fleet, prefix: str) -> None:
    """Guards against objects for pieces that are many times as large as these."""
    stand(start_site(fleet), at(prefix, small_pieces), count=100, settle_s=ENDLESS_S)


@PREFIXES
@pytest.mark.parametrize("make", [far_too_large, endless_chunks])
def test_bodies_far_over_the_limit_are_refused(
    fleet: Fleet, make: Callable[[str], Iterator[bytes]], prefix: str
) -> None:
    """Guards against a refusal that is lost in a reset, as the caller is still sending."""
    crowd = stand(start_site(fleet), at(prefix, make), count=30)
    expected = b"HTTP/1.1 413 " if prefix == ROUTE else b"HTTP/1.1 404 "
    assert [answer[:13] for answer in crowd.answers()] == [expected] * 30


@PREFIXES
def test_very_many_fields_stay_within_memory(fleet: Fleet, prefix: str) -> None:
    """Guards against heads of legal size whose fields take many times their bytes."""
    stand(start_site(fleet), at(prefix, many_fields))


@pytest.mark.parametrize("make", [wide_job, many_tasks, empty_steps])
def test_bodies_of_very_many_values_stay_within_memory(
    fleet: Fleet, make: Callable[[], bytes]
) -> None:
    """Guards against jobs that take many times their bytes once they are decoded."""
    stand(start_site(fleet), whole_jobs(make()))


@PREFIXES
@pytest.mark.parametrize("make", [http2_preface, h2c_upgrade])
def test_only_http_1_1_is_spoken(
    fleet: Fleet, make: Callable[[str], Iterator[bytes]], prefix: str
) -> None:
    """Guards against HTTP/2, whose streams are beyond the limits of HTTP/1.1."""
    crowd = stand(start_site(fleet), at(prefix, make), count=150)
    assert not any(answer.startswith(b"HTTP/1.1 101") for answer in crowd.answers())
    assert not any(answer[3:4] == b"\x04" for answer in crowd.answers())


@PREFIXES
def test_requests_sent_ahead_stay_within_memory(fleet: Fleet, prefix: str) -> None:
    """Guards against answers that pile up for clients which don't read."""
    script = partial(sent_ahead, "GET", job_path(1, prefix))
    stand(start_site(fleet), script, count=200, settle_s=ENDLESS_S, reads=False)


@pytest.mark.parametrize("script", [nothing, partial(slow_head, job_path(1))])
def test_slow_requests_leave_descriptors(fleet: Fleet, script: Script) -> None:
    """Guards against a crowd that takes the descriptors of the store and the workers."""
    stand(start_site(fleet), script, count=SLOW_CROWD, settle_s=ENDLESS_S, pause_s=0.5)


def test_slow_bodies_leave_descriptors(fleet: Fleet) -> None:
    """Guards against bodies that come byte by byte and take all descriptors."""
    stand(
        start_site(fleet),
        at(ROUTE, small_pieces),
        count=SLOW_CROWD,
        settle_s=ENDLESS_S,
        pause_s=0.5,
    )
