"""The promises that are checked, each a registered function over what was seen of a run."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Final

from heatherkeel.standins.history import Happening, TaskEvent
from heatherkeel.standins.specs import find_crash

from .bounds import (
    CANCEL_S,
    CONFIG_APPLY_S,
    FINISH_S,
    IDLE_S,
    MAX_STARTS_AFTER_CRASHES,
    OUTER_S,
    STABLE_WINDOW_S,
    VISIBLE_S,
)
from .callers import FINAL, Fate, JobHistory, JobState, Shown
from .checks import (
    FAILED,
    Life,
    find_refused_starts,
    find_unjustified_failures,
    find_violations,
    is_crash,
    job_of,
)
from .record import RunRecord

MIN_CALLS: Final = 5
"""Calls to a part that is cut off from which on one has to be served."""
MAX_CRASHES: Final = 3


@dataclass(kw_only=True)
class Checked:
    """How often a promise had something to check, and where it was broken."""

    applied: int = 0
    broken: list[str] = field(default_factory=list)


Check = Callable[[RunRecord], Checked]
PROMISES: Final[dict[str, Check]] = {}


def promise(name: str) -> Callable[[Check], Check]:
    """Register the check of a promise."""

    def register(check: Check) -> Check:
        PROMISES[name] = check
        return check

    return register


def check_promises(record: RunRecord) -> dict[str, Checked]:
    """Check all promises, by name."""
    return {name: check(record) for name, check in PROMISES.items()}


@promise("failed only with its cause")
def check_failed(record: RunRecord) -> Checked:
    """Check that a failed job has a task that failed often enough, or crashed two workers."""
    failed = {
        job.plan.job_id: shown.at_s
        for job in record.jobs
        if (shown := job.first_shown(JobState.FAILED)) is not None
    }
    broken = find_unjustified_failures(record.history, failed, max_failures=record.max_failures)
    return Checked(applied=len(failed), broken=broken)


@promise("no task runs twice or after its end")
def check_runs(record: RunRecord) -> Checked:
    """Check that no task runs twice beside itself, or starts after an acknowledged end."""
    applied = sum(map(len, record.starts.values()))
    broken = find_violations(record.history, is_excused_by_lapse=True)
    return Checked(applied=applied, broken=broken)


@promise("what is refused never runs")
def check_refused(record: RunRecord) -> Checked:
    """Check that a job whose caller was told each time that it never runs, never does."""
    refused = [job.plan.job_id for job in record.jobs if job.fate is Fate.REFUSED]
    return Checked(applied=len(refused), broken=find_refused_starts(record.history, refused))


@promise("attempts are bounded")
def check_attempts(record: RunRecord) -> Checked:
    """Check that no task starts after its last failure, or often after it crashed workers."""
    plans = {job.plan.job_id: job.plan for job in record.jobs}
    failures: Counter[str] = Counter()
    crashes: Counter[str] = Counter()
    further: Counter[str] = Counter()
    present: dict[Life, set[str]] = defaultdict(set)
    checked = Checked()
    for event in record.history:
        if is_crash(event):
            crashes.update(present.pop(event.life, set()))
        elif event.what is Happening.ENDED:
            present[event.life].discard(event.task)
        elif event.what is Happening.ACKNOWLEDGED:
            failures[event.task] += event.outcome == FAILED
        elif event.what is Happening.STARTED and not plans[job_of(event.task)].lasts():
            if find_crash(event.task, plans[job_of(event.task)].spec) is not None:
                present[event.life].add(event.task)
            checked.applied += failures[event.task] > 0 or crashes[event.task] > 0
            further[event.task] += crashes[event.task] >= MAX_CRASHES
            if failures[event.task] >= record.max_failures:
                checked.broken.append(f"{event.task} starts after its last attempt: {event}")
            if further[event.task] > MAX_STARTS_AFTER_CRASHES:
                checked.broken.append(f"{event.task} starts again after its crashes: {event}")
    return checked


@promise("nothing accepted is lost")
def check_known(record: RunRecord) -> Checked:
    """Check that each accepted job ends, and that instances in touch know it meanwhile."""
    checked = Checked()
    for job in record.jobs:
        if record.is_over and not job.is_finished():
            checked.broken.append(f"{job.plan.job_id} doesn't end: {job.shown[-1:]}")
        for shown in job.shown:
            if job.cancel_sent_s or not _is_late(record, shown, job.accepted_s + VISIBLE_S):
                continue
            checked.applied += 1
            if not shown.state:
                checked.broken.append(f"{job.plan.job_id} is not known: {shown}")
    return checked


@promise("a final state stays")
def check_final(record: RunRecord) -> Checked:
    """Check that a final state never becomes another one, and soon is the only one shown."""
    checked = Checked()
    for job in record.jobs:
        final = job.final()
        if final is None:
            continue
        later = [shown for shown in job.shown if shown.asked_s > final.at_s and shown.state]
        checked.applied += len(later)
        checked.broken += [
            f"{job.plan.job_id} was {final.state}, then: {shown}"
            for shown in later
            if shown.state != final.state
            and (shown.state in FINAL or _is_late(record, shown, final.at_s + VISIBLE_S))
        ]
    return checked


def _is_late(record: RunRecord, shown: Shown, due_s: float) -> bool:
    """Return whether an answer comes after a bound, from an instance in touch."""
    is_calm = record.is_calm(shown.instance, shown.asked_s, shown.at_s)
    return shown.asked_s >= due_s and is_calm


@promise("a cancelled job stays so")
def check_cancelled(record: RunRecord) -> Checked:
    """Check that a cancelled job is over for all, and starts nothing, and no other job is so."""
    checked = Checked()
    for job in record.jobs:
        if job.final() is not None and job.cancel_sent_s == 0.0:
            checked.broken += _find_uncaused(job)
        if not job.cancelled_s:
            continue
        due_s = job.cancelled_s + max(VISIBLE_S, CANCEL_S)
        for shown in job.shown:
            if shown.asked_s >= due_s and record.is_calm(shown.instance, shown.asked_s, shown.at_s):
                checked.applied += 1
                if shown.state and shown.state not in FINAL:
                    checked.broken.append(f"{job.plan.job_id} was cancelled, then: {shown}")
        for start in record.starts.get(job.plan.job_id, []):
            if start.at_s > due_s and record.is_site_calm(job.cancelled_s, start.at_s):
                checked.broken.append(f"{start.task} starts after its job was cancelled: {start}")
    return checked


def _find_uncaused(job: JobHistory) -> list[str]:
    shown = job.first_shown(JobState.CANCELED)
    return [] if shown is None else [f"{job.plan.job_id} was never cancelled: {shown}"]


@promise("complete only when done")
def check_complete(record: RunRecord) -> Checked:
    """Check that each task of a complete job had ended as done."""
    done_s: dict[str, dict[str, float]] = defaultdict(dict)
    for event in record.history:
        if event.what is Happening.ENDED and event.outcome == "done":
            done_s[job_of(event.task)].setdefault(event.task, event.at_s)
    checked = Checked()
    for job in record.jobs:
        shown = job.first_shown(JobState.COMPLETE)
        if shown is None:
            continue
        checked.applied += 1
        ended = [at_s for at_s in done_s[job.plan.job_id].values() if at_s <= shown.at_s]
        if len(ended) < job.plan.tasks:
            checked.broken.append(f"{job.plan.job_id} is complete after {len(ended)} tasks")
    return checked


@promise("a job with room runs")
def check_running(record: RunRecord) -> Checked:
    """Check that a job that has not ended, once all faults are over, has something running."""
    checked = Checked()
    # Tasks that crash workers go on doing so, and take what runs beside them along.
    crashed_s = max((event.at_s for event in record.history if is_crash(event)), default=0.0)
    from_s = max(record.healed_s, crashed_s) + FINISH_S
    for job in record.jobs:
        final = job.final()
        until_s = final.at_s if final is not None else record.until_s
        if job.fate is not Fate.ACCEPTED or job.cancel_sent_s or until_s <= from_s:
            continue
        checked.applied += 1
        begun_s = max(from_s, job.accepted_s)
        gap_s = _longest_gap_s(record.history, job.plan.job_id, begun_s, until_s)
        if gap_s > IDLE_S:
            checked.broken.append(f"{job.plan.job_id} has nothing running for {gap_s:.1f} s")
    return checked


def _longest_gap_s(
    history: Sequence[TaskEvent], job_id: str, from_s: float, until_s: float
) -> float:
    """Return the longest time within which none of a job's tasks ran."""
    idle_since_s, longest_s = from_s, 0.0
    runs: set[tuple[Life, str]] = set()
    for event in history:
        if event.at_s > until_s:
            break
        was_idle = not runs
        if event.what is Happening.STARTED and job_of(event.task) == job_id:
            runs.add((event.life, event.task))
        elif event.what is Happening.ENDED:
            runs.discard((event.life, event.task))
        elif event.what in (Happening.LIFE_ENDED, Happening.DARK):
            runs = {run for run in runs if run[0] != event.life}
        if was_idle and runs:
            longest_s = max(longest_s, event.at_s - idle_since_s)
        elif not was_idle and not runs:
            idle_since_s = max(from_s, event.at_s)
    return longest_s if runs else max(longest_s, until_s - idle_since_s)


