"""Carries out the planned faults; the kinds register themselves."""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Final, TypeVar

import trio

from .plan import FaultKind, PlannedFault
from .proxy import BOTH_WAYS, Link, Way
from .record import Disturbance
from .site import SoakInstance, SoakSite, SoakWorker
from .supervisor import Child

AWAY_S: Final = (0.1, 3.0)
"""How long a process that was ended is away, in seconds."""
DELAY_S: Final = (0.02, 0.6)
BYTES_PER_S: Final = (100_000.0, 400_000.0)

PartT = TypeVar("PartT")


@dataclass(kw_only=True)
class FaultRun:
    """Carries out the planned faults of a run, and counts them."""

    site: SoakSite
    done: Counter[str] = field(default_factory=Counter)
    skipped: Counter[str] = field(default_factory=Counter)
    """Faults whose process was away already."""
    start_lock: trio.Lock = field(default_factory=trio.Lock)
    disturbances: list[Disturbance] = field(default_factory=list)

    async def async_run(self, faults: list[PlannedFault], nursery: trio.Nursery) -> None:
        """Begin each fault at its time; each ends by itself in the nursery."""
        began_s = trio.current_time()
        for fault in faults:
            await trio.sleep_until(began_s + fault.at_s)
            nursery.start_soon(self._async_carry_out, fault)

    @contextmanager
    def disturb(self, fault: PlannedFault, part: str, what: str = "") -> Iterator[None]:
        """Write down that a part is disturbed within the context."""
        disturbance = Disturbance(part=part, kind=fault.kind, what=what, from_s=time.time())
        self.disturbances.append(disturbance)
        yield
        disturbance.until_s = time.time()

    def pick_worker(self, fault: PlannedFault) -> SoakWorker | None:
        """Return the chosen worker if it runs."""
        worker = pick(list(self.site.workers.values()), fault.choice)
        return worker if worker.is_running() and not worker.is_away else None

    def pick_instance(self, fault: PlannedFault) -> SoakInstance | None:
        """Return the chosen instance if it runs."""
        instance = pick(list(self.site.instances.values()), fault.choice)
        return instance if instance.is_running() and not instance.is_away else None

    async def _async_carry_out(self, fault: PlannedFault) -> None:
        was_done = await FAULTS[fault.kind].async_act(self, fault)
        (self.done if was_done else self.skipped)[fault.kind] += 1


Act = Callable[[FaultRun, PlannedFault], Awaitable[bool]]
"""Does a fault and ends it; returns False if there was nothing to do it to."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RegisteredFault:
    """A kind of fault."""

    kind: FaultKind
    async_act: Act


FAULTS: Final[dict[str, RegisteredFault]] = {}


def fault(name: str, *, weight: float, lasts_s: tuple[float, float]) -> Callable[[Act], Act]:
    """Register a kind of fault; it comes as often as its weight, and lasts so long."""

    def register(act: Act) -> Act:
        kind = FaultKind(weight=weight, lasts_s=lasts_s)
        FAULTS[name] = RegisteredFault(kind=kind, async_act=act)
        return act

    return register


def pick(parts: list[PartT], choice: float) -> PartT:
    """Return the part that a number from 0 to 1 stands for."""
    return parts[min(len(parts) - 1, int(choice * len(parts)))]


def between(bounds: tuple[float, float], share: float) -> float:
    """Return the value at a share of the way between two bounds."""
    return bounds[0] + share * (bounds[1] - bounds[0])


def pick_ways(variant: float) -> frozenset[Way]:
    """Return the directions to cut that a number from 0 to 1 stands for: half the time both."""
    to_target, to_source = frozenset({Way.TO_TARGET}), frozenset({Way.TO_SOURCE})
    return pick([BOTH_WAYS, BOTH_WAYS, to_target, to_source], variant)


async def async_cut(links: list[Link], ways: frozenset[Way], lasts_s: float) -> None:
    """Cut links for a while."""
    for link in links:
        link.cut(ways)
    await _async_heal_later(links, lasts_s)


async def async_harm(links: list[Link], fault: PlannedFault) -> None:
    """Delay links, limit their bandwidth, or reset their connections, for a while."""
    share = 3 * fault.variant % 1
    for link in links:
        match int(3 * fault.variant):
            case 0:
                link.slow_down(delay_s=between(DELAY_S, share))
            case 1:
                link.slow_down(bytes_per_s=between(BYTES_PER_S, share))
            case _:
                link.reset(stays=share < 0.5)
    await _async_heal_later(links, fault.lasts_s)


async def _async_heal_later(links: list[Link], lasts_s: float) -> None:
    await trio.sleep(lasts_s)
    for link in links:
        link.heal()


async def async_freeze(child: Child, lasts_s: float) -> None:
    """Freeze a process, and thaw it after a while."""
    child.freeze()
    await trio.sleep(lasts_s)
    child.thaw()
