"""Keeps the current configuration, the waves and the workers' entries."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Final

import trio
from result import Err

from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.ownership.const import KEEP_REMOVED_MS
from heatherkeel.ownership.partitions import Layout
from heatherkeel.ownership.queue_homes import QueueHomes
from heatherkeel.platform.const import CONFIG_KEY, WAVE_PREFIX, WORKERS_TOPIC
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.operator import (
    Configuration,
    Queue,
    Service,
    Wave,
    WorkerEntry,
    Workspace,
    decode_configuration,
    decode_wave,
    decode_worker,
)
from heatherkeel.platform.store import StoreClient
from heatherkeel.workspaces.access import KeyTable, build_key_table
from heatherkeel.workspaces.amounts import Amount, amount_of_capacity

from .const import (
    DEFAULT_APPLY_MS,
    MAX_AGE_FRACTION,
    MISLED_MS,
    READ_WAIT_FRACTION,
)
from .coverage import Reading
from .follower import TopicFollower
from .operator_reads import OperatorReads
from .records import OperatorRecords

_LOGGER = logging.getLogger(__name__)

WORKERS_WAIT_MS: Final = 1000
"""Time that one read of the workers' entries waits for a change, in milliseconds."""
WORKERS_PAUSE_MS: Final = 250
"""Pause between reads of the workers' entries, in milliseconds; batches frequent heartbeats."""

MAX_REMOVED_QUEUES: Final = 1000
"""Number of removed queues that are kept for jobs which earlier releases have accepted."""
MAX_LOGGED_QUEUES: Final = 20
"""Maximum number of added or removed queues in a log line."""


@dataclass(kw_only=True, slots=True)
class DirectoryState:
    """The records that were read last."""

    config: Configuration | None = None
    operator_records: OperatorRecords = field(default_factory=OperatorRecords)
    apply_ms: int = DEFAULT_APPLY_MS
    """Time in which a change of the configuration must be in force, in milliseconds."""
    named_version: int = 0
    """Highest version of the configuration that another process has named."""
    named_ms: int = 0
    """When that version was first named, on the monotonic clock."""
    hinted_version: int = 0
    """Highest version that another process has said to know, without a job that depends on it."""
    hinted_ms: int = 0
    """When it first did, on the monotonic clock."""
    queues: dict[str, Queue] = field(default_factory=dict)
    """The configured queues, and the ones that were removed last: jobs that an earlier release has
    accepted continue after that, and aren't stored with the terms of their queue."""
    services: dict[str, Service] = field(default_factory=dict)
    needs_keys: bool = False
    """Callers need a key, except for public queues."""
    divides_machines: bool = False
    """Machines are divided between pools that compete for them."""
    keys: KeyTable = field(default_factory=KeyTable)
    """The keys of the configuration in force."""
    workspaces: dict[str, Workspace] = field(default_factory=dict)
    """Every workspace ever configured, since its accepted jobs continue after its removal."""
    limits: dict[str, Amount] = field(default_factory=dict)
    """Their limits, by workspace."""
    waves: dict[int, Wave] = field(default_factory=dict)
    workers: dict[str, WorkerEntry] = field(default_factory=dict)
    received_ms: dict[str, int] = field(default_factory=dict)
    """When each worker's entry was last received, on the monotonic clock."""
    layout: Layout = field(default_factory=Layout)
    """Assignment of services to partitions; empty until it is known."""
    queue_homes: QueueHomes | None = field(default_factory=QueueHomes)
    """Assignment of queues to services' partitions; None if the stored one can't be decoded."""

    def find_home(self, queue: Queue) -> str | None:
        """Return the service whose partitions accept a queue's jobs; None if it isn't known."""
        return self.queue_homes.find_service(queue) if self.queue_homes is not None else None

    def list_placed_queues(self) -> list[Queue]:
        """Return the configured queues whose services have partitions."""
        queues = self.config.queues if self.config is not None else []
        return [queue for queue in queues if self.layout.partitions_of(queue.service)]

    def config_version(self) -> int:
        """Return the version of the configuration in force; 0 before the first."""
        return self.config.version if self.config is not None else 0

    def config_age_ms(self) -> int | None:
        """Return the age of the knowledge that `config` is the newest, in milliseconds."""
        return None if self.config is None else self.operator_records.age_ms()

    def is_config_superseded(self) -> bool:
        """Return whether a newer configuration is known to exist.

        A version that no later read has found isn't believed: it may not be decodable here.
        """
        return self._is_missing(self.named_version, since_ms=self.named_ms)

    def is_hint_open(self) -> bool:
        """Return whether another process knows a newer configuration that isn't known here yet.

        Callers needn't wait for it: they are served by the own one until it is too old.
        """
        return self._is_missing(self.hinted_version, since_ms=self.hinted_ms)

    def _is_missing(self, version: int, *, since_ms: int) -> bool:
        """Return whether a version told by others is unknown, and no later read has refuted it."""
        as_of_ms = self.operator_records.as_of_ms
        is_refuted = as_of_ms is not None and as_of_ms > since_ms
        return version > self.config_version() and not is_refuted

    def was_misled(self, now_ms: int) -> bool:
        """Return whether a version was named a short time ago that a later read hasn't found."""
        is_unfound = self.named_version > self.config_version()
        is_refuted = is_unfound and not self.is_config_superseded()
        return is_refuted and now_ms - self.named_ms < MISLED_MS

    def is_config_recent(self, *, fraction: float = MAX_AGE_FRACTION) -> bool:
        """Return whether `config` was the newest within a fraction of `apply_ms`."""
        age_ms = self.config_age_ms()
        return (
            age_ms is not None
            and age_ms < self.apply_ms * fraction
            and not self.is_config_superseded()
        )

    def serving(self) -> set[str]:
        """Return the names of the services whose machines run jobs."""
        return {name for name, service in self.services.items() if not service.is_standby}


