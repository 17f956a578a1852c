"""Asks one address in closed loop, over connections of its own, and times every answer."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

import httpcore
import trio

from .const import SERVICE_PATH


@dataclass(kw_only=True, slots=True)
class Round:
    """Latencies in milliseconds of one round, and the time that it took."""

    latencies_ms: list[float] = field(default_factory=list)
    elapsed_s: float = 0.0
    failed: int = 0


async def async_ask(address: str, *, requests: int, callers: int) -> Round:
    """Send `requests` in all, at most one at a time for each of the callers.

    Connections are new in each round: the server closes a connection after a thousand requests,
    and without a pool's check a call on one that is just being closed would fail.
    """
    connections = [_connect(address) for _ in range(callers)]
    await _async_send(connections, address, requests=2 * callers)
    done = await _async_send(connections, address, requests=requests)
    for connection in connections:
        await connection.aclose()
    return done


def _connect(address: str) -> httpcore.AsyncHTTPConnection:
    host, _, port = address.rpartition(":")
    origin = httpcore.Origin(b"http", host.encode(), int(port))
    return httpcore.AsyncHTTPConnection(origin=origin, keepalive_expiry=60, retries=0)


async def _async_send(
    connections: list[httpcore.AsyncHTTPConnection], address: str, *, requests: int
) -> Round:
    done = Round()
    left = iter(range(requests))
    start_s = trio.current_time()
    async with trio.open_nursery() as nursery:
        for connection in connections:
            nursery.start_soon(_async_call, connection, address, left, done)
    done.elapsed_s = trio.current_time() - start_s
    return done


async def _async_call(
    connection: httpcore.AsyncHTTPConnection, address: str, left: Iterator[int], done: Round
) -> None:
    url = f"http://{address}{SERVICE_PATH}/1"
    for _ in left:
        start_s = trio.current_time()
        response = await connection.request("GET", url)
        done.latencies_ms.append((trio.current_time() - start_s) * 1000)
        done.failed += response.status != 200
