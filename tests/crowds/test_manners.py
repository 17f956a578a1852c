"""Crowds at several doors, that come back, that change, and beside other trouble."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from functools import partial

from tests.processes.harness import Fleet, wait_for

from .clients import Crowd
from .requests import (
    READINESS,
    body_short_of_its_end,
    head,
    job_path,
    many_fields,
    nothing,
    slow_head,
    small_pieces,
)
from .site import (
    ANSWER_S,
    MAX_FDS,
    Site,
    Watch,
    make_settings,
    start_instance,
    start_site,
    wait_until,
)

SETTLE_S = 10.0
"""Longest time that a crowd gets to send its requests, in seconds."""
PATH = job_path(0xC0FFEE)
FIRST_JOB = 0xB000


class SoundJobs:
    """Hands in one ordinary job with each connection."""

    def __init__(self) -> None:
        self.count = 0

    def __call__(self) -> list[bytes]:
        """Return the next client's request."""
        body = b'{"spec":"work 1","steps":[{"count":1,"cpu":1,"memMb":1,"estimatedMs":1}]}'
        path = job_path(FIRST_JOB + self.count)
        self.count += 1
        fields = ("Content-Type: application/json", f"Content-Length: {len(body)}")
        return [head("POST", path, *fields) + body]


def test_crowds_at_all_doors_at_once(fleet: Fleet) -> None:
    """Guards against doors that are within their bounds one by one only."""
    site = start_site(fleet)
    bodies = Crowd(
        address=site.doors.callers, count=300, script=partial(body_short_of_its_end, PATH)
    )
    probes = Crowd(address=site.doors.readiness, count=300, script=partial(slow_head, READINESS))
    peers = Crowd(address=site.doors.peers, count=300, script=nothing)
    with Watch(process=site.process) as watch, bodies, probes, peers:
        wait_until(bodies.has_sent_all, at_most_s=SETTLE_S)
        site.run_job()
        wait_for(site.answers_probe, "the probe is answered", timeout_s=ANSWER_S)
    watch.check()


def test_crowd_that_comes_back_when_it_is_refused(fleet: Fleet) -> None:
    """Guards against refusals that cost more than they save."""
    site = start_site(fleet)
    script = partial(body_short_of_its_end, PATH)
    crowd = Crowd(address=site.doors.callers, count=400, script=script, returns=True)
    with Watch(process=site.process) as watch, crowd:
        wait_until(crowd.has_sent_all, at_most_s=SETTLE_S)
        site.run_job()
        site.run_job()
    watch.check()


def turncoat(path: str) -> Iterator[bytes]:
    """Begin as an ordinary client, and then send byte by byte."""
    yield head("GET", path)
    yield from small_pieces(path)


def test_crowd_that_changes_its_manners(fleet: Fleet) -> None:
    """Guards against limits that only count what a connection does at first."""
    site = start_site(fleet)
    crowd = Crowd(address=site.doors.callers, count=400, script=partial(turncoat, PATH))
    with Watch(process=site.process) as watch, crowd:
        wait_until(crowd.has_sent_all, at_most_s=3.0)
        crowd.change_script(partial(many_fields, PATH))
        wait_until(crowd.has_sent_all, at_most_s=3.0)
        crowd.change_script(partial(body_short_of_its_end, PATH))
        wait_until(crowd.has_sent_all, at_most_s=SETTLE_S)
        site.run_job()
    watch.check()


def test_owner_is_killed_while_a_crowd_stands(fleet: Fleet) -> None:
    """Guards against a crowd that keeps a process from taking partitions over."""
    site = start_site(fleet)
    second, doors = start_instance(fleet, site.platform, name="edge-1")
    other = Site(fleet=fleet, platform=site.platform, process=second, doors=doors, job_count=0x5000)
    other.run_job()
    script = partial(body_short_of_its_end, PATH)
    with (
        Watch(process=second) as watch,
        Crowd(address=doors.callers, count=400, script=script) as crowd,
    ):
        wait_until(crowd.has_sent_all, at_most_s=SETTLE_S)
        site.process.kill()
        other.run_job()
    watch.check()


def test_settings_are_read_again_beside_a_crowd(fleet: Fleet) -> None:
    """Guards against a reload that a crowd prevents, or that lifts a bound."""
    site = start_site(fleet)
    script = partial(body_short_of_its_end, PATH)
    with (
        Watch(process=site.process) as watch,
        Crowd(address=site.doors.callers, count=400, script=script) as crowd,
    ):
        wait_until(crowd.has_sent_all, at_most_s=SETTLE_S)
        changed = make_settings(site.platform).replace("leaseMs = 300", "leaseMs = 400")
        (fleet.folder / "edge-0.toml").write_text(changed, encoding="utf-8")
        site.process.popen.send_signal(signal.SIGHUP)
        wait_for(lambda: site.process.has_logged("reload"), "a reload", timeout_s=ANSWER_S)
        site.run_job()
    watch.check()


def test_clients_inside_the_limits_are_served_or_refused_truthfully(fleet: Fleet) -> None:
    """Guards against a full door that resets sound clients without an answer."""
    site = start_site(fleet)
    crowd = Crowd(address=site.doors.callers, count=MAX_FDS, script=SoundJobs())
    with Watch(process=site.process) as watch, crowd:
        wait_for(lambda: all(crowd.answers()), "all are answered", timeout_s=ANSWER_S)
        site.run_job()
    watch.check()
    for answer in crowd.answers():
        assert answer[:13] in (b"HTTP/1.1 200 ", b"HTTP/1.1 429 ", b"HTTP/1.1 503 "), answer
        assert answer.startswith(b"HTTP/1.1 200 ") or b"\r\nretry-after: " in answer
    for number, answer in enumerate(crowd.answers()):
        if not answer.startswith(b"HTTP/1.1 200 "):
            assert site.ask("GET", f"{FIRST_JOB + number:016x}") == 410