class Directory:
    """Follows the operator's and the workers' topics, and notifies subscribers of changes."""

    def __init__(
        self,
        *,
        store: StoreClient,
        apply_ms: int = DEFAULT_APPLY_MS,
        needs_keys: bool = False,
    ) -> None:
        self.store = store
        self.state = DirectoryState(apply_ms=apply_ms, needs_keys=needs_keys)
        self.subscribers: list[Callable[[], None]] = []
        self.nursery: trio.Nursery | None = None
        self.follows_workers = False
        self.superseded = trio.Event()
        """Set when newer records are to be requested at once: another process has named a version
        that is unknown here, or they arrive slowly from the store."""
        self.unreadable: dict[str, str] = {}
        """Errors of workers' entries that can't be decoded, by key."""
        self.reads = OperatorReads(
            store=store,
            known=self.state.operator_records,
            wait_ms=round(apply_ms * READ_WAIT_FRACTION),
            on_records=self._apply_operator_records,
            on_slow=lambda: self.superseded.set(),
        )
        self.operator = self.reads.follower
        self.workers = TopicFollower(
            store=store,
            topic=WORKERS_TOPIC,
            partition=0,
            on_records=self._apply_worker_records,
            on_keys=self._retain_workers,
            wait_ms=WORKERS_WAIT_MS,
            pause_ms=WORKERS_PAUSE_MS,
        )

    def set_apply_ms(self, apply_ms: int) -> None:
        """Set the time in which a change of the configuration must be in force."""
        self.state.apply_ms = apply_ms
        self.operator.wait_ms = round(apply_ms * READ_WAIT_FRACTION)

    def start(self, nursery: trio.Nursery) -> None:
        """Start following the operator's topic."""
        self.nursery = nursery
        nursery.start_soon(self.operator.async_run)

    def follow_workers(self) -> None:
        """Start following the workers' entries, if it hasn't been started.

        Only owners of partitions need these entries, which are most of the records in the store.
        """
        if self.nursery is not None and not self.follows_workers:
            self.follows_workers = True
            self.nursery.start_soon(self.workers.async_run)

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call `callback` after each change."""
        self.subscribers.append(callback)

    def unsubscribe(self, callback: Callable[[], None]) -> None:
        """Stop calling `callback`."""
        self.subscribers.remove(callback)

    def apply_layout(self, layout: Layout) -> None:
        """Use a stored layout, unless it names no more services than the known one."""
        if len(layout.shares) <= len(self.state.layout.shares):
            return
        self.state.layout = layout
        _LOGGER.info(
            "layout updated",
            extra={
                "event": "layout",
                "shares": {name: list(parts) for name, parts in layout.shares.items()},
                "machines": len(layout.places),
            },
        )
        self._notify()

    def apply_queue_homes(self, homes: QueueHomes | None) -> None:
        """Use stored homes of queues, unless later ones are known; None if they are unreadable."""
        known = self.state.queue_homes
        if homes == known:
            return
        if homes is not None and known is not None and homes.revision < known.revision:
            return
        self.state.queue_homes = homes
        _LOGGER.info(
            "homes of queues updated",
            extra={
                "event": "queue_homes",
                "revision": homes.revision if homes is not None else None,
                "queues": len(homes.homes) if homes is not None else None,
            },
        )
        self._notify()

    def _forget_homes(self, before: list[Queue], queues: list[Queue]) -> None:
        """Keep only the homes of queues that stay configured; the others are read again if needed.

        The home of a queue that was removed for long may have been dropped and set anew. All are
        forgotten if versions may have been missed for so long.
        """
        homes, age_ms = self.state.queue_homes, self.state.config_age_ms()
        if homes is None or not homes.revision:
            return
        is_current = age_ms is not None and age_ms < KEEP_REMOVED_MS
        staying = {queue.address() for queue in before} & {queue.address() for queue in queues}
        self.state.queue_homes = homes.keep(staying if is_current else ())

    def _notify(self) -> None:
        for callback in list(self.subscribers):
            callback()

    def record_named_version(self, version: int) -> None:
        """Record a version of the configuration that another process has named.

        This process may be about to act on what that version allows. It must not deny it to
        callers afterwards. After a version that no read has found, none is believed for a while:
        a process that names absurd versions would keep this one from serving.
        """
        if self.state.was_misled(monotonic_ms()):
            return
        if version > max(self.state.named_version, self.state.config_version()):
            self.state.named_version = version
            self.state.named_ms = monotonic_ms()
            self.superseded.set()

    def record_hinted_version(self, version: int) -> None:
        """Record a version that another process says to know, and request it at once."""
        if version > max(self.state.hinted_version, self.state.config_version()):
            self.state.hinted_version = version
            self.state.hinted_ms = monotonic_ms()
            self.superseded.set()

    def apply_peer_records(self, records: list[KeyedRecord], reading: Reading) -> None:
        """Apply records that another process knew."""
        known = self.state.operator_records
        added = known.add(records)
        if added:
            self._apply_added(added, source="peer")
        known.apply(reading)
        if added:
            self.reads.skip_known()

    def _apply_operator_records(self, records: list[KeyedRecord]) -> None:
        self._apply_added(self.state.operator_records.add(records), source="store")

    def _apply_added(self, records: list[KeyedRecord], *, source: str) -> None:
        for record in records:
            if record.key == CONFIG_KEY:
                self._apply_configuration(record, source=source)
            elif record.key.startswith(WAVE_PREFIX):
                self._apply_wave(record)
        self._notify()

    def _apply_configuration(self, record: KeyedRecord, *, source: str) -> None:
        decoded = decode_configuration(record.value)
        if isinstance(decoded, Err):
            _LOGGER.error(
                "cannot decode the configuration; the previous version stays in force",
                extra={"event": "config_unreadable", "detail": decoded.err_value},
            )
            return
        config = decoded.ok_value
        known = self.state.config
        # A late answer or a stale replica of the store must not revert a configuration that
        # callers have already seen in force.
        if known is not None and config.version <= known.version:
            return
        before = known.queues if known is not None else []
        self._forget_homes(before, config.queues)
        self.state.config = config
        self.state.queues = _merge_queues(self.state.queues, config.queues)
        self.state.services = {service.name: service for service in config.services}
        self.state.keys = build_key_table(config.workspaces)
        workspaces = {workspace.name: workspace for workspace in config.workspaces}
        # A new object: owners find out by it that limits may have changed.
        self.state.workspaces = self.state.workspaces | workspaces
        self.state.limits = {
            name: amount_of_capacity(known.limit) for name, known in self.state.workspaces.items()
        }
        _LOGGER.info(
            "configuration in force",
            extra={
                "event": "config",
                "version": config.version,
                "queues": len(config.queues),
                "workspaces": len(config.workspaces),
                "keys": len(self.state.keys.names),
                "offset": record.offset,
                "source": source,
                "added": _list_paths(config.queues, without=before),
                "removed": _list_paths(before, without=config.queues),
            },
        )

    def _apply_wave(self, record: KeyedRecord) -> None:
        if not record.value:
            return
        decoded = decode_wave(record.value)
        if isinstance(decoded, Err):
            _LOGGER.error(
                "cannot decode a wave",
                extra={"event": "wave_unreadable", "key": record.key, "detail": decoded.err_value},
            )
            return
        wave = decoded.ok_value
        self.state.waves[wave.number] = wave

    def _apply_worker_records(self, records: list[KeyedRecord]) -> None:
        """Apply workers' entries; notify subscribers only if one has changed.

        Otherwise each owner would compare all workers' entries after each heartbeat.
        """
        changes = [self._apply_worker_record(record) for record in records]
        if any(changes):
            self._notify()

    def _apply_worker_record(self, record: KeyedRecord) -> bool:
        """Apply one worker's entry; return whether it changes anything."""
        known = self.state.workers.get(record.key)
        if not record.value:
            self.state.workers.pop(record.key, None)
            self.state.received_ms.pop(record.key, None)
            self.unreadable.pop(record.key, None)
            return known is not None
        decoded = decode_worker(record.value)
        if isinstance(decoded, Err):
            self._drop_unreadable_worker(record.key, decoded.err_value)
            return known is not None
        self.unreadable.pop(record.key, None)
        self.state.workers[record.key] = decoded.ok_value
        self.state.received_ms[record.key] = monotonic_ms()
        return decoded.ok_value != known

    def _drop_unreadable_worker(self, worker_id: str, detail: str) -> None:
        """Drop a worker whose newest entry can't be decoded, since the older one is outdated.

        Its tasks continue under its lease. The error is logged once and not with each heartbeat.
        """
        self.state.workers.pop(worker_id, None)
        self.state.received_ms.pop(worker_id, None)
        if self.unreadable.get(worker_id) == detail:
            return
        self.unreadable[worker_id] = detail
        _LOGGER.error(
            "cannot decode a worker's entry; ignoring the worker",
            extra={"event": "worker_unreadable", "worker": worker_id, "detail": detail},
        )

    def _retain_workers(self, keys: set[str]) -> None:
        before = len(self.state.workers)
        for entries in (self.state.workers, self.state.received_ms, self.unreadable):
            for worker_id in entries.keys() - keys:
                del entries[worker_id]
        if len(self.state.workers) != before:
            self._notify()


def _merge_queues(known: dict[str, Queue], configured: list[Queue]) -> dict[str, Queue]:
    """Return the configured queues, and before them the ones that were removed last."""
    current = {queue.name: queue for queue in configured}
    removed = [name for name in known if name not in current]
    return {name: known[name] for name in removed[-MAX_REMOVED_QUEUES:]} | current


def _list_paths(queues: list[Queue], *, without: list[Queue]) -> list[str]:
    """Return the hosts and paths of queues that aren't in the other list, for a log line."""
    known = {(queue.host, queue.path_prefix, queue.service) for queue in without}
    paths = [
        f"{queue.host}{queue.path_prefix}"
        for queue in queues
        if (queue.host, queue.path_prefix, queue.service) not in known
    ]
    return paths[:MAX_LOGGED_QUEUES]
