"""Finds the queue of a request."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from heatherkeel.platform.operator import Configuration, Queue


@dataclass(kw_only=True, slots=True)
class HostQueues:
    """The queues of one host, by the prefixes of their paths."""

    by_prefix: dict[str, Queue] = field(default_factory=dict)
    lengths: list[int] = field(default_factory=list)
    """The lengths that prefixes have, longest first."""

    def find(self, path: str) -> Queue | None:
        """Return the queue with the longest prefix of a path."""
        for length in self.lengths:
            queue = self.by_prefix.get(path[:length])
            if queue is not None:
                return queue
        return None


class QueueTable:
    """The queues of a configuration, so that a request doesn't look at all of them."""

    def __init__(self) -> None:
        self.config: Configuration | None = None
        """The configuration whose queues these are."""
        self.hosts: dict[str, HostQueues] = {}

    def find(self, config: Configuration, *, host: str, path: str) -> Queue | None:
        """Return the host's queue with the longest prefix of the path."""
        if config is not self.config:
            self.config, self.hosts = config, _index(config.queues)
        name = host.rsplit(":", 1)[0] if ":" in host else host
        queues = self.hosts.get(name)
        return queues.find(path) if queues is not None else None


def _index(queues: Iterable[Queue]) -> dict[str, HostQueues]:
    hosts: dict[str, HostQueues] = {}
    for queue in queues:
        # Of two queues with one address the first counts, as in the operator's list.
        hosts.setdefault(queue.host, HostQueues()).by_prefix.setdefault(queue.path_prefix, queue)
    for known in hosts.values():
        known.lengths = sorted({len(prefix) for prefix in known.by_prefix}, reverse=True)
    return hosts
