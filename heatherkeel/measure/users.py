"""Both users at today's sizes, what happens to them, and how their instances are arranged."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

from heatherkeel.catalogue.models import (
    Budget,
    EntryPut,
    MaintenanceEntry,
    PoolEntry,
    Reserve,
    ServiceEntry,
)
from heatherkeel.pools.models import InstanceAdmit

from .const import TEAM

ZONES: Final = ("a", "b", "c")
SERVICES: Final = 5
WORKERS_PER_SERVICE: Final = 6
WORKERS: Final = SERVICES * WORKERS_PER_SERVICE
WORKERS_PER_RACK: Final = 4
NEED_PER_SERVICE: Final = 3
"""Instances that each service needs at its busiest, of the six that it has: an assumption."""

MINUTE_S: Final = 60
HOUR_S: Final = 3_600
DAY_S: Final = 24 * HOUR_S
WINDOW_S: Final = HOUR_S
"""Time in which a wave of all instances should end on an ordinary day: an assumption."""

SHARED_POOL: Final = "shared"


@dataclass(frozen=True, kw_only=True, slots=True)
class User:
    """One user; the reboot time is an assumption, the sizes are those of the brief.

    `closed_*_minute` are the minutes of the UTC day without planned stops, `start_minute` is
    when the wave is asked for, `weighs_most` the measure that counts most.
    """

    name: str
    reboot_s: int
    cpus: int
    memory_mib: int
    closed_from_minute: int
    closed_to_minute: int
    start_minute: int
    weighs_most: str


SHEETAL: Final = User(
    name="sheetal",
    reboot_s=8 * MINUTE_S,
    cpus=64,
    memory_mib=256 * 1024,
    closed_from_minute=0,
    closed_to_minute=0,
    start_minute=18 * 60,
    weighs_most="buffer_cost",
)
AGENCY: Final = User(
    name="agency",
    reboot_s=5 * MINUTE_S,
    cpus=16,
    memory_mib=64 * 1024,
    closed_from_minute=7 * 60,
    closed_to_minute=15 * 60,
    start_minute=15 * 60,
    weighs_most="roll_out_time_s",
)
USERS: Final = (SHEETAL, AGENCY)


@dataclass(frozen=True, kw_only=True, slots=True)
class Scenario:
    """What happens during a wave; times in seconds from its start.

    `lost_zone` and `lost_rack` name what fails at `lost_at_s` for `lost_for_s`. A reboot takes
    its declared time times a factor between the two of `reboot_factors`.
    """

    name: str
    lost_zone: str = ""
    lost_rack: str = ""
    lost_at_s: int = 0
    lost_for_s: int = 0
    reboot_factors: tuple[float, float] = (1.0, 1.0)
    never_back: tuple[int, ...] = ()
    """Workers, by number, that don't come back from their first stop."""
    extra_s: int = 0
    """What the scenario itself adds to the window in which a wave should end."""

    @property
    def window_s(self) -> int:
        """Return the time in which a wave should end."""
        return WINDOW_S + self.extra_s


