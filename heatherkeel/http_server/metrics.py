"""Metrics of HTTP servers."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge

from .models import CloseReason, RequestRefusal


class ServerMetrics:
    """Counters and gauges of the servers of a process, by the server's name."""

    def __init__(self, *, registry: CollectorRegistry) -> None:
        self.connections = Gauge(
            "heatherkeel_connections",
            "Open connections of clients, by server.",
            ["server"],
            registry=registry,
        )
        self.connection_limit = Gauge(
            "heatherkeel_connection_limit",
            "Most connections of clients, by server.",
            ["server"],
            registry=registry,
        )
        self.body_bytes = Gauge(
            "heatherkeel_request_memory_bytes",
            "Memory that requests hold beyond what is free for each, by server.",
            ["server"],
            registry=registry,
        )
        self.body_limit = Gauge(
            "heatherkeel_request_memory_limit_bytes",
            "Most memory that requests may hold, by server.",
            ["server"],
            registry=registry,
        )
        self.closed = Counter(
            "heatherkeel_connections_closed",
            "Connections that a server has ended, by server and reason.",
            ["server", "reason"],
            registry=registry,
        )
        self.refused = Counter(
            "heatherkeel_requests_refused_early",
            "Requests that were refused before they were looked at, by server and reason.",
            ["server", "reason"],
            registry=registry,
        )

    def add_server(self, name: str) -> None:
        """Export every reason of a server from the start."""
        for reason in CloseReason:
            self.closed.labels(name, reason.value)
        for refusal in RequestRefusal:
            self.refused.labels(name, refusal.value)
