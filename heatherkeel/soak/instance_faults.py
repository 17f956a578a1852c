"""Faults of instances, of their links, of the store and of the configuration."""

from __future__ import annotations

import signal
from contextlib import ExitStack
from typing import Any, Final

import trio

from .faults import (
    AWAY_S,
    DELAY_S,
    FaultRun,
    async_cut,
    async_freeze,
    async_harm,
    between,
    fault,
    pick,
    pick_ways,
)
from .plan import PlannedFault
from .proxy import BOTH_WAYS, Link
from .site import PLATFORM, ZONES, SoakInstance

GRACE_S: Final = 8.0
"""How long an instance that is asked to end may take, in seconds."""
STATUS_S: Final = (60.0, 240.0)
MAX_CUT_ANSWERS: Final = 5


@fault("freeze-instance", weight=1, lasts_s=(0.3, 6.0))
async def async_freeze_instance(run: FaultRun, fault: PlannedFault) -> bool:
    """Freeze an instance, and thaw it."""
    instance = run.pick_instance(fault)
    if instance is None or instance.child is None:
        return False
    with run.disturb(fault, instance.name):
        await async_freeze(instance.child, fault.lasts_s)
    return True


@fault("kill-instance", weight=1, lasts_s=AWAY_S)
async def async_kill_instance(run: FaultRun, fault: PlannedFault) -> bool:
    """Kill an instance, and start it again after a while."""
    instance = run.pick_instance(fault)
    if instance is None or instance.child is None:
        return False
    with run.disturb(fault, instance.name):
        instance.is_away = True
        instance.child.kill()
        await _async_start_again(run, fault, instance)
    return True


@fault("stop-instance", weight=1, lasts_s=AWAY_S)
async def async_stop_instance(run: FaultRun, fault: PlannedFault) -> bool:
    """Ask an instance to end, and start it again after a while."""
    instance = run.pick_instance(fault)
    if instance is None or instance.child is None:
        return False
    with run.disturb(fault, instance.name):
        instance.is_away = True
        instance.child.terminate()
        with trio.move_on_after(GRACE_S):
            await instance.child.async_wait()
        instance.child.kill()
        await _async_start_again(run, fault, instance)
    return True


async def _async_start_again(run: FaultRun, fault: PlannedFault, instance: SoakInstance) -> None:
    """Start an instance again; its peers find it at the same address or at another one."""
    await trio.sleep(fault.lasts_s)
    await run.site.async_start_instance(instance, keeps_address=fault.variant < 0.5)
    instance.is_away = False


@fault("reload-instance", weight=0.5, lasts_s=(0.0, 0.0))
async def async_reload_instance(run: FaultRun, fault: PlannedFault) -> bool:
    """Change an instance's settings, and tell it by SIGHUP."""
    instance = run.pick_instance(fault)
    if instance is None or instance.child is None:
        return False
    instance.write_settings(status_s=round(between(STATUS_S, fault.variant)))
    instance.child.popen.send_signal(signal.SIGHUP)
    return True


@fault("harm-callers", weight=1, lasts_s=(0.5, 6.0))
async def async_harm_callers(run: FaultRun, fault: PlannedFault) -> bool:
    """Delay, slow down, reset or cut the connections of callers to an instance."""
    instance = run.pick_instance(fault)
    if instance is None:
        return False
    with run.disturb(fault, instance.name):
        await _async_harm_or_cut([instance.callers], fault)
    return True


@fault("harm-store", weight=1, lasts_s=(0.5, 6.0))
async def async_harm_store(run: FaultRun, fault: PlannedFault) -> bool:
    """Delay, slow down or reset the connections of an instance to the store."""
    instance = run.pick_instance(fault)
    if instance is None:
        return False
    with run.disturb(fault, instance.name):
        await async_harm([instance.store], fault)
    return True


@fault("cut-store", weight=1, lasts_s=(0.3, 10.0))
async def async_cut_store(run: FaultRun, fault: PlannedFault) -> bool:
    """Cut one instance off from the store."""
    instance = run.pick_instance(fault)
    if instance is None:
        return False
    with run.disturb(fault, instance.name):
        await async_cut([instance.store], pick_ways(fault.variant), fault.lasts_s)
    return True


@fault("cut-zone", weight=1, lasts_s=(0.3, 8.0))
async def async_cut_zone(run: FaultRun, fault: PlannedFault) -> bool:
    """Cut the instances of one availability zone off from the platform."""
    zone = pick(list(ZONES), fault.choice)
    instances = [part for part in run.site.instances.values() if part.zone == zone]
    links = [link for part in instances for link in (part.store, part.cloud)]
    with ExitStack() as stack:
        for instance in instances:
            stack.enter_context(run.disturb(fault, instance.name))
        await async_cut(links, BOTH_WAYS, fault.lasts_s)
    return True


async def _async_harm_or_cut(links: list[Link], fault: PlannedFault) -> None:
    if fault.choice * 7 % 1 < 0.3:
        await async_cut(links, pick_ways(fault.variant), fault.lasts_s)
    else:
        await async_harm(links, fault)


@fault("store-silent", weight=0.5, lasts_s=(0.2, 3.0))
async def async_silence_store(run: FaultRun, fault: PlannedFault) -> bool:
    """Let the store answer nobody."""
    links = [instance.store for instance in run.site.instances.values()]
    with run.disturb(fault, PLATFORM):
        await async_cut(links, BOTH_WAYS, fault.lasts_s)
    return True


@fault("store-refuses", weight=0.5, lasts_s=(0.2, 3.0))
async def async_refuse_store(run: FaultRun, fault: PlannedFault) -> bool:
    """Let the store refuse every call."""
    return await _async_disturb_store(run, fault, "store_refuses", True, False)


@fault("store-late", weight=0.5, lasts_s=(0.5, 5.0))
async def async_delay_store(run: FaultRun, fault: PlannedFault) -> bool:
    """Let the store answer late."""
    delay_s = round(between(DELAY_S, fault.variant), 3)
    return await _async_disturb_store(run, fault, "store_delay_s", delay_s, 0.0)


@fault("store-cuts-answers", weight=0.5, lasts_s=(0.2, 1.0))
async def async_cut_answers(run: FaultRun, fault: PlannedFault) -> bool:
    """Let the store break off some answers."""
    answers = 1 + int(MAX_CUT_ANSWERS * fault.variant)
    return await _async_disturb_store(run, fault, "cut_answers", answers, 0)


@fault("store-loses-appends", weight=0.5, lasts_s=(0.2, 1.0))
async def async_lose_appends(run: FaultRun, fault: PlannedFault) -> bool:
    """Let the store carry some appends out without an answer."""
    return await _async_disturb_store(run, fault, "lose_appends", 1 + int(3 * fault.variant), 0)


async def _async_disturb_store(
    run: FaultRun, fault: PlannedFault, name: str, bad: Any, sound: Any
) -> bool:
    with run.disturb(fault, PLATFORM, f"{name}: {bad}"):
        await run.site.async_control("POST", "/faults", {name: bad})
        await trio.sleep(fault.lasts_s)
        await run.site.async_control("POST", "/faults", {name: sound})
    return True


@fault("configure", weight=1, lasts_s=(0.0, 0.0))
async def async_configure(run: FaultRun, fault: PlannedFault) -> bool:
    """Change the configuration: a queue comes, and another one goes."""
    await run.site.async_configure()
    return True
