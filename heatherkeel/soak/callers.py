"""Callers: they hand jobs in, ask for their states and cancel some, on open connections."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from functools import partial
from random import Random
from typing import Any, Final

import trio

from heatherkeel.standins.job_calls import GONE, NEVER_RUNS, NO_SUCH_QUEUE, JobCaller, Said

from .plan import PlannedJob

CALL_TIMEOUT_S: Final = 3.0
PAUSE_S: Final = 0.3
LATER_QUESTIONS: Final = 3
LATER_S: Final = 2.0
"""Longest pause before a question after a job has ended, in seconds."""
MAX_SUBMITS: Final = 12
"""Attempts to hand a job in, until its caller gives up."""


class Fate(StrEnum):
    """What a caller knows about whether its job was accepted."""

    PENDING = "pending"
    """It is being handed in."""
    UNKNOWN = "unknown"
    ACCEPTED = "accepted"
    REFUSED = "refused"


class JobState(StrEnum):
    """States that callers are shown."""

    PENDING = "pending"
    ACTIVE = "active"
    COMPLETE = "complete"
    FAILED = "failed"
    CANCELED = "canceled"


FINAL: Final = frozenset({JobState.COMPLETE, JobState.FAILED, JobState.CANCELED})


@dataclass(frozen=True, kw_only=True, slots=True)
class Shown:
    """An answer about a job's state; `state` is empty if the job was said not to exist."""

    at_s: float
    asked_s: float
    instance: str
    state: str


@dataclass(frozen=True, kw_only=True, slots=True)
class Call:
    """One call of a caller."""

    asked_s: float
    at_s: float
    instance: str
    status: int | None
    """None if no whole answer came."""

    def is_served(self) -> bool:
        """Return whether it was answered as an instance does that works."""
        return self.status is not None and (200 <= self.status < 300 or self.status == GONE)


@dataclass(frozen=True, kw_only=True, slots=True)
class QueueAnswer:
    """What an instance said of a queue."""

    asked_s: float
    at_s: float
    instance: str
    prefix: str
    is_there: bool


@dataclass(kw_only=True)
class JobHistory:
    """What a caller did with one job, and what it was told; times since 1970, in seconds."""

    plan: PlannedJob
    fate: Fate = Fate.PENDING
    accepted_s: float = 0.0
    cancel_sent_s: float = 0.0
    cancelled_s: float = 0.0
    """When its cancellation was acknowledged."""
    shown: list[Shown] = field(default_factory=list)

    def is_finished(self) -> bool:
        """Return whether its caller expects nothing more of it."""
        if self.fate is Fate.ACCEPTED:
            return self.final() is not None
        return self.fate is not Fate.PENDING

    def final(self) -> Shown | None:
        """Return the first answer with a state that is final."""
        return next((shown for shown in self.shown if shown.state in FINAL), None)

    def until(self, at_s: float) -> JobHistory:
        """Return what had been shown until then."""
        return replace(self, shown=[shown for shown in self.shown if shown.at_s <= at_s])

    def first_shown(self, state: JobState) -> Shown | None:
        """Return the first answer with a state."""
        return next((shown for shown in self.shown if shown.state == state), None)


