"""Free capacity of workers, sorted to find a best fit without scanning all of them."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterator
from dataclasses import dataclass, field

from heatherkeel.core.state import FleetState
from heatherkeel.pools.models import InstanceStatus

from .models import Resources
from .quarantine import is_quarantined
from .reservations import capacity_of, free_resources, held_for

_PER_MILLE = 1_000
_NOTHING = Resources()


@dataclass(kw_only=True, slots=True)
class WorkerCapacity:
    """Free capacity of one worker in this round."""

    instance: str
    zone: str
    rack: str
    total: Resources
    cpu_millicores: int
    memory_mib: int
    accelerators: int
    held_for: str = ""

    def has_capacity_for(self, need: Resources) -> bool:
        """Return whether the free capacity covers a need."""
        return (
            need.memory_mib <= self.memory_mib
            and need.cpu_millicores <= self.cpu_millicores
            and need.accelerators <= self.accelerators
        )

    def reserve(self, need: Resources) -> None:
        """Reserve capacity."""
        self.cpu_millicores -= need.cpu_millicores
        self.memory_mib -= need.memory_mib
        self.accelerators -= need.accelerators

    def free(self) -> Resources:
        """Return the free capacity."""
        return Resources(
            cpu_millicores=self.cpu_millicores,
            memory_mib=self.memory_mib,
            accelerators=self.accelerators,
        )

    def remaining_per_mille(self, need: Resources) -> int:
        """Return what would remain of the need's dominant resource, CPU or memory, in per mille."""
        cpu_total = max(1, self.total.cpu_millicores)
        memory_total = max(1, self.total.memory_mib)
        if need.cpu_millicores * memory_total > need.memory_mib * cpu_total:
            return (self.cpu_millicores - need.cpu_millicores) * _PER_MILLE // cpu_total
        return (self.memory_mib - need.memory_mib) * _PER_MILLE // memory_total


Slot = tuple[int, str]
"""Free memory in MiB, and instance id."""


@dataclass(kw_only=True, slots=True)
class PoolCapacity:
    """Free capacity of one pool in this round."""

    by_id: dict[str, WorkerCapacity] = field(default_factory=dict)
    without_accelerators: list[Slot] = field(default_factory=list)
    """Workers without a free accelerator, by free memory."""
    with_accelerators: list[Slot] = field(default_factory=list)
    """Workers with a free accelerator, by free memory; the last choice for other jobs."""
    zones: set[str] = field(default_factory=set)
    racks: set[str] = field(default_factory=set)
    largest: Resources = _NOTHING
    """Largest total amount of each resource on any worker."""
    held_workers: dict[str, WorkerCapacity] = field(default_factory=dict)
    """Worker that is held for an urgent job, by job id."""
    failed_needs: list[Resources] = field(default_factory=list)

    def add(self, worker: WorkerCapacity) -> None:
        """Add a worker; call `sort` after the last one."""
        self.by_id[worker.instance] = worker
        if worker.held_for:
            self.held_workers[worker.held_for] = worker
        self.zones.add(worker.zone)
        self.racks.add(worker.rack)
        self.largest = _larger(self.largest, worker.total)
        self._slots(worker).append((worker.memory_mib, worker.instance))

    def sort(self) -> None:
        """Sort the workers by free memory."""
        self.without_accelerators.sort()
        self.with_accelerators.sort()

    def reserve(self, worker: WorkerCapacity, need: Resources) -> None:
        """Reserve capacity on a worker, and keep the workers sorted."""
        slots = self._slots(worker)
        del slots[bisect_left(slots, (worker.memory_mib, worker.instance))]
        worker.reserve(need)
        insort(self._slots(worker), (worker.memory_mib, worker.instance))

    def has_failed_before(self, need: Resources) -> bool:
        """Return whether an equal or smaller need has already failed in this round."""
        return any(
            failed.memory_mib <= need.memory_mib
            and failed.cpu_millicores <= need.cpu_millicores
            and failed.accelerators <= need.accelerators
            for failed in self.failed_needs
        )

    def workers_with_capacity(self, need: Resources, job_id: str) -> Iterator[WorkerCapacity]:
        """Yield the workers with enough capacity, those with the least free memory first."""
        lists = (
            (self.with_accelerators,)
            if need.accelerators > 0
            else (self.without_accelerators, self.with_accelerators)
        )
        for slots in lists:
            for index in range(bisect_left(slots, (need.memory_mib, "")), len(slots)):
                worker = self.by_id[slots[index][1]]
                if worker.held_for in ("", job_id) and worker.has_capacity_for(need):
                    yield worker

    def _slots(self, worker: WorkerCapacity) -> list[Slot]:
        return self.with_accelerators if worker.accelerators > 0 else self.without_accelerators


def find_free_capacity(state: FleetState, pools: frozenset[str] | None) -> dict[str, PoolCapacity]:
    """Return the free capacity of the workers that accept new jobs, by pool."""
    found: dict[str, PoolCapacity] = {}
    for instance_id, instance in state.pools.instances.items():
        if pools is not None and instance.pool not in pools:
            continue
        if instance.status is not InstanceStatus.SERVING or is_quarantined(state, instance_id):
            continue
        total = capacity_of(instance)
        free = free_resources(total, state.jobs.loads.get(instance_id))
        worker = WorkerCapacity(
            instance=instance_id,
            zone=instance.zone,
            rack=instance.rack,
            total=total,
            cpu_millicores=free.cpu_millicores,
            memory_mib=free.memory_mib,
            accelerators=free.accelerators,
            held_for=held_for(state, instance_id),
        )
        found.setdefault(instance.pool, PoolCapacity()).add(worker)
    for pool in found.values():
        pool.sort()
    return found


def _larger(one: Resources, other: Resources) -> Resources:
    return Resources(
        cpu_millicores=max(one.cpu_millicores, other.cpu_millicores),
        memory_mib=max(one.memory_mib, other.memory_mib),
        accelerators=max(one.accelerators, other.accelerators),
    )