@promise("no configuration is older than its bound")
def check_configuration(record: RunRecord) -> Checked:
    """Check that an instance in touch says of a queue what the newest version in force says."""
    checked = Checked()
    for answer in record.queue_answers:
        since_s = answer.asked_s - CONFIG_APPLY_S - OUTER_S
        if not record.is_calm(answer.instance, answer.asked_s, answer.at_s):
            continue
        known = [change for change in record.changes if change.at_s <= answer.asked_s]
        is_settled = bool(known) and known[-1].at_s <= since_s
        is_same = not any(answer.asked_s <= c.at_s <= answer.at_s for c in record.changes)
        if not (is_settled and is_same):
            continue
        checked.applied += 1
        if answer.is_there != (answer.prefix in known[-1].queues):
            checked.broken.append(f"version {known[-1].version} is not in force: {answer}")
    return checked


@promise("a part that is cut off serves on")
def check_serving(record: RunRecord) -> Checked:
    """Check that an instance that alone can't reach the store answers callers through its peers."""
    checked = Checked()
    for cut in record.disturbances:
        if cut.kind != "cut-store":
            continue
        from_s, until_s = cut.from_s + STABLE_WINDOW_S, min(cut.until_s, record.until_s)
        others = [other for other in record.disturbances if other is not cut]
        is_alone = not any(
            other.from_s <= until_s and other.until_s >= cut.from_s - STABLE_WINDOW_S
            for other in others
            if other.part == record.platform or other.part in record.instances
        )
        calls = [
            call
            for call in record.calls
            if call.instance == cut.part and from_s <= call.asked_s and call.at_s <= until_s
        ]
        if not is_alone or len(calls) < MIN_CALLS:
            continue
        checked.applied += 1
        if not any(call.is_served() for call in calls):
            checked.broken.append(f"{cut.part} served none of {len(calls)} calls: {cut}")
    return checked
