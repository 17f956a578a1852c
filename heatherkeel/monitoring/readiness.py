"""Says whether the platform's balancer should send callers here."""

from __future__ import annotations

from enum import StrEnum

from heatherkeel.entry.node import Node
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.membership.sponsor import can_route


class NotReadyReason(StrEnum):
    """Why an entry instance is not ready."""

    STOPPING = "stopping"
    STARTING = "starting"
    """No state that it may serve by is in force yet, or its port is not open."""
    NO_CATALOGUE_ENTRY = "no_catalogue_entry"
    NO_SPONSOR = "no_sponsor"
    """It started from a peer's state, and no drain would wait for it now (`can_route`)."""


class Readiness:
    """Ready while a configuration is in force, drains wait for it, and no stop is planned."""

    def __init__(self, *, node: Node) -> None:
        self.node = node
        self.started = False
        self.stopping = False

    def start(self) -> None:
        """Be ready from now on, as soon as a catalogue entry is in force."""
        self.started = True

    def stop(self) -> None:
        """Be ready no more, for good."""
        self.stopping = True

    def find_reasons(self) -> list[NotReadyReason]:
        """Return why this process is not ready; empty if it is.

        The platform being away is no reason: what was in force stays in force, and an entry
        instance that is cut off goes on serving. Otherwise an outage of the log would take
        every entry instance out of the balancer at once.
        """
        reasons: list[NotReadyReason] = []
        if self.stopping:
            reasons.append(NotReadyReason.STOPPING)
        if not self.started:
            reasons.append(NotReadyReason.STARTING)
        elif not self.node.state.fleet.catalogue.entries:
            reasons.append(NotReadyReason.NO_CATALOGUE_ENTRY)
        if not can_route(self.node.state, monotonic_ms()):
            reasons.append(NotReadyReason.NO_SPONSOR)
        return reasons
