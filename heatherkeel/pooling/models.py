"""State, events and effects of the fleet's owner."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from heatherkeel.ownership.partitions import Layout
from heatherkeel.platform.errors import CallError
from heatherkeel.platform.machines import Machine
from heatherkeel.platform.operator import Service, Wave
from heatherkeel.questions.messages import Need, PoolLoad


class Purpose(StrEnum):
    """Why a machine is taken out of service."""

    MOVE = "move"
    MAINTAIN = "maintain"


class PoolShare(NamedTuple):
    """A partition's part of a pool: its jobs and the machines that may run them."""

    pool: str
    partition: int


@dataclass(kw_only=True, slots=True)
class Intent:
    """A planned move or maintenance of a machine, which is emptied before it is ordered away."""

    machine: str
    worker_id: str | None
    purpose: Purpose
    from_pool: str
    pool: str = ""
    """The pool that it moves to; empty for maintenance."""
    wave: int = 0
    began_ms: int
    ordered_ms: int | None = None
    """When the order was last sent; None if it wasn't."""
    first_ordered_ms: int | None = None
    """When the order was first sent; None if it wasn't."""
    is_confirmed: bool = False
    """Whether the order was answered with success."""
    is_taken: bool = False
    """It is taken from a share above its part of the machines for one below its part."""


class DepartedWorker(NamedTuple):
    """A worker whose machine has gone, but whose entry may not have expired yet."""

    partition: int
    """The partition that the worker belonged to."""
    until_ms: int


@dataclass(kw_only=True, slots=True)
class WaveProgress:
    """A wave, and its machines whose maintenance is confirmed to have begun."""

    wave: Wave
    began_ms: int
    begun: set[str] = field(default_factory=set)
    is_complete: bool = False


@dataclass(kw_only=True, slots=True)
class PoolShareView:
    """The last reported load of a share, and its recent peaks and surplus."""

    load: PoolLoad
    received_ms: int
    peaks: list[tuple[int, float]] = field(default_factory=list)
    """Recent peaks of processor demand with their times, in descending order."""
    surplus: list[tuple[int, int]] = field(default_factory=list)
    """Recent numbers of surplus machines with their times."""


@dataclass(kw_only=True, slots=True)
class HandoverLog:
    """What was logged about the division of machines, and what wasn't yet."""

    is_divided: bool = False
    is_unknown: bool = False
    logged_ms: int = 0
    taken: Counter[tuple[str, str]] = field(default_factory=Counter)
    """Machines taken since the last line, by the pools that they leave and get to."""
    dropped: int = 0
    """Takings canceled since then."""
    taken_total: int = 0
    """Machines taken since the metrics were last updated."""
    dropped_total: int = 0
    """Takings canceled since then."""


@dataclass(kw_only=True, slots=True)
class UnmetNeed:
    """A need that a share still reports."""

    since_ms: int
    reported_ms: int = 0
    """When it was last reported."""
    logged_ms: int = 0
    machines: int = 0
    """Machines that have been chosen for it."""
    paused_until_ms: int = 0
    """Until when no further machine is chosen for it."""


