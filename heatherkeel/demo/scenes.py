"""What happens while the load runs, one scene after the other."""

from __future__ import annotations

from collections import Counter
from collections.abc import Awaitable, Callable

import trio

from heatherkeel.load.models import Outcome, Promise
from heatherkeel.load.tally import Tally
from heatherkeel.measure.const import POOL, SERVICE

from .callers import Callers
from .const import (
    DEADLINE_MS,
    KILLED_ZONE,
    MAINTENANCE,
    MAINTENANCE_ENTRY,
    POLL_S,
    QUIET_S,
    SCENE_TIMEOUT_S,
    ZONES,
    service_entry,
)
from .models import Played, Story
from .stage import Stage


async def async_play(stage: Stage) -> Played:
    """Run all scenes under load, and judge what the targets counted."""
    story = Story()
    callers = Callers(entries=tuple(entry.http for entry in stage.entries.values()))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(callers.async_run)
        await trio.sleep(QUIET_S)
        await _async_edit(stage, story)
        await _async_maintain(stage, story)
        await _async_kill(stage, story)
        await trio.sleep(QUIET_S)
        callers.stop()
    story.retried = callers.retried
    await _async_judge(stage, story, callers.tally)
    return Played(story=story, tally=callers.tally)


async def _async_edit(stage: Stage, story: Story) -> None:
    started_s = trio.current_time()
    offset = await stage.async_put(SERVICE, service_entry(deadline_ms=DEADLINE_MS - 1), version=1)

    async def is_in_force() -> bool:
        answers = [await stage.async_get(zone, "/status") for zone in ZONES]
        return all(answer["offset_in_force"] >= offset for answer in answers)

    if await _async_wait(is_in_force):
        story.edit_in_force_s = trio.current_time() - started_s
    else:
        story.broken.append("the edit did not come into force everywhere")


async def _async_maintain(stage: Stage, story: Story) -> None:
    """Ask for a wave by an edit, as an operator would, and wait until it has ended."""
    started_s = trio.current_time()
    await stage.async_put(MAINTENANCE, MAINTENANCE_ENTRY)

    async def has_ended() -> bool:
        answer = await stage.async_get(ZONES[0], "/maintenance")
        wave = answer["waves"].get(POOL)
        return wave is not None and wave["finished_ms"] > 0

    if await _async_wait(has_ended):
        story.wave_s = trio.current_time() - started_s
    else:
        status = await stage.async_get(ZONES[0], "/maintenance")
        story.broken.append(f"the wave did not end: {status}")


async def _async_kill(stage: Stage, story: Story) -> None:
    entry = stage.entries[KILLED_ZONE]
    story.killed = entry.name
    entry.popen.kill()
    await trio.to_thread.run_sync(entry.popen.wait)


async def _async_judge(stage: Stage, story: Story, tally: Tally) -> None:
    tally.compare(Counter(await stage.async_runs()))
    story.totals = await stage.async_totals()
    if story.totals.rebooted != len(stage.targets):
        story.broken.append(f"{story.totals.rebooted} of {len(stage.targets)} targets rebooted")
    if story.totals.cut:
        story.broken.append(f"{story.totals.cut} requests in progress were cut by a stop")
    unanswered = [
        reply
        for reply in tally.told.values()
        if reply.request.idempotent and reply.outcome is not Outcome.RAN
    ]
    if unanswered:
        story.broken.append(f"{len(unanswered)} idempotent requests had no whole answer")
    broken = Counter(breach.promise for breach in tally.breaches)
    story.totals.doubled = broken[Promise.AT_MOST_ONCE]
    story.broken += [f"{promise}: {count} requests" for promise, count in broken.items()]


async def _async_wait(condition: Callable[[], Awaitable[bool]]) -> bool:
    """Poll a condition, and say whether it came true in time."""
    with trio.move_on_after(SCENE_TIMEOUT_S):
        while not await condition():
            await trio.sleep(POLL_S)
        return True
    return False
