"""Runs one stand-in as a process of its own."""

from __future__ import annotations

import logging

import trio

from heatherkeel.helpers.signals import async_wait_for_stop
from heatherkeel.http_server.server import HttpServer

from .platform import PlatformStandin
from .ports import hold_port
from .target import TargetStandin

_LOGGER = logging.getLogger(__name__)


async def async_run_platform(platform: PlatformStandin, *, bind: str) -> None:
    """Serve the platform stand-in until the process is told to stop."""
    server = HttpServer(app=platform, bind=bind, graceful_timeout_s=0.1)
    async with trio.open_nursery() as nursery:
        platform.start(nursery)
        await server.start(nursery)
        _tell_listening(server.address)
        await async_wait_for_stop()
        nursery.cancel_scope.cancel()


async def async_run_target(target: TargetStandin, *, bind: str) -> None:
    """Serve a target stand-in, through its reboots, until the process is told to stop."""
    with hold_port(bind) as holder:
        host, port = holder.getsockname()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_async_run_boots, target, f"{host}:{port}")
            await async_wait_for_stop()
            nursery.cancel_scope.cancel()


async def _async_run_boots(target: TargetStandin, address: str) -> None:
    while True:
        async with trio.open_nursery() as boot:
            server = HttpServer(app=target, bind=address)
            await server.start(boot)
            _tell_listening(server.address)
            await target.reboot_asked.wait()
            reboot = target.go_away()
            # No grace: a stop that comes too early has to cut requests, so that it is seen.
            boot.cancel_scope.cancel()
        if not reboot.back:
            return
        await trio.sleep(reboot.away_ms / 1000)
        target.come_back(reboot)


def _tell_listening(address: str) -> None:
    _LOGGER.info("listening", extra={"event": "listening", "http": address})
