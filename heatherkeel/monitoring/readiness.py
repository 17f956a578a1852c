"""Says whether the platform's balancer should send callers here."""

from __future__ import annotations

from enum import StrEnum

from heatherkeel.entry.node import Node


class NotReadyReason(StrEnum):
    """Why an entry instance is not ready."""

    STOPPING = "stopping"
    LOG_NOT_READ = "log_not_read"
    NO_CATALOGUE_ENTRY = "no_catalogue_entry"


class Readiness:
    """Ready while a configuration is in force and no stop is planned."""

    def __init__(self, *, node: Node) -> None:
        self.node = node
        self.stopping = False

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
        if not self.node.follower.caught_up.is_set():
            reasons.append(NotReadyReason.LOG_NOT_READ)
        elif not self.node.state.fleet.catalogue.entries:
            reasons.append(NotReadyReason.NO_CATALOGUE_ENTRY)
        return reasons
