"""Readiness of an entry instance for the load balancer."""

from __future__ import annotations

from enum import StrEnum

from heatherkeel.entry.node import Node
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.membership.sponsor import can_route


class NotReadyReason(StrEnum):
    """Why an entry instance is not ready."""

    STOPPING = "stopping"
    STARTING = "starting"
    """No usable state is in force yet, or the port is not open."""
    NO_CATALOGUE_ENTRY = "no_catalogue_entry"
    NO_SPONSOR = "no_sponsor"
    """It started from a peer's state, and drains don't wait for it (`can_route`)."""


class Readiness:
    """Ready while a configuration is in force, drains wait for it, and no stop is planned."""

    def __init__(self, *, node: Node) -> None:
        self.node = node
        self.started = False
        self.stopping = False

    def start(self) -> None:
        """Allow readiness once a catalogue entry is in force."""
        self.started = True

    def stop(self) -> None:
        """Mark the process as permanently not ready."""
        self.stopping = True

    def find_reasons(self) -> list[NotReadyReason]:
        """Return the reasons why this process is not ready; empty if it is ready.

        An unreachable platform is not a reason: an outage of the log must not remove every
        entry instance from the load balancer at once.
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
