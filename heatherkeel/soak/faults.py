"""Faults from outside, one registered function a kind."""

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
from .site import PLATFORM, SoakInstance, SoakSite, SoakWorker
from .supervisor import Child

START_WAIT_S: Final = 15.0
"""How long a fault waits for a task to start."""
AFTER_START_S: Final = (0.0, 0.25)
AWAY_S: Final = (0.1, 3.0)
DELAY_S: Final = (0.02, 0.6)
BYTES_PER_S: Final = (100_000, 400_000)

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
        return instance if instance.is_running() else None

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


def _pick_ways(variant: float) -> frozenset[Way]:
    return pick(
        [BOTH_WAYS, BOTH_WAYS, frozenset({Way.TO_TARGET}), frozenset({Way.TO_SOURCE})], variant
    )


async def _async_cut(links: list[Link], ways: frozenset[Way], lasts_s: float) -> None:
    for link in links:
        link.cut(ways)
    await trio.sleep(lasts_s)
    for link in links:
        link.heal()


@fault("cut-worker", weight=4, lasts_s=(0.5, 14.0))
async def async_cut_worker(run: FaultRun, fault: PlannedFault) -> bool:
    """Cut a worker off while its machine stays listed; its own reports may still arrive."""
    worker = run.pick_worker(fault)
    if worker is None:
        return False
    await _async_cut_worker(run, fault, worker)
    return True


@fault("cut-worker-at-start", weight=8, lasts_s=(4.0, 14.0))
async def async_cut_worker_at_start(run: FaultRun, fault: PlannedFault) -> bool:
    """Cut a worker off right after it has started a task."""
    return await _async_cut_at_start(run, fault, is_again=False)


@fault("cut-worker-at-restart", weight=4, lasts_s=(7.0, 14.0))
async def async_cut_worker_at_restart(run: FaultRun, fault: PlannedFault) -> bool:
    """Cut a worker off right after it has started a task that was started before."""
    return await _async_cut_at_start(run, fault, is_again=True)


async def _async_cut_at_start(run: FaultRun, fault: PlannedFault, *, is_again: bool) -> bool:
    with trio.move_on_after(START_WAIT_S) as scope:
        # One after the other, so that a series cuts off several workers.
        async with run.start_lock:
            machine = await run.site.histories.async_wait_start(is_again=is_again)
    if scope.cancelled_caught:
        return False
    await trio.sleep(between(AFTER_START_S, fault.choice))
    await _async_cut_worker(run, fault, run.site.workers[machine])
    return True


async def _async_cut_worker(run: FaultRun, fault: PlannedFault, worker: SoakWorker) -> None:
    links = worker.links() if fault.variant < 0.5 else [worker.calls]
    ways = _pick_ways(2 * fault.variant % 1)
    what = f"{', '.join(link.name for link in links)}: {', '.join(sorted(ways))}"
    with run.disturb(fault, worker.machine, what):
        await _async_cut(links, ways, fault.lasts_s)


@fault("freeze-worker", weight=1, lasts_s=(0.3, 9.0))
async def async_freeze_worker(run: FaultRun, fault: PlannedFault) -> bool:
    """Freeze a worker's process, and thaw it."""
    worker = run.pick_worker(fault)
    if worker is None or worker.child is None:
        return False
    with run.disturb(fault, worker.machine), run.site.histories.freezing(worker.machine):
        await _async_freeze(worker.child, fault.lasts_s)
    return True


@fault("kill-worker", weight=1, lasts_s=AWAY_S)
async def async_kill_worker(run: FaultRun, fault: PlannedFault) -> bool:
    """Kill a worker, and start it again after a while."""
    worker = run.pick_worker(fault)
    if worker is None:
        return False
    worker.is_away = True
    with run.disturb(fault, worker.machine):
        await run.site.async_kill_worker(worker)
        await trio.sleep(fault.lasts_s)
        await run.site.async_start_worker(worker)
    worker.is_away = False
    return True


@fault("freeze-instance", weight=1, lasts_s=(0.3, 6.0))
async def async_freeze_instance(run: FaultRun, fault: PlannedFault) -> bool:
    """Freeze an instance, and thaw it."""
    instance = run.pick_instance(fault)
    if instance is None or instance.child is None:
        return False
    with run.disturb(fault, instance.name):
        await _async_freeze(instance.child, fault.lasts_s)
    return True


async def _async_freeze(child: Child, lasts_s: float) -> None:
    child.freeze()
    await trio.sleep(lasts_s)
    child.thaw()


@fault("kill-instance", weight=1, lasts_s=AWAY_S)
async def async_kill_instance(run: FaultRun, fault: PlannedFault) -> bool:
    """Kill an instance, and start it again after a while; its peers find it at another port."""
    instance = run.pick_instance(fault)
    if instance is None or instance.child is None:
        return False
    with run.disturb(fault, instance.name):
        instance.child.kill()
        await trio.sleep(fault.lasts_s)
        await run.site.async_start_instance(instance)
    return True


@fault("cut-store", weight=1, lasts_s=(0.3, 6.0))
async def async_cut_store(run: FaultRun, fault: PlannedFault) -> bool:
    """Cut one instance off from the store."""
    instance = run.pick_instance(fault)
    if instance is None:
        return False
    with run.disturb(fault, instance.name):
        await _async_cut([instance.store], _pick_ways(fault.variant), fault.lasts_s)
    return True


@fault("store-silent", weight=0.5, lasts_s=(0.2, 3.0))
async def async_silence_store(run: FaultRun, fault: PlannedFault) -> bool:
    """Let the store answer nobody."""
    links = [instance.store for instance in run.site.instances.values()]
    with run.disturb(fault, PLATFORM):
        await _async_cut(links, BOTH_WAYS, fault.lasts_s)
    return True


@fault("configure", weight=1, lasts_s=(0.0, 0.0))
async def async_configure(run: FaultRun, fault: PlannedFault) -> bool:
    """Change the configuration: a queue comes, and another one goes."""
    await run.site.async_configure()
    return True
