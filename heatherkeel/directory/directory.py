"""The newest configuration, the waves, and the workers' entries, as this process knows them."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import trio
from result import Err

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.ownership.partitions import Layout
from heatherkeel.platform.const import CONFIG_KEY, CONFIG_TOPIC, WAVE_PREFIX, WORKERS_TOPIC
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.operator import (
    Configuration,
    Queue,
    Service,
    Wave,
    WorkerEntry,
    decode_configuration,
    decode_wave,
    decode_worker,
)
from heatherkeel.platform.store import StoreClient

from .follower import TopicFollower

_LOGGER = logging.getLogger(__name__)

CONFIG_WAIT_MS: Final = 800
"""How long one reading waits for a change, in milliseconds. A connection that has gone silent
is noticed with the reading that meets it; with the reading's own timeout that is within 4 s.

The answers also tell a process that owns nothing that it reaches the store: it takes no callers
after 1,200 ms without any, and a slow store answers some hundreds of milliseconds late.
"""
WORKERS_WAIT_MS: Final = 1000
WORKERS_PAUSE_MS: Final = 250
"""Pause between two readings of the workers' entries, in milliseconds. Thirty workers write
twenty times a second; read one by one they would cost most of all calls to the store."""


@dataclass(kw_only=True, slots=True)
class DirectoryState:
    """What was read last."""

    config: Configuration | None = None
    queues: dict[str, Queue] = field(default_factory=dict)
    """Every queue ever configured: accepted jobs go on when their queue is removed."""
    services: dict[str, Service] = field(default_factory=dict)
    waves: dict[int, Wave] = field(default_factory=dict)
    workers: dict[str, WorkerEntry] = field(default_factory=dict)
    heard_ms: dict[str, int] = field(default_factory=dict)
    """When each worker's entry was read last, on the steady clock."""
    layout: Layout = field(default_factory=Layout)
    """How services are shared out among partitions; empty until the fleet's owner has told."""

    def serving(self) -> set[str]:
        """Return the services whose machines run jobs."""
        return {name for name, service in self.services.items() if not service.is_standby}


