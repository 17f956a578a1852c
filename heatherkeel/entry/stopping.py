"""The order of a planned stop: not ready first, then requests in progress, then the process."""

from __future__ import annotations

import logging

import trio

from heatherkeel.catalogue.models import ServiceEntry
from heatherkeel.core.state import FleetState
from heatherkeel.helpers.server import HttpServer
from heatherkeel.monitoring.readiness import Readiness

from .const import FINISH_MARGIN_S

_LOGGER = logging.getLogger(__name__)


async def async_stop_callers(*, http: HttpServer, readiness: Readiness, fleet: FleetState) -> None:
    """Take no more callers, and let every request in progress have its whole answer.

    The balancer must learn first: a port that closes while the balancer still sends callers
    there refuses them. Callers are therefore taken until `readiness_wait_ms` is over.
    """
    settings = readiness.node.settings.stop
    readiness.stop()
    _LOGGER.info("stopping", extra={"event": "stopping"})
    await trio.sleep(settings.readiness_wait_ms / 1000)
    await http.close(finish_timeout_s=longest_deadline_s(fleet) + FINISH_MARGIN_S)
    _LOGGER.info("requests finished", extra={"event": "requests_finished"})


def longest_deadline_s(fleet: FleetState) -> float:
    """Return the longest deadline of any service in force: no request lasts longer."""
    deadlines_ms = [
        stored.entry.limits.deadline_ms
        for stored in fleet.catalogue.entries.values()
        if isinstance(stored.entry, ServiceEntry)
    ]
    return max(deadlines_ms, default=0) / 1000
