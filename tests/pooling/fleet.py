"""A simulated fleet that drives the reducer without a process."""

from __future__ import annotations

from collections import Counter

from heatherkeel.ownership.partitions import Layout
from heatherkeel.platform.errors import CallError
from heatherkeel.platform.machines import Machine
from heatherkeel.platform.operator import Capacity, Service, Wave
from heatherkeel.pooling.models import (
    DirectoryRead,
    FleetEffect,
    FleetEvent,
    FleetOwnerState,
    Intent,
    MachinesListed,
    OrderAnswered,
    OrderMachine,
    PlanDue,
    PoolShare,
    PoolsMeasured,
)
from heatherkeel.pooling.reducer import reduce_fleet
from heatherkeel.questions.messages import Claim, Need, PoolLoad

CPU = 10_000
MEMORY_MB = 100_000


class Fleet:
    """Pools of machines with their demand, and the effects of all events."""

    def __init__(
        self,
        *,
        waves: list[Wave] | None = None,
        shares: int = 1,
        divides: bool = False,
        **pools: int,
    ) -> None:
        self.state = FleetOwnerState(token=3)
        self.now_ms = 10_000
        self.effects: list[FleetEffect] = []
        self.pool_of = {f"{pool}{n}": pool for pool, count in pools.items() for n in range(count)}
        self.state_of: dict[str, str] = {}
        self.used: dict[str, int] = {}
        self.long_running: dict[str, int] = {}
        self.wanted_memory_mb: dict[str, int] = {}
        self.lacking: dict[str, int] = {}
        self.needs: dict[str, list[Need]] = {}
        self.starved: dict[str, int] = {}
        """How many machines each pool's starved jobs lack."""
        self.labels_of: dict[str, list[str]] = {}
        self.arriving: dict[str, tuple[int, int]] = {}
        """Number of recent jobs and the processor that they request, by pool."""
        self.claims: dict[str, list[Claim]] = {}
        """What each pool claims; pools without an entry report none."""
        self.empty: set[str] = set()
        self.unresponsive: set[str] = set()
        """Machines whose workers are unresponsive."""
        self.unregistered: set[str] = set()
        """Machines whose workers their share's owner doesn't know."""
        self.reserved: set[str] = set()
        """Machines that waiting tasks need which fit on no other."""
        self.unlisted: set[str] = set()
        """Unregistered machines whose workers answer."""
        self.zone_of: dict[str, str] = {}
        services = {name: Service(name=name, is_standby=name == "spare") for name in pools}
        self.reduce(
            DirectoryRead(
                now_ms=self.now_ms,
                services=services,
                waves={wave.number: wave for wave in waves or []},
                layout=self.make_layout(shares, list(pools)),
                divides_machines=divides,
            )
        )
        self.list_machines()

    def make_layout(self, shares: int, pools: list[str]) -> Layout:
        """Return a layout with so many shares per pool and the machines spread over them."""
        return Layout(
            shares={name: tuple(range(shares)) for name in pools if name != "spare"},
            places={name: place for place, name in enumerate(self.pool_of)},
            homes=Counter(self.pool_of.values()),
        )

    def reduce(self, event: FleetEvent) -> list[FleetEffect]:
        """Reduce one event; record and return its effects."""
        effects = reduce_fleet(self.state, event)
        self.effects += effects
        return effects

    def list_machines(self) -> None:
        """Deliver the list of machines."""
        machines = [
            Machine(
                name=name,
                pool=pool,
                state=self.state_of.get(name, "up"),
                capacity=Capacity(cpu=CPU, memory_mb=MEMORY_MB),
                zone=self.zone_of.get(name, "a"),
                labels=self.labels_of.get(name, ["a", "r1"]),
                worker_id=None if pool == "spare" else f"i-{name}",
            )
            for name, pool in self.pool_of.items()
        ]
        self.reduce(MachinesListed(now_ms=self.now_ms, machines=machines, sent_ms=self.now_ms))

    def measure(self, *, partition: int = 0, **wanted: int) -> None:
        """Deliver the loads of a partition's shares."""
        loads = []
        for pool, cpu in wanted.items():
            members = [
                name
                for name, at in self.pool_of.items()
                if at == pool
                and self.state.share_of(name, at) == PoolShare(pool, partition)
                and name not in self.unregistered
            ]
            loads.append(
                PoolLoad(
                    service=pool,
                    wanted_cpu=cpu,
                    arrivals=self.arriving.get(pool, (0, 0))[0],
                    arriving_cpu=self.arriving.get(pool, (0, 0))[1],
                    needs=self.needs.get(pool, []),
                    lacking=self.lacking.get(pool, 0),
                    starved=self.starved.get(pool, 0),
                    claims=self.claims.get(pool),
                    wanted_memory_mb=self.wanted_memory_mb.get(pool, 0),
                    used_cpu=min(cpu, CPU * len(members)),
                    workers={f"i-{name}": self.used.get(name, 0) for name in members},
                    unheard=[f"i-{name}" for name in members if name in self.unresponsive],
                    reserved=[f"i-{name}" for name in members if name in self.reserved],
                    unlisted=[f"i-{name}" for name in sorted(self.unlisted)],
                    empty=[f"i-{name}" for name in members if name in self.empty],
                    lasting={
                        f"i-{name}": self.long_running[name]
                        for name in members
                        if name in self.long_running
                    },
                )
            )
        self.reduce(PoolsMeasured(now_ms=self.now_ms, partition=partition, loads=loads))

    def plan(self, *, after_ms: int = 100, can_order: bool = True) -> list[Intent]:
        """Run a planning round; return the intents that are ordered."""
        self.now_ms += after_ms
        effects = self.reduce(PlanDue(now_ms=self.now_ms, can_order=can_order))
        return [effect.intent for effect in effects if isinstance(effect, OrderMachine)]

    def answer(self, machine: str, error: CallError | None = None) -> None:
        """Answer an order."""
        self.reduce(OrderAnswered(now_ms=self.now_ms, machine=machine, error=error))
