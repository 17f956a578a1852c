"""The steps of a pool that wait for capacity, in the order in which they get it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from enum import IntEnum
from itertools import chain, islice
from typing import Final

from sortedcontainers import SortedList

from .const import (
    BACKLOG_MS,
    ESTIMATE_SLACK,
    LAST_CHANCE_MS,
    LAST_CHANCE_WORK_MS,
    MAX_RELEASED,
    MAX_STEPS_EXAMINED,
    WORK_DELAY_FACTOR,
)
from .models import Job, Step

WORTHLESS_FACTOR: Final = 3
"""A job is worth nothing after this many times its objective, as documented by the platform."""

Entry = tuple[float, float, str, Step]


class Urgency(IntEnum):
    """Priority class of a step; lower values go first.

    A late job is worth a tenth or less, so it gets only capacity that no job in time can use,
    except for its last chance. Late jobs are ordered by their remaining work.
    """

    LASTING = 0
    IN_TIME = 1
    OVER_PART = 2
    """In time, but not begun, and of a workspace that uses more than its part of the capacity."""
    LATE = 3
    EXCESS = 4
    """Of a workspace that submits more than its weight: it gets what others leave."""
    WORTHLESS = 5


class OpenSteps:
    """Keeps waiting steps sorted, so that an event's cost doesn't depend on how many wait.

    A step's urgency decreases with time, and rises when its job starts or its workspace is no
    longer above its part. It is updated when the step is visited, which is before any less urgent
    step gets capacity.
    """

    def __init__(self) -> None:
        self.entries: dict[Step, tuple[Urgency, Entry]] = {}
        self.sorted: dict[Urgency, SortedList] = {urgency: SortedList() for urgency in Urgency}
        self.in_time_by_work: SortedList = SortedList()
        """The steps in time, by their work."""
        self.late_by_last_start: SortedList = SortedList()
        """The late steps, by the last time at which they can start and be worth anything."""
        self.limited: dict[str, SortedList] = {}
        """The steps that their workspace's limit keeps from starting, by latest start and
        workspace. However many these are, they cost other workspaces' steps nothing."""
        self.limited_entries: dict[Step, Entry] = {}
        self.work_in_time = 0.0
        """Work of all steps in time, in core-milliseconds."""
        self.cores = 0.0
        self.largest_worker_cores = 0.0

    def __len__(self) -> int:
        return len(self.entries) + len(self.limited_entries)

    def __contains__(self, step: Step) -> bool:
        return step in self.entries or step in self.limited_entries

    def __iter__(self) -> Iterator[Step]:
        return chain(self.entries, self.limited_entries)

    def unlimited(self) -> Iterator[Step]:
        """Iterate over the steps that wait for capacity only."""
        return iter(self.entries)

    def add(self, step: Step, now_ms: int) -> None:
        """Add a waiting step; one that already waits keeps its place."""
        if step not in self:
            step.waiting_since_ms = now_ms
            self._insert(step, find_urgency(step, now_ms))

    def set_limited(self, step: Step) -> None:
        """Set a waiting step aside until its workspace may have more running."""
        self.discard(step)
        entry: Entry = (float(step.request.fills), step.latest_start_ms, step.name(), step)
        self.limited_entries[step] = entry
        self.limited.setdefault(step.job.workspace, SortedList()).add(entry)

    def release(self, is_allowed: Callable[[Step], bool], now_ms: int) -> None:
        """Let the first few limited steps of each workspace wait for capacity, if allowed."""
        for entries in list(self.limited.values()):
            for entry in list(islice(entries, MAX_RELEASED)):
                step = entry[-1]
                if not is_allowed(step):
                    break
                self.discard(step)
                self._insert(step, find_urgency(step, now_ms))

    def discard(self, step: Step) -> None:
        """Remove a step, if it waits."""
        limited = self.limited_entries.pop(step, None)
        if limited is not None:
            entries = self.limited[step.job.workspace]
            entries.remove(limited)
            if not entries:
                del self.limited[step.job.workspace]
            return
        known = self.entries.pop(step, None)
        if known is None:
            return
        urgency, entry = known
        self.sorted[urgency].remove(entry)
        if urgency is Urgency.IN_TIME:
            self.in_time_by_work.remove(_entry_by_work(step))
            # Reset when none is left, so that rounding errors don't add up.
            self.work_in_time = self.work_in_time - step.work if self.in_time_by_work else 0.0
        elif urgency is Urgency.LATE:
            self.late_by_last_start.remove(_entry_by_last_start(step))

    def sort_again(self, workspaces: frozenset[str], now_ms: int) -> None:
        """Sort the steps of some workspaces again, whose urgency may have risen or fallen."""
        for step in [step for step in self.entries if step.job.workspace in workspaces]:
            self.discard(step)
            self._insert(step, find_urgency(step, now_ms))

    def set_capacity(self, *, cores: float, largest_worker_cores: float) -> None:
        """Set the cores of the pool's workers in total, and those of its largest worker."""
        self.cores = cores
        self.largest_worker_cores = largest_worker_cores

    def in_order(self, now_ms: int) -> Iterator[Step]:
        """Yield the steps, the most urgent first; yielded steps may be discarded meanwhile."""
        yield from self._iter_steps(Urgency.LASTING, self.sorted[Urgency.LASTING], now_ms)
        rescued = self._find_rescued(now_ms)
        yield from rescued
        yield from self._iter_steps(Urgency.IN_TIME, self._steps_in_time(), now_ms)
        for urgency in (Urgency.OVER_PART, Urgency.LATE, Urgency.EXCESS, Urgency.WORTHLESS):
            for step in self._iter_steps(urgency, self.sorted[urgency], now_ms):
                if step not in rescued:
                    yield step

    def is_worthless(self, step: Step) -> bool:
        """Return whether a step is sorted among those whose jobs are worth nothing."""
        known = self.entries.get(step)
        return known is not None and known[0] is Urgency.WORTHLESS

    def list_worthless(self) -> list[Step]:
        """Return the steps whose jobs are worth nothing, the longest waiting first."""
        entries = islice(self.sorted[Urgency.WORTHLESS], MAX_STEPS_EXAMINED)
        steps = [entry[-1] for entry in entries]
        steps.sort(key=lambda step: (step.waiting_since_ms, step.name()))
        return steps

    def _steps_in_time(self) -> SortedList:
        """Return the steps in time by their latest start, or by their work if there is a backlog.

        With a backlog, ordering by latest start would make all of them late together; by work,
        most of them are still done in time.
        """
        if self.work_in_time > BACKLOG_MS * self.cores:
            return self.in_time_by_work
        return self.sorted[Urgency.IN_TIME]

    def _find_rescued(self, now_ms: int) -> list[Step]:
        """Return small late steps that go before those in time, since it is their last chance.

        Otherwise late jobs would wait behind all jobs in time until they are worth nothing. Only
        a small part of the capacity is used, or under sustained overload every job would be done
        at its last moment and none in time.
        """
        # Steps that had to start earlier can hardly be completed before they are worth nothing.
        since = (float(now_ms - LAST_CHANCE_MS),)
        until = (float(now_ms + LAST_CHANCE_MS), "\U0010ffff")
        found = self.late_by_last_start.irange(since, until)
        steps = [step for *_, step in islice(found, MAX_STEPS_EXAMINED)]
        left = LAST_CHANCE_WORK_MS * self.cores
        rescued = []
        for step in sorted(steps, key=lambda step: (step.work, step.name())):
            is_late = find_urgency(step, now_ms) is Urgency.LATE
            if not is_late or find_last_start_ms(step) + _slack_ms(step) < now_ms:
                continue
            left -= step.work
            if left < 0:
                break
            rescued.append(step)
        return rescued

    def _iter_steps(self, urgency: Urgency, entries: SortedList, now_ms: int) -> Iterator[Step]:
        """Yield entries' steps that still have an urgency, and move the others to their new one."""
        for entry in list(islice(entries, MAX_STEPS_EXAMINED)):
            step = entry[-1]
            if step not in self.entries:
                continue
            urgency_now = find_urgency(step, now_ms)
            if urgency_now is urgency:
                yield step
                continue
            self.discard(step)
            self._insert(step, urgency_now)
            if urgency_now < urgency:
                # Its job has started since. Until the next pass, less urgent steps would get its
                # capacity.
                yield step

    def _insert(self, step: Step, urgency: Urgency) -> None:
        entry: Entry = (*self._sort_key(step, urgency), step.name(), step)
        self.entries[step] = (urgency, entry)
        self.sorted[urgency].add(entry)
        if urgency is Urgency.IN_TIME:
            self.in_time_by_work.add(_entry_by_work(step))
            self.work_in_time += step.work
        elif urgency is Urgency.LATE:
            self.late_by_last_start.add(_entry_by_last_start(step))

    def _sort_key(self, step: Step, urgency: Urgency) -> tuple[float, float]:
        if urgency >= Urgency.LATE:
            return (_critical_path_ms(step), step.latest_start_ms)
        delay_ms = (
            WORK_DELAY_FACTOR * step.work / self.largest_worker_cores
            if self.largest_worker_cores
            else 0.0
        )
        return (float(step.request.fills), step.latest_start_ms + delay_ms)


