"""Metrics of the port for other instances."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge


class PeerMetrics:
    """Connections that other instances have opened."""

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self.connections = Gauge(
            "heatherkeel_peer_connections",
            "Connections of other instances, as of the last one that was accepted.",
            registry=registry,
        )
        self.closed = Counter(
            "heatherkeel_peer_connections_closed",
            "Connections of other instances that were closed since there were too many.",
            registry=registry,
        )
        self.failed = Counter(
            "heatherkeel_peer_questions_failed",
            "Questions of other instances that raised an error and weren't answered.",
            registry=registry,
        )
        self.dropped = Counter(
            "heatherkeel_peer_questions_dropped",
            "Questions of other instances that were dropped since too many waited for the store.",
            registry=registry,
        )
