"""Finds the queue of a request."""

from __future__ import annotations

from heatherkeel.platform.operator import Configuration, Queue


def find_queue(config: Configuration, *, host: str, path: str) -> Queue | None:
    """Return the host's queue with the longest prefix of the path."""
    name = host.rsplit(":", 1)[0] if ":" in host else host
    matching = [
        queue
        for queue in config.queues
        if queue.host == name and path.startswith(queue.path_prefix)
    ]
    return max(matching, key=lambda queue: len(queue.path_prefix), default=None)
