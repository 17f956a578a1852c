"""The size to design for, in records: workers, pools, teams, services, entry instances."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Final

from heatherkeel.catalogue.models import (
    Budget,
    CatalogueEntry,
    EntryPut,
    MaintenanceEntry,
    PoolEntry,
    Reserve,
    ServiceClass,
    ServiceEntry,
    TeamEntry,
)
from heatherkeel.core.models import RecordBody
from heatherkeel.membership.models import EntryJoin
from heatherkeel.pools.models import InstanceAdmit

from .const import TEAM

WORKERS: Final = 7_100
POOLS: Final = 201
TEAMS: Final = 560
ZONES: Final = 24
WORKERS_PER_RACK: Final = 4
ENTRIES: Final = 8
"""Entry instances of today; what more of them cost is a slope of its own."""

LEASE_MS: Final = 15_000


def pool_name(index: int) -> str:
    """Return the name of a pool."""
    return f"pool-{index:03d}"


def entry_id(index: int) -> str:
    """Return the id of an entry instance."""
    return f"entry-{index:04d}"


def worker_id(index: int) -> str:
    """Return the id of a worker."""
    return f"worker-{index:05d}"


def zone_name(index: int) -> str:
    """Return the availability zone of the worker or entry instance with this index."""
    return f"zone-{index % ZONES:02d}"


def put(name: str, entry: CatalogueEntry, *, version: int = 0) -> EntryPut:
    """Return an edit by the bench's team."""
    return EntryPut(name=name, expected_version=version, team=TEAM, entry=entry)


def pool_records(index: int, *, workers: int) -> Iterator[RecordBody]:
    """Yield a pool with its service and its maintenance."""
    name = pool_name(index)
    size = max(1, workers // POOLS)
    budget = Budget(min_serving=size // 2, reserve=Reserve.ZONE)
    service = ServiceEntry(
        owner=TEAM,
        service_class=ServiceClass.INTERACTIVE,
        pool=name,
        path_prefix=f"/{name}",
        budget=budget,
    )
    yield put(name, PoolEntry(owner=TEAM, size=size))
    yield put(f"{name}-service", service)
    yield put(f"{name}-care", MaintenanceEntry(owner=TEAM, pool=name, max_concurrent=4))


def team_record(index: int) -> EntryPut:
    """Return a team with its quota."""
    quota = TeamEntry(
        owner=TEAM, cpu_quota=4_000, memory_quota_mib=16_000_000, accelerator_quota=20
    )
    return put(f"team-{index:03d}", quota)


def worker_record(index: int, *, pools: int = POOLS) -> InstanceAdmit:
    """Return a worker; workers go round the pools, availability zones and racks."""
    rack = index // ZONES // WORKERS_PER_RACK
    return InstanceAdmit(
        instance=worker_id(index),
        boot_id=f"boot-{index:05d}-1",
        zone=zone_name(index),
        rack=f"rack-{rack:03d}",
        # On loopback, where nobody listens: an entry process may try to reach its workers.
        address=f"127.{1 + (index >> 16 & 127)}.{index >> 8 & 255}.{index & 255}:1",
        cpus=64,
        memory_mib=262_144,
        accelerators=index % 2 * 3,
        pool=pool_name(index % pools),
    )


def join_record(index: int) -> EntryJoin:
    """Return the join of an entry instance."""
    return EntryJoin(
        instance=entry_id(index),
        incarnation=f"{index:032x}",
        zone=zone_name(index),
        peer_address=f"127.200.{index >> 8}.{index & 255}:1",
        lease_ms=LEASE_MS,
    )


def fleet_records(
    *, workers: int, pools: int = POOLS, teams: int = TEAMS, entries: int = ENTRIES
) -> Iterator[RecordBody]:
    """Yield a whole fleet of the given size."""
    for index in range(pools):
        yield from pool_records(index, workers=workers)
    for index in range(teams):
        yield team_record(index)
    for index in range(entries):
        yield join_record(index)
    for index in range(workers):
        yield worker_record(index, pools=pools)
