"""Assembles an entry process and runs it until it is stopped."""

from __future__ import annotations

import logging
from dataclasses import replace

import trio

from heatherkeel import subjects  # noqa: F401
from heatherkeel.admin.app import AdminApp
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.helpers.signals import StopSignal
from heatherkeel.http_server.metrics import ServerMetrics
from heatherkeel.http_server.server import HttpServer
from heatherkeel.http_server.sizing import LARGEST_REQUEST_BYTES
from heatherkeel.jobs.duty import JobsDuty
from heatherkeel.membership.const import HEARTBEAT_INTERVAL_MS
from heatherkeel.membership.links import PeerLinks
from heatherkeel.membership.metrics import PeerMetrics
from heatherkeel.monitoring.app import MonitoringApp, TimedApp
from heatherkeel.monitoring.counting import count_effects
from heatherkeel.monitoring.gauges import NodeGauges
from heatherkeel.monitoring.metrics import Metrics
from heatherkeel.monitoring.readiness import Readiness
from heatherkeel.requests.const import QUEUE_TICK_MS
from heatherkeel.requests.events import QueueTick
from heatherkeel.requests.reasons import Outcome
from heatherkeel.settings.models import EntrySettings

from .const import (
    CALLER_WATCH_INTERVAL_MS,
    CONNECTION_CLOSE_INTERVAL_MS,
    OUTCOME_HEADER,
    WRITE_TIMEOUT_S,
)
from .duties import Duties
from .front import ProxyApp
from .node import Node
from .start import NodeStart
from .stopping import async_finish_callers

_LOGGER = logging.getLogger(__name__)


class EntryProcess:
    """The node, HTTP servers and peer links of one entry process."""

    def __init__(self, *, settings: EntrySettings) -> None:
        self.settings = settings
        limits = settings.divide_limits().unwrap()
        self.node = Node(settings=settings)
        self.readiness = Readiness(node=self.node)
        self.metrics = Metrics()
        server_metrics = ServerMetrics(registry=self.metrics.registry)
        self.links = PeerLinks(
            node=self.node.state,
            handle_event=self.node.handle_event,
            apply_relayed_record=self.node.apply_relayed_record,
            log_answered_at_ms=lambda: self.node.follower.answered_at_ms,
            recent=self.node.recent,
            bind=settings.peers.bind,
            seeds=settings.peers.seeds,
            max_connections=limits.peer_connections,
            metrics=PeerMetrics(registry=self.metrics.registry),
        )
        self.proxy = ProxyApp(node=self.node)
        self.duties = Duties(node=self.node)
        timed_app = TimedApp(inner=self.proxy, metrics=self.metrics)
        self.http = HttpServer(
            app=timed_app,
            bind=settings.http.bind,
            on_headers_too_large=self.metrics.count_headers_too_large,
            limits=limits.callers,
            metrics=server_metrics,
            refusal_headers={OUTCOME_HEADER: Outcome.NOT_RUN.value},
        )
        admin_app = MonitoringApp(
            inner=AdminApp(node=self.node, on_refusal=self.metrics.count_admin_refusal),
            metrics=self.metrics,
            readiness=self.readiness,
        )
        self.admin = HttpServer(
            app=admin_app,
            bind=settings.admin.bind,
            certfile=settings.admin.certfile,
            keyfile=settings.admin.keyfile,
            name="admin",
            limits=replace(limits.readiness, body_bytes=LARGEST_REQUEST_BYTES),
            metrics=server_metrics,
        )
        self.gauges = NodeGauges(
            node=self.node, readiness=self.readiness, in_progress=lambda: timed_app.in_progress
        )

    async def start(self, nursery: trio.Nursery) -> None:
        """Open the admin port, catch up with the log, and then accept callers."""
        count_effects(self.node, self.metrics)
        self.metrics.register([self.gauges])
        self.node.writer.start(nursery)
        self.proxy.start(nursery)
        self.node.snapshots.start(nursery)
        self.links.start(nursery)
        await self.admin.start(nursery)
        starting = NodeStart(node=self.node, links=self.links)
        starting.start(nursery)
        await starting.done.wait()
        self.duties.peer_address = self.links.address
        self.duties.start()
        JobsDuty(node=self.node).start(nursery)
        self._subscribe_timers()
        self.node.timers.start(nursery)
        # A drain waits only for entry instances that the fold knows when it starts. Earlier
        # requests of this process could be cut off by the stop of their target.
        await self.duties.included_in_drains.wait()
        await self.http.start(nursery)
        _LOGGER.info(
            "listening",
            extra={
                "event": "listening",
                "http": self.http.address,
                "admin": self.admin.address,
                "peers": self.links.address,
            },
        )

    def _subscribe_timers(self) -> None:
        self.node.timers.subscribe(
            name="queues", interval_ms=QUEUE_TICK_MS, callback=self._async_tick_queues
        )
        self.node.timers.subscribe(
            name="callers",
            interval_ms=CALLER_WATCH_INTERVAL_MS,
            callback=self.proxy.async_watch_callers,
        )
        self.node.timers.subscribe(
            name="connections",
            interval_ms=CONNECTION_CLOSE_INTERVAL_MS,
            callback=self.proxy.connections.async_close_retired,
        )
        self.node.timers.subscribe(
            name="snapshots",
            interval_ms=self.settings.snapshots.check_interval_ms,
            callback=self.node.snapshots.async_check,
        )
        self.node.timers.subscribe(
            name="peers", interval_ms=HEARTBEAT_INTERVAL_MS, callback=self.links.async_tick
        )

    async def _async_tick_queues(self) -> None:
        """Send a tick to the reducer while requests or ejected targets wait for a time."""
        routing = self.node.state.local.routing
        if routing.deadlines or routing.ejected:
            self.node.handle_event(QueueTick(now_ms=monotonic_ms()))

    async def close(self) -> None:
        """Stop gracefully; the admin port closes last, so that the stop can be monitored."""
        await async_finish_callers(
            http=self.http, readiness=self.readiness, fleet=self.node.state.fleet
        )
        await self.proxy.claims.async_finish(timeout_s=WRITE_TIMEOUT_S)
        await self.duties.async_leave()
        await self.admin.close()

    async def async_close_connections(self) -> None:
        """Close the connections to targets and to the platform."""
        await self.proxy.close()
        await self.node.client.close()


async def async_run_entry(settings: EntrySettings) -> None:
    """Run one entry process until SIGTERM or SIGINT."""
    process = EntryProcess(settings=settings)
    stop = StopSignal()
    try:
        async with trio.open_nursery() as nursery:
            await stop.start(nursery)
            with trio.CancelScope() as starting:
                nursery.start_soon(stop.async_cancel, starting)
                await process.start(nursery)
                process.readiness.start()
            await stop.received.wait()
            if process.http.started:
                await process.close()
            nursery.cancel_scope.cancel()
    finally:
        # An open socket would keep the interpreter from exiting after an error.
        process.links.close()
    await process.async_close_connections()
