"""Puts the parts of an entry process together, and runs them until it is told to stop."""

from __future__ import annotations

import logging
import signal

import trio

from heatherkeel import subjects  # noqa: F401
from heatherkeel.admin.app import AdminApp
from heatherkeel.helpers.server import HttpServer
from heatherkeel.settings.models import EntrySettings

from .duties import Duties
from .front import Front
from .node import Node
from .start import NodeStart

_LOGGER = logging.getLogger(__name__)


async def async_run_entry(settings: EntrySettings) -> None:
    """Run one entry process until SIGTERM or SIGINT."""
    node = Node(settings=settings)
    front = Front(node=node)
    http = HttpServer(app=front, bind=settings.http.bind)
    admin = HttpServer(app=AdminApp(node=node), bind=settings.admin.bind)
    async with trio.open_nursery() as nursery:
        node.writer.start(nursery)
        node.snapshots.start(nursery)
        await admin.start(nursery)
        NodeStart(node=node).start(nursery)
        await node.may_serve.wait()
        await http.start(nursery)
        duties = Duties(node=node, peer_address=settings.peers.bind)
        duties.start()
        node.timers.subscribe(
            name="snapshots",
            interval_ms=settings.snapshots.check_interval_ms,
            callback=node.snapshots.async_check,
        )
        node.timers.start(nursery)
        _LOGGER.info(
            "listening",
            extra={"event": "listening", "http": http.address, "admin": admin.address},
        )
        await async_wait_for_stop()
        _LOGGER.info("stopping", extra={"event": "stopping"})
        await http.close()
        await admin.close()
        nursery.cancel_scope.cancel()
    await front.close()
    await node.client.close()


async def async_wait_for_stop() -> None:
    """Return when the process is told to stop."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            return
