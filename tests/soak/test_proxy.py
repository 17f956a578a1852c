"""Links of the proxy, and what their faults do to both sides."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
import trio

from heatherkeel.soak.proxy import Link, Way

WAIT_S = 10.0
"""Longest wait for a condition, in seconds."""
SILENCE_S = 0.2


async def async_echo(stream: trio.SocketStream) -> None:
    try:
        async for piece in stream:
            await stream.send_all(piece)
    except trio.BrokenResourceError:
        return


@asynccontextmanager
async def open_link() -> AsyncIterator[Link]:
    """Run a link to a target that echoes."""
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        nursery.start_soon(trio.serve_listeners, async_echo, listeners)
        port = listeners[0].socket.getsockname()[1]
        link = Link(name="echo", target=f"127.0.0.1:{port}")
        await link.start(nursery)
        yield link
        nursery.cancel_scope.cancel()


async def async_connect(link: Link) -> trio.SocketStream:
    host, _, port = link.address.rpartition(":")
    return await trio.open_tcp_stream(host, int(port))


async def async_ask(stream: trio.SocketStream, text: bytes) -> bytes:
    await stream.send_all(text)
    with trio.fail_after(WAIT_S):
        return bytes(await stream.receive_some())


async def async_is_silent(stream: trio.SocketStream) -> bool:
    with trio.move_on_after(SILENCE_S):
        await stream.receive_some()
        return False
    return True


async def async_is_refused(link: Link) -> bool:
    """Return whether a new connection is broken before it carries anything."""
    try:
        return await async_ask(await async_connect(link), b"hello") == b""
    except (OSError, trio.BrokenResourceError):
        return True


def test_a_sound_link_carries_both_ways_and_the_end() -> None:
    async def async_run() -> None:
        async with open_link() as link:
            stream = await async_connect(link)
            assert await async_ask(stream, b"one") == b"one"
            await stream.send_eof()
            with trio.fail_after(WAIT_S):
                assert await stream.receive_some() == b""
            assert link.connected == 1

    trio.run(async_run)


@pytest.mark.parametrize("ways", [frozenset(Way), *[frozenset({way}) for way in Way]])
def test_a_cut_is_silent_and_what_was_held_back_arrives_when_healed(ways: frozenset[Way]) -> None:
    async def async_run() -> None:
        async with open_link() as link:
            stream = await async_connect(link)
            assert await async_ask(stream, b"one") == b"one"
            link.cut(ways)
            await stream.send_all(b"two")
            assert await async_is_silent(stream)
            link.heal()
            with trio.fail_after(WAIT_S):
                assert await stream.receive_some() == b"two"

    trio.run(async_run)


def test_a_new_connection_during_a_cut_is_carried_when_healed() -> None:
    async def async_run() -> None:
        async with open_link() as link:
            link.cut()
            stream = await async_connect(link)
            await stream.send_all(b"one")
            assert await async_is_silent(stream)
            link.heal()
            with trio.fail_after(WAIT_S):
                assert await stream.receive_some() == b"one"

    trio.run(async_run)


def test_a_reset_breaks_open_connections_and_new_ones_until_healed() -> None:
    async def async_run() -> None:
        async with open_link() as link:
            stream = await async_connect(link)
            assert await async_ask(stream, b"one") == b"one"
            link.reset(stays=True)
            with pytest.raises(trio.BrokenResourceError):
                await async_ask(stream, b"two")
            assert await async_is_refused(link)
            link.heal()
            assert await async_ask(await async_connect(link), b"four") == b"four"

    trio.run(async_run)


def test_a_delayed_and_a_slow_link_take_their_time() -> None:
    async def async_run() -> None:
        async with open_link() as link:
            stream = await async_connect(link)
            link.slow_down(delay_s=0.1)
            began_s = trio.current_time()
            assert await async_ask(stream, b"one") == b"one"
            assert trio.current_time() - began_s >= 0.2
            link.slow_down(bytes_per_s=1000)
            began_s = trio.current_time()
            assert await async_ask(stream, bytes(100)) == bytes(100)
            assert trio.current_time() - began_s >= 0.2

    trio.run(async_run)


def test_a_target_that_is_gone_resets_its_callers() -> None:
    async def async_run() -> None:
        async with open_link() as link:
            link.target = "127.0.0.1:1"
            stream = await async_connect(link)
            with pytest.raises(trio.BrokenResourceError):
                await async_ask(stream, b"one")

    trio.run(async_run)