SCENARIOS: Final = (
    Scenario(name="ordinary day"),
    Scenario(
        name="rack lost",
        lost_zone="a",
        lost_rack="r0",
        lost_at_s=600,
        lost_for_s=20 * MINUTE_S,
        extra_s=20 * MINUTE_S,
    ),
    Scenario(
        name="zone lost",
        lost_zone="a",
        lost_at_s=600,
        lost_for_s=30 * MINUTE_S,
        extra_s=30 * MINUTE_S,
    ),
    Scenario(name="declared times wrong", reboot_factors=(0.5, 2.5), extra_s=30 * MINUTE_S),
    Scenario(name="two don't come back", never_back=(7, 22), extra_s=HOUR_S),
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Arrangement:
    """A policy, and whether all services share one pool or each has its own."""

    name: str
    policy: str
    is_shared: bool


ARRANGEMENTS: Final = (
    Arrangement(name="heatherkeel", policy="spread", is_shared=True),
    Arrangement(name="earlier: largest rack first", policy="largest_rack_first", is_shared=True),
    Arrangement(name="one at a time", policy="one_at_a_time", is_shared=True),
    Arrangement(name="a fixed share at a time", policy="fixed_share", is_shared=True),
    Arrangement(name="a buffer per service", policy="spread", is_shared=False),
)
OURS: Final = ARRANGEMENTS[0]


def pool_of(arrangement: Arrangement, number: int) -> str:
    """Return the pool of a worker."""
    return SHARED_POOL if arrangement.is_shared else f"pool-{number % SERVICES}"


def pools_of(arrangement: Arrangement) -> list[str]:
    """Return all pools."""
    if arrangement.is_shared:
        return [SHARED_POOL]
    return [f"pool-{index}" for index in range(SERVICES)]


def need_of_pool(arrangement: Arrangement) -> int:
    """Return how many instances have to serve in each pool.

    The fold holds each service's budget by itself. Services that share a pool share its
    instances too, so each of them names what all of them need together.
    """
    return NEED_PER_SERVICE * SERVICES if arrangement.is_shared else NEED_PER_SERVICE


def catalogue(user: User, arrangement: Arrangement, *, workers: int) -> Iterator[EntryPut]:
    """Yield the user's catalogue."""
    pools = pools_of(arrangement)
    for pool in pools:
        yield _put(pool, PoolEntry(owner=TEAM, size=workers // len(pools)))
        yield _put(f"{pool}-care", maintenance(user, pool))
    budget = Budget(min_serving=need_of_pool(arrangement), reserve=Reserve.ZONE)
    for index in range(SERVICES):
        pool = pools[index % len(pools)]
        service = ServiceEntry(owner=TEAM, pool=pool, path_prefix=f"/s{index}", budget=budget)
        yield _put(f"service-{index}", service)


def maintenance(user: User, pool: str, *, request: int = 0) -> MaintenanceEntry:
    """Return how a pool is maintained: only the budgets limit how many stop side by side."""
    return MaintenanceEntry(
        owner=TEAM,
        pool=pool,
        max_concurrent=WORKERS,
        return_timeout_s=3 * user.reboot_s,
        closed_from_minute=user.closed_from_minute,
        closed_to_minute=user.closed_to_minute,
        wave_request=request,
    )


def _put(
    name: str, entry: PoolEntry | ServiceEntry | MaintenanceEntry, *, version: int = 0
) -> EntryPut:
    return EntryPut(name=name, expected_version=version, team=TEAM, entry=entry)


def edit(name: str, entry: MaintenanceEntry, *, version: int) -> EntryPut:
    """Return an edit of a maintenance entry."""
    return _put(name, entry, version=version)


def worker_name(number: int) -> str:
    """Return the id of a worker, by availability zone and number."""
    return f"{ZONES[number % len(ZONES)]}{number // len(ZONES):02d}"


def workers_of(user: User, arrangement: Arrangement, *, workers: int) -> Iterator[InstanceAdmit]:
    """Yield the workers: round the availability zones, four to a rack."""
    for number in range(workers):
        place = number // len(ZONES)
        yield InstanceAdmit(
            instance=worker_name(number),
            boot_id=f"{worker_name(number)}.0",
            zone=ZONES[number % len(ZONES)],
            rack=f"r{place // WORKERS_PER_RACK}",
            address="127.0.0.1:1",
            cpus=user.cpus,
            memory_mib=user.memory_mib,
            pool=pool_of(arrangement, number),
        )


def is_lost(scenario: Scenario, *, zone: str, rack: str, at_s: float) -> bool:
    """Tell whether an instance in this rack is down by the scenario's loss."""
    if not scenario.lost_zone or zone != scenario.lost_zone:
        return False
    if scenario.lost_rack and rack != scenario.lost_rack:
        return False
    return scenario.lost_at_s <= at_s < scenario.lost_at_s + scenario.lost_for_s
