"""Crowds at the readiness address and at the port that instances use between themselves."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from functools import partial

import pytest
import zmq

from tests.processes.harness import Fleet, wait_for

from .clients import Crowd, Script
from .requests import (
    READINESS,
    body_short_of_its_end,
    chunks_short_of_their_end,
    endless_chunks,
    far_too_large,
    h2c_upgrade,
    http2_preface,
    many_fields,
    message_without_end,
    nothing,
    sent_ahead,
    slow_head,
    small_pieces,
    upgrade_with_frames,
)
from .site import ANSWER_S, Site, Watch, start_site, wait_until

SETTLE_S = 5.0
"""Longest time that a crowd gets to send its requests, in seconds."""
IDLE_CROWD = 900
MESSAGE_BYTES = 1_000_000
METRICS = "/metrics"


def stand(
    site: Site,
    address: str,
    script: Script,
    count: int,
    settle_s: float = SETTLE_S,
    **manners: float,
) -> None:
    """Run one ordinary job and a readiness probe beside a crowd, and check the process."""
    crowd = Crowd(address=address, count=count, script=script)
    for name, value in manners.items():
        setattr(crowd, name, value)
    with Watch(process=site.process) as watch:
        with crowd:
            wait_until(crowd.has_sent_all, at_most_s=settle_s)
            site.run_job()
            wait_for(site.answers_probe, "the probe is answered", timeout_s=ANSWER_S)
        site.run_job()
    watch.check()


@pytest.mark.parametrize(
    ("make", "count"),
    [
        (upgrade_with_frames, 3),
        (body_short_of_its_end, 400),
        (chunks_short_of_their_end, 400),
        (small_pieces, 100),
        (far_too_large, 30),
        (endless_chunks, 30),
        (many_fields, 400),
        (http2_preface, 150),
        (h2c_upgrade, 150),
        (slow_head, IDLE_CROWD),
    ],
)
def test_crowd_at_the_readiness_address(
    fleet: Fleet, make: Callable[[str], Iterator[bytes]], count: int
) -> None:
    """Guards against a door that is bounded for callers only."""
    site = start_site(fleet)
    stand(site, site.doors.readiness, partial(make, READINESS), count=count)


def test_idle_connections_at_the_readiness_address(fleet: Fleet) -> None:
    """Guards against idle connections that keep the probe of the load balancer out."""
    site = start_site(fleet)
    stand(site, site.doors.readiness, nothing, count=IDLE_CROWD)


def test_metrics_that_nobody_reads(fleet: Fleet) -> None:
    """Guards against large answers that pile up for clients which don't read."""
    site = start_site(fleet)
    script = partial(sent_ahead, "GET", METRICS)
    stand(site, site.doors.readiness, script, count=200, reads=False)


def test_idle_connections_at_the_port_between_instances(fleet: Fleet) -> None:
    """Guards against connections that leave no descriptor for the store and the workers."""
    site = start_site(fleet)
    stand(site, site.doors.peers, nothing, count=IDLE_CROWD)


def test_bytes_at_the_port_between_instances(fleet: Fleet) -> None:
    """Guards against bytes that are no messages."""
    site = start_site(fleet)
    stand(site, site.doors.peers, partial(small_pieces, READINESS), count=100)


def test_idle_connections_come_back_to_the_port_between_instances(fleet: Fleet) -> None:
    """Guards against a bound that holds only until its connections are opened again."""
    site = start_site(fleet)
    stand(site, site.doors.peers, nothing, count=IDLE_CROWD, returns=True)


def test_large_messages_at_the_port_between_instances(fleet: Fleet) -> None:
    """Guards against messages of legal size that are queued for each connection."""
    site = start_site(fleet)
    context: zmq.Context[zmq.Socket[bytes]] = zmq.Context()
    sockets = [context.socket(zmq.DEALER) for _ in range(20)]
    with Watch(process=site.process) as watch:
        for socket in sockets:
            socket.setsockopt(zmq.LINGER, 0)
            socket.setsockopt(zmq.SNDHWM, 4)
            socket.connect(f"tcp://{site.doors.peers}")
        for _ in range(100):
            for socket in sockets:
                send_or_drop(socket)
        site.run_job()
    context.destroy(linger=0)
    site.run_job()
    watch.check()


def test_messages_without_end_at_the_port_between_instances(fleet: Fleet) -> None:
    """Guards against messages that are kept part by part and never end."""
    site = start_site(fleet)
    script = message_without_end
    stand(site, site.doors.peers, script, count=4, settle_s=ANSWER_S, returns=True)


def send_or_drop(socket: zmq.Socket[bytes]) -> None:
    """Send one message, unless its queue is full."""
    if socket.poll(10, zmq.POLLOUT):
        socket.send_multipart([b"1", b"x" * MESSAGE_BYTES], zmq.NOBLOCK)