def _entry_by_work(step: Step) -> tuple[float, float, str, Step]:
    return (float(step.request.fills), step.work, step.name(), step)


def _entry_by_last_start(step: Step) -> tuple[float, str, Step]:
    return (find_last_start_ms(step), step.name(), step)


def _critical_path_ms(step: Step) -> float:
    """Return the critical path from a step's start to its job's end, in milliseconds."""
    return step.job.due_ms - step.latest_start_ms


def _slack_ms(step: Step) -> float:
    return ESTIMATE_SLACK * _critical_path_ms(step)


def find_worthless_ms(step: Step) -> float:
    """Return the time from which a step's job is worth nothing."""
    job = step.job
    return job.accepted_ms + WORTHLESS_FACTOR * (job.due_ms - job.accepted_ms)


def find_last_start_ms(step: Step) -> float:
    """Return the latest start of a step for its job to be worth anything."""
    return find_worthless_ms(step) - _critical_path_ms(step)


def find_urgency(step: Step, now_ms: int) -> Urgency:
    """Return a step's current urgency.

    A step is in time while it can meet its job's objective, with some slack because declared
    durations are inexact.
    """
    if step.request.lasts:
        return Urgency.LASTING
    is_in_time = step.latest_start_ms + _slack_ms(step) >= now_ms
    if not is_in_time and now_ms >= find_worthless_ms(step):
        return Urgency.WORTHLESS
    if step.job.is_excess:
        return Urgency.EXCESS
    if not is_in_time:
        return Urgency.LATE
    return Urgency.OVER_PART if _is_over_part(step.job) else Urgency.IN_TIME


def _is_over_part(job: Job) -> bool:
    """Return whether a job waits for others' because of its workspace.

    Jobs that have begun go on: what they have done would be lost for nobody's good.
    """
    return job.account is not None and job.account.is_over_part and not job.has_started()
