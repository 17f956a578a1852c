"""Promises about tasks, checked against what workers really did."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import Final

from heatherkeel.standins.history import LEFT, Happening, TaskEvent

DONE: Final = "done"
FAILED: Final = "failed"
LAPSED: Final = "lapsed"
MIN_CRASHES: Final = 2
"""Crashes of workers under one task that let its job be given up."""

Life = tuple[str, int]


def job_of(task: str) -> str:
    """Return the job of a task."""
    return task.split(".")[0]


def is_crash(event: TaskEvent) -> bool:
    """Return whether a worker crashed: its life ended, not by an order or by leaving."""
    is_end = event.what is Happening.LIFE_ENDED and event.outcome != LEFT
    return is_end or event.what is Happening.DARK


def find_violations(
    history: Sequence[TaskEvent], *, is_excused_by_lapse: bool = False
) -> list[str]:
    """Return duplicate runs and starts after acknowledged ends; long-running tasks may restart.

    With `is_excused_by_lapse` an end doesn't count if its worker's lease ran out before the end
    was acknowledged: the task may have been started elsewhere by then.
    """
    violations = []
    running: dict[str, set[Life]] = defaultdict(set)
    acknowledged = set()
    # Ends whose worker's lease has not run out since.
    listed: set[tuple[Life, str]] = set()
    for event in history:
        lives = running[event.task]
        match event.what:
            case Happening.STARTED:
                if lives:
                    violations.append(f"{event.task} runs twice: {event}")
                if event.task in acknowledged:
                    violations.append(
                        f"{event.task} starts after its end was acknowledged: {event}"
                    )
                lives.add(event.life)
            case Happening.ENDED:
                lives.discard(event.life)
                listed.add((event.life, event.task))
            case Happening.ACKNOWLEDGED if event.outcome == DONE:
                if (event.life, event.task) in listed or not is_excused_by_lapse:
                    acknowledged.add(event.task)
            case Happening.LEASE_LAPSED:
                listed = {end for end in listed if end[0] != event.life}
            case Happening.LIFE_ENDED | Happening.DARK:
                for others in running.values():
                    others.discard(event.life)
    return violations


def find_unjustified_failures(
    history: Sequence[TaskEvent],
    failed: Mapping[str, float],
    *,
    max_failures: int | None = None,
) -> list[str]:
    """Return the jobs that were shown as failed without a cause, given when that was.

    A cause is a task with `max_failures` ends `failed` (None: such ends are no cause), or one that
    was started in two lives of workers that crashed. A run doesn't count whose lease had expired,
    or whose end was acknowledged, before the crash, nor a crash after the job was shown.
    """
    return [
        f"{job_id} failed without a cause"
        for job_id, shown_s in failed.items()
        if not _has_cause(history, job_id, shown_s, max_failures)
    ]


def _has_cause(
    history: Sequence[TaskEvent], job_id: str, shown_s: float, max_failures: int | None
) -> bool:
    failures: Counter[str] = Counter()
    crashes: Counter[str] = Counter()
    present: dict[Life, set[str]] = defaultdict(set)
    for event in history:
        if event.at_s > shown_s:
            break
        if is_crash(event):
            crashes.update(present.pop(event.life, set()))
        elif job_of(event.task) != job_id:
            continue
        elif event.what is Happening.STARTED:
            present[event.life].add(event.task)
        elif event.what is Happening.ACKNOWLEDGED or event.outcome == LAPSED:
            present[event.life].discard(event.task)
        elif event.outcome == FAILED:
            failures[event.task] += 1
    is_used_up = max_failures is not None and max(failures.values(), default=0) >= max_failures
    return is_used_up or max(crashes.values(), default=0) >= MIN_CRASHES


def find_refused_starts(history: Sequence[TaskEvent], refused: Sequence[str]) -> list[str]:
    """Return the starts of tasks of refused jobs."""
    return [
        f"{event.task} starts, though its job was refused: {event}"
        for event in history
        if event.what is Happening.STARTED and job_of(event.task) in refused
    ]
