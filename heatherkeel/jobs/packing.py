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
class Room:
    """Free capacity of one worker in this round."""

    instance: str
    zone: str
    rack: str
    capacity: Resources
    cpu_millicores: int
    memory_mib: int
    accelerators: int
    held_for: str = ""

    def has(self, need: Resources) -> bool:
        """Return whether the free capacity covers a need."""
        return (
            need.memory_mib <= self.memory_mib
            and need.cpu_millicores <= self.cpu_millicores
            and need.accelerators <= self.accelerators
        )

    def take(self, need: Resources) -> None:
        """Reserve capacity."""
        self.cpu_millicores -= need.cpu_millicores
        self.memory_mib -= need.memory_mib
        self.accelerators -= need.accelerators

    def left(self) -> Resources:
        """Return the free capacity."""
        return Resources(
            cpu_millicores=self.cpu_millicores,
            memory_mib=self.memory_mib,
            accelerators=self.accelerators,
        )

    def left_over(self, need: Resources) -> int:
        """Return what would remain of the need's dominant resource, CPU or memory, in per mille."""
        cpu_total = max(1, self.capacity.cpu_millicores)
        memory_total = max(1, self.capacity.memory_mib)
        if need.cpu_millicores * memory_total > need.memory_mib * cpu_total:
            return (self.cpu_millicores - need.cpu_millicores) * _PER_MILLE // cpu_total
        return (self.memory_mib - need.memory_mib) * _PER_MILLE // memory_total


Slot = tuple[int, str]
"""Free memory in MiB, and instance id."""


@dataclass(kw_only=True, slots=True)
class PoolRooms:
    """Free capacity of one pool in this round."""

    by_id: dict[str, Room] = field(default_factory=dict)
    plain: list[Slot] = field(default_factory=list)
    """Workers without a free accelerator, by free memory."""
    accelerated: list[Slot] = field(default_factory=list)
    """Workers with a free accelerator, by free memory; the last choice for other jobs."""
    zones: set[str] = field(default_factory=set)
    racks: set[str] = field(default_factory=set)
    largest: Resources = _NOTHING
    """Largest total amount of each resource on any worker."""
    held: dict[str, Room] = field(default_factory=dict)
    """Worker that is held for an urgent job, by job id."""
    failed_needs: list[Resources] = field(default_factory=list)

    def add(self, room: Room) -> None:
        """Add a worker; call `sort` after the last one."""
        self.by_id[room.instance] = room
        if room.held_for:
            self.held[room.held_for] = room
        self.zones.add(room.zone)
        self.racks.add(room.rack)
        self.largest = _larger(self.largest, room.capacity)
        self._slots(room).append((room.memory_mib, room.instance))

    def sort(self) -> None:
        """Sort the workers by free memory."""
        self.plain.sort()
        self.accelerated.sort()

    def take(self, room: Room, need: Resources) -> None:
        """Reserve capacity on a worker, and keep the workers sorted."""
        slots = self._slots(room)
        del slots[bisect_left(slots, (room.memory_mib, room.instance))]
        room.take(need)
        insort(self._slots(room), (room.memory_mib, room.instance))

    def is_hopeless(self, need: Resources) -> bool:
        """Return whether an equal or smaller need has already failed in this round."""
        return any(
            failed.memory_mib <= need.memory_mib
            and failed.cpu_millicores <= need.cpu_millicores
            and failed.accelerators <= need.accelerators
            for failed in self.failed_needs
        )

    def with_room(self, need: Resources, job_id: str) -> Iterator[Room]:
        """Yield the workers with enough capacity, those with the least free memory first."""
        lists = (self.accelerated,) if need.accelerators > 0 else (self.plain, self.accelerated)
        for slots in lists:
            for index in range(bisect_left(slots, (need.memory_mib, "")), len(slots)):
                room = self.by_id[slots[index][1]]
                if room.held_for in ("", job_id) and room.has(need):
                    yield room

    def _slots(self, room: Room) -> list[Slot]:
        return self.accelerated if room.accelerators > 0 else self.plain


def find_rooms(state: FleetState, pools: frozenset[str] | None) -> dict[str, PoolRooms]:
    """Return the free capacity of the workers that accept new jobs, by pool."""
    rooms: dict[str, PoolRooms] = {}
    for instance_id, instance in state.pools.instances.items():
        if pools is not None and instance.pool not in pools:
            continue
        if instance.status is not InstanceStatus.SERVING or is_quarantined(state, instance_id):
            continue
        capacity = capacity_of(instance)
        free = free_resources(capacity, state.jobs.loads.get(instance_id))
        room = Room(
            instance=instance_id,
            zone=instance.zone,
            rack=instance.rack,
            capacity=capacity,
            cpu_millicores=free.cpu_millicores,
            memory_mib=free.memory_mib,
            accelerators=free.accelerators,
            held_for=held_for(state, instance_id),
        )
        rooms.setdefault(instance.pool, PoolRooms()).add(room)
    for pool in rooms.values():
        pool.sort()
    return rooms


def _larger(one: Resources, other: Resources) -> Resources:
    return Resources(
        cpu_millicores=max(one.cpu_millicores, other.cpu_millicores),
        memory_mib=max(one.memory_mib, other.memory_mib),
        accelerators=max(one.accelerators, other.accelerators),
    )
