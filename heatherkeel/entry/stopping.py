"""Graceful shutdown: report not ready, then finish the requests in progress."""

from __future__ import annotations

import logging

import trio

from heatherkeel.catalogue.models import ServiceEntry
from heatherkeel.core.state import FleetState
from heatherkeel.http_server.server import HttpServer
from heatherkeel.monitoring.readiness import Readiness

from .const import FINISH_MARGIN_S

_LOGGER = logging.getLogger(__name__)


async def async_finish_callers(
    *, http: HttpServer, readiness: Readiness, fleet: FleetState
) -> None:
    """Stop accepting callers, and finish all requests in progress.

    Requests are accepted for `readiness_wait_ms` after the process reports not ready, since the
    load balancer would otherwise send callers to a closed port.
    """
    settings = readiness.node.settings.stop
    readiness.stop()
    _LOGGER.info("stopping", extra={"event": "stopping"})
    await trio.sleep(settings.readiness_wait_ms / 1000)
    await http.close(finish_timeout_s=longest_deadline_s(fleet) + FINISH_MARGIN_S)
    _LOGGER.info("requests finished", extra={"event": "requests_finished"})


def longest_deadline_s(fleet: FleetState) -> float:
    """Return the longest deadline of any active service, in seconds."""
    deadlines_ms = [
        stored.entry.limits.deadline_ms
        for stored in fleet.catalogue.entries.values()
        if isinstance(stored.entry, ServiceEntry)
    ]
    return max(deadlines_ms, default=0) / 1000