@dataclass(kw_only=True, slots=True)
class FleetOwnerState:
    """State of the fleet's owner."""

    token: int
    now_ms: int = 0
    machines: dict[str, Machine] = field(default_factory=dict)
    listed_ms: int | None = None
    """When the last list was requested."""
    unlisted_since_ms: dict[str, int] = field(default_factory=dict)
    """The machines that the last lists lack and that may not have left, by when the first of these
    lists was requested."""
    services: dict[str, Service] = field(default_factory=dict)
    layout: Layout = field(default_factory=Layout)
    views: dict[PoolShare, PoolShareView] = field(default_factory=dict)
    arrival_rates: dict[str, list[tuple[int, float]]] = field(default_factory=dict)
    """Recent arrival rates per share with their times, by pool."""
    waves: dict[int, WaveProgress] = field(default_factory=dict)
    intents: dict[str, Intent] = field(default_factory=dict)
    departed: dict[str, DepartedWorker] = field(default_factory=dict)
    """Workers whose machines were ordered away and have gone, by id."""
    unregistered_since_ms: dict[str, int] = field(default_factory=dict)
    """Since when each worker of a machine that is up has been unknown to the owner of its share."""
    blocked_until_ms: dict[str, int] = field(default_factory=dict)
    """Until when each machine that an earlier owner has just ordered away may not be ordered."""
    logged_ms: int = 0
    """When the state of the pools was last logged."""
    usage: dict[str, float] = field(default_factory=dict)
    """Time of machines in pools by cause since then, in milliseconds."""
    usage_ms: int = 0
    """When it was last measured."""
    divides_machines: bool = False
    """Whether machines are divided by claims while there are too few."""
    is_divided: bool = False
    """Whether they are at present."""
    short_since_ms: dict[PoolShare, int] = field(default_factory=dict)
    """Since when each share has been below its part of the machines."""
    taken_ms: list[int] = field(default_factory=list)
    """When machines were last taken from shares above their part."""
    moved_ms: dict[str, int] = field(default_factory=dict)
    """When each machine was last ordered to a pool."""
    unmet: dict[tuple[PoolShare, Need], UnmetNeed] = field(default_factory=dict)
    """The needs of shares for which no machine has come yet."""
    handovers: HandoverLog = field(default_factory=HandoverLog)

    def standby_pool(self) -> str | None:
        """Return the standby pool, if there is one."""
        return next((name for name, service in self.services.items() if service.is_standby), None)

    def is_standby(self, pool: str) -> bool:
        """Return whether a pool is the standby pool, whose machines are off."""
        service = self.services.get(pool)
        return service is not None and service.is_standby

    def shares(self) -> list[PoolShare]:
        """Return the shares of all pools except the standby pool."""
        return [
            PoolShare(pool=name, partition=partition)
            for name in self.services
            if not self.is_standby(name)
            for partition in self.layout.partitions_of(name)
        ]

    def share_of(self, machine: str, pool: str) -> PoolShare | None:
        """Return the share that a machine belongs to in a pool; None if it has none."""
        partition = self.layout.partition_of_machine(pool, machine)
        return None if partition is None else PoolShare(pool=pool, partition=partition)

    def initial_size(self, share: PoolShare) -> float:
        """Return the initial number of machines of a share, averaged over its pool's shares."""
        shares = self.layout.partitions_of(share.pool)
        return self.layout.homes.get(share.pool, 0) / len(shares) if shares else 0.0

    def view_of(self, machine: Machine) -> PoolShareView | None:
        """Return the view of the share that a machine is in."""
        share = self.share_of(machine.name, machine.pool)
        return None if share is None else self.views.get(share)

    def leaving_workers(self) -> dict[int, list[str]]:
        """Return, by partition, the workers on which no task may start any more.

        This includes workers whose machines have gone: until their entries expire, the share's
        owner would prefer them for new tasks because they are empty.
        """
        leaving: dict[int, list[str]] = {}
        for intent in self.intents.values():
            if not intent.worker_id:
                continue
            partition = self._partition_of(intent)
            if partition is not None:
                leaving.setdefault(partition, []).append(intent.worker_id)
        for worker_id, departure in self.departed.items():
            if self.now_ms < departure.until_ms:
                leaving.setdefault(departure.partition, []).append(worker_id)
        return leaving

    def yielding_workers(self) -> set[str]:
        """Return the workers whose machines are to serve another pool while machines lack."""
        if not self.is_divided:
            return set()
        return {
            intent.worker_id
            for intent in self.intents.values()
            if intent.purpose is Purpose.MOVE
            and intent.worker_id
            and not self.is_standby(intent.pool)
        }

    def _partition_of(self, intent: Intent) -> int | None:
        """Return the partition of an intent's worker: the one that reported it, or the machine's.

        A worker whose entry names no machine is assigned by its own id.
        """
        for share, view in self.views.items():
            if intent.worker_id in view.load.workers:
                return share.partition
        share_now = self.share_of(intent.machine, intent.from_pool)
        return None if share_now is None else share_now.partition

    def record_departure(self, intent: Intent, *, until_ms: int) -> None:
        """Record a worker as departed if the list shows its machine in another incarnation."""
        if intent.worker_id is None or intent.ordered_ms is None:
            return
        machine = self.machines.get(intent.machine)
        if machine is not None and machine.worker_id == intent.worker_id:
            return
        partition = self._partition_of(intent)
        if partition is not None:
            self.departed[intent.worker_id] = DepartedWorker(partition=partition, until_ms=until_ms)

    def due_workers(self) -> list[str]:
        """Return the workers whose machines are still due for maintenance."""
        return [
            machine.worker_id
            for progress in self.waves.values()
            if not progress.is_complete
            for name in progress.wave.machines
            if name not in progress.begun
            and (machine := self.machines.get(name)) is not None
            and machine.worker_id
        ]


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetEvent:
    """An event at a time on the monotonic clock."""

    now_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class MachinesListed(FleetEvent):
    """The list of all machines, requested at `sent_ms`."""

    machines: list[Machine]
    sent_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolsMeasured(FleetEvent):
    """The loads of one partition's shares."""

    partition: int
    loads: list[PoolLoad]


@dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryRead(FleetEvent):
    """The operator's services and waves, and the layout of the services."""

    services: dict[str, Service]
    waves: dict[int, Wave]
    layout: Layout
    divides_machines: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderAnswered(FleetEvent):
    """An order was answered or has timed out."""

    machine: str
    error: CallError | None


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanDue(FleetEvent):
    """A planning round is due."""

    can_order: bool = True
    """Whether orders may be sent; if not, another process may own the fleet by now."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetEffect:
    """An action for the fleet's owner to perform."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderMachine(FleetEffect):
    """Send the order of an intent."""

    intent: Intent


@dataclass(frozen=True, kw_only=True, slots=True)
class SaveWave(FleetEffect):
    """Store which machines of a wave were begun, and report its status to the operator."""

    progress: WaveProgress