class Directory:
    """Follows the operator's and the workers' topics, and tells subscribers of changes."""

    def __init__(self, *, store: StoreClient) -> None:
        self.state = DirectoryState()
        self.subscribers: list[Callable[[], None]] = []
        self.nursery: trio.Nursery | None = None
        self.follows_workers = False
        self.unreadable: dict[str, str] = {}
        """Keys of workers' entries that can't be read, and why; bounded by the topic's keys."""
        self.operator = TopicFollower(
            store=store,
            topic=CONFIG_TOPIC,
            partition=0,
            take=self._take_operator,
            keep_only=self._keep_waves,
            wait_ms=CONFIG_WAIT_MS,
        )
        self.workers = TopicFollower(
            store=store,
            topic=WORKERS_TOPIC,
            partition=0,
            take=self._take_workers,
            keep_only=self._keep_workers,
            wait_ms=WORKERS_WAIT_MS,
            pause_ms=WORKERS_PAUSE_MS,
        )

    def start(self, nursery: trio.Nursery) -> None:
        """Begin to follow what the operator writes."""
        self.nursery = nursery
        nursery.start_soon(self.operator.async_run)

    def follow_workers(self) -> None:
        """Begin to follow the workers' entries; only who owns a partition needs them.

        They are most of what there is to read: 150 workers write a hundred times a second.
        """
        if self.nursery is not None and not self.follows_workers:
            self.follows_workers = True
            self.nursery.start_soon(self.workers.async_run)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""
        self.subscribers.append(callback)

    def unsubscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` no more."""
        self.subscribers.remove(callback)

    def take_layout(self, layout: Layout) -> None:
        """Take in a layout that is stored; one that names less than the known one is older."""
        if len(layout.shares) <= len(self.state.layout.shares):
            return
        self.state.layout = layout
        _LOGGER.info(
            "layout known",
            extra={
                "event": "layout",
                "shares": {name: list(parts) for name, parts in layout.shares.items()},
                "machines": len(layout.places),
            },
        )
        self._tell()

    def _tell(self) -> None:
        for callback in list(self.subscribers):
            callback()

    def _take_operator(self, records: list[KeyedRecord]) -> None:
        for record in records:
            if record.key == CONFIG_KEY:
                self._take_configuration(record)
            elif record.key.startswith(WAVE_PREFIX):
                self._take_wave(record)
        self._tell()

    def _take_configuration(self, record: KeyedRecord) -> None:
        decoded = decode_configuration(record.value)
        if isinstance(decoded, Err):
            _LOGGER.error(
                "the configuration can't be read; the last one stays in force",
                extra={"event": "config_unreadable", "detail": decoded.err_value},
            )
            return
        config = decoded.ok_value
        known = self.state.config
        # A late answer on an old connection, or a store that reads behind, must not take back
        # what callers have already seen in force.
        if known is not None and config.version <= known.version:
            return
        self.state.config = config
        self.state.queues |= {queue.name: queue for queue in config.queues}
        self.state.services = {service.name: service for service in config.services}
        _LOGGER.info(
            "configuration in force",
            extra={
                "event": "config",
                "version": config.version,
                "queues": len(config.queues),
                "offset": record.offset,
            },
        )

    def _take_wave(self, record: KeyedRecord) -> None:
        if not record.value:
            return
        decoded = decode_wave(record.value)
        if isinstance(decoded, Err):
            _LOGGER.error(
                "a wave can't be read",
                extra={"event": "wave_unreadable", "key": record.key, "detail": decoded.err_value},
            )
            return
        wave = decoded.ok_value
        self.state.waves[wave.number] = wave

    def _keep_waves(self, keys: set[str]) -> None:
        """Waves and the configuration are never taken back, so nothing is dropped here."""

    def _take_workers(self, records: list[KeyedRecord]) -> None:
        """Take in workers' entries; heartbeats that say the same again are told to nobody.

        Some hundred workers write two hundred times a second, and each owner would compare all of
        them for each reading.
        """
        changes = [self._take_worker(record) for record in records]
        if any(changes):
            self._tell()

    def _take_worker(self, record: KeyedRecord) -> bool:
        """Take in one worker's entry; says whether it tells anything new."""
        known = self.state.workers.get(record.key)
        if not record.value:
            self.state.workers.pop(record.key, None)
            self.state.heard_ms.pop(record.key, None)
            self.unreadable.pop(record.key, None)
            return known is not None
        decoded = decode_worker(record.value)
        if isinstance(decoded, Err):
            self._leave_out(record.key, decoded.err_value)
            return known is not None
        self.unreadable.pop(record.key, None)
        self.state.workers[record.key] = decoded.ok_value
        self.state.heard_ms[record.key] = monotonic_ms()
        return decoded.ok_value != known

    def _leave_out(self, worker_id: str, detail: str) -> None:
        """Use a worker no more whose newest entry can't be read: the older one holds no longer.

        What it runs goes on under its lease. It is told once, and not with each heartbeat.
        """
        self.state.workers.pop(worker_id, None)
        self.state.heard_ms.pop(worker_id, None)
        if self.unreadable.get(worker_id) == detail:
            return
        self.unreadable[worker_id] = detail
        _LOGGER.error(
            "a worker's entry can't be read; the worker isn't used",
            extra={"event": "worker_unreadable", "worker": worker_id, "detail": detail},
        )

    def _keep_workers(self, keys: set[str]) -> None:
        before = len(self.state.workers)
        for known in (self.state.workers, self.state.heard_ms, self.unreadable):
            for worker_id in known.keys() - keys:
                del known[worker_id]
        if len(self.state.workers) != before:
            self._tell()