@dataclass(kw_only=True)
class Callers:
    """All callers of a run; each keeps a connection to each instance open."""

    addresses: dict[str, str]
    """Of the instances, by name."""
    jobs: list[JobHistory] = field(default_factory=list)
    calls: list[Call] = field(default_factory=list)
    queue_answers: list[QueueAnswer] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.callers = {
            name: JobCaller(address=address, timeout_s=CALL_TIMEOUT_S)
            for name, address in self.addresses.items()
        }

    async def close(self) -> None:
        """Close all connections."""
        for caller in self.callers.values():
            await caller.close()

    async def async_run(self, plans: list[PlannedJob], nursery: trio.Nursery) -> None:
        """Hand the jobs in at their times, each by a caller that goes on in the nursery."""
        began_s = trio.current_time()
        for plan in plans:
            await trio.sleep_until(began_s + plan.at_s)
            job = JobHistory(plan=plan)
            self.jobs.append(job)
            nursery.start_soon(self._async_follow, job)

    async def async_ask_queues(
        self, random: Random, list_prefixes: Callable[[], list[str]]
    ) -> None:
        """Ask instances again and again for queues, which may be there or not."""
        while True:
            prefix = random.choice(list_prefixes())
            ask = partial(JobCaller.async_count_pending, prefix=prefix)
            call, _ = await self._async_call(random, ask)
            if call.status in (200, NO_SUCH_QUEUE):
                answer = QueueAnswer(
                    asked_s=call.asked_s,
                    at_s=call.at_s,
                    instance=call.instance,
                    prefix=prefix,
                    is_there=call.status == 200,
                )
                self.queue_answers.append(answer)
            await trio.sleep(random.uniform(0.5 * PAUSE_S, 2 * PAUSE_S))

    async def _async_follow(self, job: JobHistory) -> None:
        """Hand a job in and ask for its state until it is final."""
        random = Random(job.plan.draw)
        await self._async_submit(job, random)
        if job.fate is not Fate.ACCEPTED:
            return
        cancel_after_s = job.plan.cancel_after_s
        async with trio.open_nursery() as nursery:
            if cancel_after_s is not None:
                nursery.start_soon(self.async_cancel, job, random, cancel_after_s)
            while job.final() is None or (cancel_after_s is not None and not job.cancelled_s):
                await self._async_ask(job, random)
                await trio.sleep(random.uniform(0.5 * PAUSE_S, 2 * PAUSE_S))
            # Often after the last task has ended too: a final state stays.
            for _ in range(LATER_QUESTIONS):
                await trio.sleep(random.uniform(0.0, LATER_S))
                await self._async_ask(job, random)

    async def _async_submit(self, job: JobHistory, random: Random) -> None:
        plan = job.plan
        was_unanswered = False
        for _ in range(MAX_SUBMITS):
            call, _ = await self._async_call(
                random, lambda caller: caller.async_submit(plan.job_id, plan.spec, plan.steps)
            )
            if call.status is not None and 200 <= call.status < 300:
                job.fate, job.accepted_s = Fate.ACCEPTED, call.at_s
                return
            was_unanswered = was_unanswered or call.status not in NEVER_RUNS
            await trio.sleep(random.uniform(0.0, 2 * PAUSE_S))
        job.fate = Fate.UNKNOWN if was_unanswered else Fate.REFUSED

    async def async_cancel(self, job: JobHistory, random: Random, after_s: float = 0.0) -> None:
        """Cancel a job, and repeat it until it is acknowledged."""
        await trio.sleep(after_s)
        job.cancel_sent_s = time.time()
        while not job.cancelled_s:
            call, _ = await self._async_call(
                random, lambda caller: caller.async_cancel(job.plan.job_id)
            )
            if call.is_served():
                job.cancelled_s = call.at_s
                return
            await trio.sleep(random.uniform(0.0, 2 * PAUSE_S))

    async def _async_ask(self, job: JobHistory, random: Random) -> None:
        """Ask an instance for a job's state, and keep what it says."""
        call, body = await self._async_call(
            random, lambda caller: caller.async_ask(job.plan.job_id)
        )
        if call.status not in (200, GONE):
            return
        state = str(body.get("state", "")) if call.status == 200 else ""
        shown = Shown(at_s=call.at_s, asked_s=call.asked_s, instance=call.instance, state=state)
        job.shown.append(shown)

    async def _async_call(
        self, random: Random, ask: Callable[[JobCaller], Awaitable[Said]]
    ) -> tuple[Call, dict[str, Any]]:
        """Call an instance, and keep how that went."""
        name = random.choice(list(self.callers))
        asked_s = time.time()
        said = await ask(self.callers[name])
        call = Call(asked_s=asked_s, at_s=time.time(), instance=name, status=said.status)
        self.calls.append(call)
        return call, said.body
