"""Crowds at the addresses of an entry process, which passes requests on to targets."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial

import httpcore
import pytest

from tests.processes.harness import Fleet, Process, call, wait_for

from .clients import Crowd, Script
from .requests import (
    body_short_of_its_end,
    http2_preface,
    many_fields,
    nothing,
    sent_ahead,
    slow_head,
    upgrade_with_frames,
)
from .site import ANSWER_S, MAX_FDS, MB, MEMORY_MB, Watch, limit_descriptors, wait_until

SETTLE_S = 5.0
"""Longest time that a crowd gets to send its requests, in seconds."""
LIMITS = f"""
[limits]
memory_mib = {MEMORY_MB * MB // 1024**2}
max_descriptors = {MAX_FDS}
"""
POOL = {"kind": "pool", "owner": "sheetal", "size": 1}
SERVICE = {
    "kind": "service",
    "owner": "sheetal",
    "pool": "desk",
    "path_prefix": "/stock",
    "budget": {"min_serving": 1},
}


@dataclass(kw_only=True)
class EntrySite:
    """An entry process with one target."""

    entry: Process

    def serves(self) -> bool:
        """Return whether an ordinary request is answered by the target."""
        assert self.entry.popen.poll() is None, self.entry.log.read_text()[-3000:]
        try:
            return call("GET", self.entry.http, "/stock/1").status == 200
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return False

    def answers_probe(self) -> bool:
        """Return whether the readiness probe is answered."""
        try:
            return call("GET", self.entry.admin, "/readyz").status in (200, 503)
        except (httpcore.NetworkError, httpcore.TimeoutException, httpcore.ProtocolError):
            return False


def start_entry_site(fleet: Fleet) -> EntrySite:
    """Start an entry process with low limits and wait until it serves."""
    fleet.start_platform()
    fleet.start_target("t-a", zone="a", pool="desk")
    entry = fleet.start_entry("e-a", zone="a", extra=LIMITS)
    limit_descriptors(entry)
    site = EntrySite(entry=entry)
    assert fleet.put_entry(entry, "desk", POOL).status == 200
    accepted = fleet.put_entry(entry, "stock", SERVICE)
    fleet.wait_in_force([entry], json.loads(accepted.content)["offset"])
    wait_for(site.serves, "the entry process serves")
    return site


def stand(site: EntrySite, address: str, script: Script, count: int, reads: bool = True) -> None:
    """Make ordinary requests beside a crowd, and check the process."""
    crowd = Crowd(address=address, count=count, script=script, reads=reads)
    with Watch(process=site.entry) as watch:
        with crowd:
            wait_until(crowd.has_sent_all, at_most_s=SETTLE_S)
            wait_for(site.serves, "a request is served", timeout_s=ANSWER_S)
            wait_for(site.answers_probe, "the probe is answered", timeout_s=ANSWER_S)
        wait_for(site.serves, "a request is served", timeout_s=ANSWER_S)
    watch.check()


@pytest.mark.parametrize(
    ("make", "count", "reads"),
    [
        (upgrade_with_frames, 3, True),
        (body_short_of_its_end, 400, True),
        (many_fields, 400, True),
        (http2_preface, 150, True),
        (slow_head, 900, True),
        (partial(sent_ahead, "GET"), 200, False),
    ],
)
def test_crowd_at_the_address_for_callers(
    fleet: Fleet, make: Callable[[str], Iterable[bytes]], count: int, reads: bool
) -> None:
    """Guards against an older door that is left without limits."""
    site = start_entry_site(fleet)
    stand(site, site.entry.http, partial(make, "/stock/1"), count=count, reads=reads)


@pytest.mark.parametrize(
    ("make", "count"), [(upgrade_with_frames, 3), (body_short_of_its_end, 400), (slow_head, 900)]
)
def test_crowd_at_the_administration_address(
    fleet: Fleet, make: Callable[[str], Iterable[bytes]], count: int
) -> None:
    """Guards against a crowd that keeps probes and operators out."""
    site = start_entry_site(fleet)
    stand(site, site.entry.admin, partial(make, "/catalogue/desk"), count=count)


def test_idle_connections_at_the_port_for_peers(fleet: Fleet) -> None:
    """Guards against connections that leave no descriptor for targets."""
    site = start_entry_site(fleet)
    stand(site, site.entry.peers, nothing, count=900)
