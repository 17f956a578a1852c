"""Runs one stand-in as a process of its own."""

from __future__ import annotations

import logging

import trio

from heatherkeel.entry.process import async_wait_for_stop
from heatherkeel.helpers.asgi import App
from heatherkeel.helpers.server import HttpServer

_LOGGER = logging.getLogger(__name__)


async def async_run_standin(app: App, *, bind: str) -> None:
    """Serve a stand-in until the process is told to stop."""
    server = HttpServer(app=app, bind=bind, graceful_timeout_s=0.1)
    async with trio.open_nursery() as nursery:
        await server.start(nursery)
        _LOGGER.info("listening", extra={"event": "listening", "http": server.address})
        await async_wait_for_stop()
        nursery.cancel_scope.cancel()
