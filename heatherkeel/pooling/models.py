"""What the fleet's owner knows about machines, pools and waves."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from heatherkeel.ownership.partitions import Layout
from heatherkeel.platform.errors import CallError
from heatherkeel.platform.machines import Machine
from heatherkeel.platform.operator import Service, Wave
from heatherkeel.questions.messages import PoolLoad


class Purpose(StrEnum):
    """Why a machine is taken out of service."""

    MOVE = "move"
    MAINTAIN = "maintain"


class Share(NamedTuple):
    """A partition's part of a pool: its own jobs, and the machines that may run them."""

    pool: str
    partition: int


@dataclass(kw_only=True, slots=True)
class Intent:
    """A machine that is to go: first emptied, then ordered away."""

    machine: str
    worker_id: str | None
    purpose: Purpose
    from_pool: str
    pool: str = ""
    """Where it moves to."""
    wave: int = 0
    began_ms: int
    ordered_ms: int | None = None
    """When the order was last given."""
    is_confirmed: bool = False
    """The order was answered with success."""


class DepartedWorker(NamedTuple):
    """A worker whose machine has gone, though its entry may stand for some seconds more."""

    partition: int
    """Whose worker it was."""
    until_ms: int


@dataclass(kw_only=True, slots=True)
class WaveProgress:
    """A wave, and the machines whose maintenance has surely begun."""

    wave: Wave
    began_ms: int
    begun: set[str] = field(default_factory=set)
    is_complete: bool = False


@dataclass(kw_only=True, slots=True)
class ShareView:
    """A share's load as last told, and its recent highest."""

    load: PoolLoad
    received_ms: int
    peaks: list[tuple[int, float]] = field(default_factory=list)
    """When which processor was wanted, the highest of later ones only."""
    surplus: list[tuple[int, int]] = field(default_factory=list)
    """When how many machines could be spared."""


@dataclass(kw_only=True, slots=True)
class FleetState:
    """Everything that the fleet's owner knows."""

    token: int
    now_ms: int = 0
    machines: dict[str, Machine] = field(default_factory=dict)
    listed_ms: int | None = None
    services: dict[str, Service] = field(default_factory=dict)
    layout: Layout = field(default_factory=Layout)
    views: dict[Share, ShareView] = field(default_factory=dict)
    arrival_rates: dict[str, list[tuple[int, float]]] = field(default_factory=dict)
    """When which pace of arrivals was seen in a pool, as a share's part of it."""
    waves: dict[int, WaveProgress] = field(default_factory=dict)
    intents: dict[str, Intent] = field(default_factory=dict)
    departed: dict[str, DepartedWorker] = field(default_factory=dict)
    """Workers whose machines were ordered away and have gone, by their ids."""
    blocked_until_ms: dict[str, int] = field(default_factory=dict)
    """Machines that an earlier owner has ordered away just now, and until when we may not."""
    logged_ms: int = 0
    """When the log was last told how the pools stand."""

    def standby_pool(self) -> str | None:
        """Return the pool whose machines are off, if there is one."""
        return next((name for name, service in self.services.items() if service.is_standby), None)

    def is_standby(self, pool: str) -> bool:
        """Say whether a pool's machines are off."""
        service = self.services.get(pool)
        return service is not None and service.is_standby

    def shares(self) -> list[Share]:
        """Return the shares of all pools that serve."""
        return [
            Share(pool=name, partition=partition)
            for name in self.services
            if not self.is_standby(name)
            for partition in self.layout.partitions_of(name)
        ]

    def share_of(self, machine: str, pool: str) -> Share | None:
        """Return the share that a machine belongs to while it is in a pool; None if it has none."""
        partition = self.layout.partition_of_machine(pool, machine)
        return None if partition is None else Share(pool=pool, partition=partition)

    def initial_size(self, share: Share) -> float:
        """Return how many machines a share had at first, on average of its pool's shares."""
        shares = self.layout.partitions_of(share.pool)
        return self.layout.homes.get(share.pool, 0) / len(shares) if shares else 0.0

    def view_of(self, machine: Machine) -> ShareView | None:
        """Return the view of the share that a machine is in."""
        share = self.share_of(machine.name, machine.pool)
        return None if share is None else self.views.get(share)

    def leaving_workers(self) -> dict[int, list[str]]:
        """Return, by partition, the workers on which nothing may start any more.

        One whose machine has gone is still named: its entry stands for some seconds, and an empty
        worker is what its share's owner would choose first. Of one day's starts 212 met nobody when
        it wasn't, and none since.
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

    def _partition_of(self, intent: Intent) -> int | None:
        """Return whose worker is to go: the partition that has told of it, or that should.

        A worker whose entry names no machine is dealt out by its own id.
        """
        for share, view in self.views.items():
            if intent.worker_id in view.load.workers:
                return share.partition
        share_now = self.share_of(intent.machine, intent.from_pool)
        return None if share_now is None else share_now.partition

    def record_departure(self, intent: Intent, *, until_ms: int) -> None:
        """Keep tasks from a worker whose machine the list shows in another life."""
        if intent.worker_id is None or intent.ordered_ms is None:
            return
        machine = self.machines.get(intent.machine)
        if machine is not None and machine.worker_id == intent.worker_id:
            return
        partition = self._partition_of(intent)
        if partition is not None:
            self.departed[intent.worker_id] = DepartedWorker(partition=partition, until_ms=until_ms)

    def due_workers(self) -> list[str]:
        """Return the workers whose machines still have to be maintained."""
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
    """Something that happened, at a time on the steady clock."""

    now_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class MachinesListed(FleetEvent):
    """The list of all machines, asked for at `sent_ms`."""

    machines: list[Machine]
    sent_ms: int


@dataclass(frozen=True, kw_only=True, slots=True)
class PoolsMeasured(FleetEvent):
    """The loads of one partition's pools."""

    partition: int
    loads: list[PoolLoad]


@dataclass(frozen=True, kw_only=True, slots=True)
class DirectoryRead(FleetEvent):
    """The services and waves that the operator wants, and how services are laid out."""

    services: dict[str, Service]
    waves: dict[int, Wave]
    layout: Layout


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderAnswered(FleetEvent):
    """An order was answered, or its time ran out."""

    machine: str
    error: CallError | None


@dataclass(frozen=True, kw_only=True, slots=True)
class PlanDue(FleetEvent):
    """It is time to look at the pools."""

    may_order: bool = True
    """Orders may be given; if not, another process may be the fleet's owner by now."""


@dataclass(frozen=True, kw_only=True, slots=True)
class FleetEffect:
    """Something that the fleet's owner does."""


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderMachine(FleetEffect):
    """Give the order of an intent."""

    intent: Intent


@dataclass(frozen=True, kw_only=True, slots=True)
class SaveWave(FleetEffect):
    """Store which machines of a wave were begun, and tell the operator how it is."""

    progress: WaveProgress
