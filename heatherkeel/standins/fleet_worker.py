"""A stand-in for one life of a worker: runs tasks under leases, and refuses lower tokens."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final

import trio

from .history import EventSink, Happening, TaskEvent
from .keyed_log import Answer
from .specs import Crash, CrashKind, fails, find_crash

STOP_S: Final = 0.05
"""How long a stop takes, in seconds."""
SHRINK_KNOWN_S: Final = 1.0
"""How long after a worker's room has shrunk nobody may overlook it any more, in seconds."""
FIRST_CLOCK_MS: Final = 500_000
"""Where the clock of a worker's first life begins, in milliseconds; that of a later life under the
same id begins at 0."""
TASK_CPU: Final = 1000
"""What each task takes of its worker's room, in thousandths of a core."""

CRASHED: Final = "crashed"
"""How a task ends that takes its worker with it: nobody hears of this end."""

WorkOf = Callable[[str], float | None]
"""Tells for a job's spec how many milliseconds a task takes; None for one that lasts."""


@dataclass(kw_only=True, slots=True)
class StandinRun:
    """A task that runs."""

    task: str
    attempt: int
    spec: str
    cpu_started_s: float
    ends_s: float | None
    stopping_s: float | None = None
    crash: Crash | None = None

    def percent(self) -> int:
        """Return how much of its work is done; a task that lasts is at work from its start on."""
        if self.ends_s is None:
            return 100
        done_s = time.monotonic() - self.cpu_started_s
        return min(100, int(100 * done_s / max(0.001, self.ends_s - self.cpu_started_s)))

    def list_dues(self) -> list[tuple[float, str]]:
        """Return when it would end in which way, in seconds of the monotonic clock."""
        dues = []
        if self.stopping_s is not None:
            dues.append((self.stopping_s, "stopped"))
        if self.ends_s is not None:
            dues.append((self.ends_s, "failed" if fails(self.spec) else "done"))
        if self.crash is not None and self.crash.kind is CrashKind.LATER:
            dues.append((self.cpu_started_s + self.crash.after_s, CRASHED))
        return dues


@dataclass(kw_only=True, slots=True)
class FleetWorker:
    """What a worker remembers; a new life remembers nothing."""

    id: str
    service: str
    machine: str
    work_of: WorkOf
    address: str = ""
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    """When this life began, in milliseconds since 1970."""
    began_s: float = field(default_factory=time.monotonic)
    first_clock_ms: int = FIRST_CLOCK_MS
    token: int = 0
    lease_until_ms: int = 0
    lapsed_ms: int = 0
    """The end of a lease that is known to have run out."""
    runs: dict[str, StandinRun] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    """The highest attempt of a task that was stopped or has ended here."""
    ended: list[list[Any]] = field(default_factory=list)
    acknowledged: int = 0
    numbers: int = 0
    started: list[tuple[str, int]] = field(default_factory=list)
    """Every start that was carried out, for tests."""
    cpu: int = 8000
    """The room that it says it has, in thousandths of a core; it doesn't guard it."""
    shrunk_from: int = 0
    """The room before it shrank last."""
    shrunk_s: float = 0.0
    overfilled: list[str] = field(default_factory=list)
    """Starts that brought it over its room, for tests."""
    has_crashed: bool = False
    """A task that it was to start has crashed it."""
    is_cut_off: bool = False
    """Its calls and answers are lost, while it and its machine go on."""
    is_over: bool = False
    """Its life has ended: nothing is carried out any more."""
    history: EventSink = field(default_factory=list[TaskEvent])
    """What workers did, for those who check it."""
    changed: trio.Event = field(default_factory=trio.Event)
    is_dark: bool = False
    """A task has brought it to a stop in which it keeps its connections."""
    slow_factor: float = 1.0
    """How many times as long as stated its tasks take."""

    def resize(self, cpu: int) -> None:
        """Say from now on that it has another room."""
        self.shrunk_from, self.shrunk_s = self.counted_cpu(), time.monotonic()
        self.cpu = cpu

    def counted_cpu(self) -> int:
        """Return the room that starts are held to: one that has shrunk counts a little later."""
        is_known = time.monotonic() - self.shrunk_s > SHRINK_KNOWN_S
        return self.cpu if is_known else max(self.cpu, self.shrunk_from)

    def clock_ms(self) -> int:
        """Return the worker's clock."""
        return round((time.monotonic() - self.began_s) * 1000) + self.first_clock_ms

    def start_task(self, body: dict[str, Any]) -> Answer:
        """Start a task."""
        refusal = self._check_token(body)
        if refusal is not None:
            return refusal
        task, attempt = body["task"], int(body["attempt"])
        if body["deadlineMs"] < self.clock_ms():
            return self._refuse("late")
        running = self.runs.get(task)
        if running is not None and running.attempt == attempt:
            return Answer(body={"clockMs": self.clock_ms()})
        if attempt <= self.refused.get(task, 0) or running is not None:
            return self._refuse("old")
        self.lease_until_ms = max(self.lease_until_ms, body["deadlineMs"])
        run = self.runs[task] = self._make_run(task, attempt, body["spec"])
        self.started.append((task, attempt))
        self._tell(Happening.STARTED, task, attempt)
        if len(self.runs) * TASK_CPU > self.counted_cpu():
            self.overfilled.append(task)
        self._crash_at_start(run)
        return Answer(body={"clockMs": self.clock_ms()})

    def _make_run(self, task: str, attempt: int, spec: str) -> StandinRun:
        work_ms = self.work_of(spec)
        now_s = time.monotonic()
        return StandinRun(
            task=task,
            attempt=attempt,
            spec=spec,
            cpu_started_s=now_s,
            ends_s=None if work_ms is None else now_s + self.slow_factor * work_ms / 1000,
            crash=find_crash(task, spec),
        )

    def _crash_at_start(self, run: StandinRun) -> None:
        """Crash or stop answering, if the task that starts makes it do so."""
        match run.crash:
            case Crash(kind=CrashKind.AT_START):
                self.has_crashed = True
            case Crash(kind=CrashKind.DARK):
                self._tell(Happening.DARK, run.task, run.attempt)
                self.is_dark = True

    def stop_task(self, body: dict[str, Any]) -> Answer:
        """Stop a task; one that isn't there is refused from now on."""
        refusal = self._check_token(body)
        if refusal is not None:
            return refusal
        task, attempt = body["task"], int(body["attempt"])
        self.refused[task] = max(self.refused.get(task, 0), attempt)
        run = self.runs.get(task)
        if run is not None and run.attempt <= attempt:
            run.stopping_s = run.stopping_s or time.monotonic() + STOP_S
        return Answer(body={"clockMs": self.clock_ms()})

    async def async_hold(self, body: dict[str, Any]) -> Answer:
        """Renew the lease, and list what runs and what has ended."""
        refusal = self._check_token(body)
        if refusal is not None:
            return refusal
        self.acknowledged = max(self.acknowledged, int(body.get("ackSeq", 0)))
        self._forget_acknowledged()
        self.lease_until_ms = max(self.lease_until_ms, int(body.get("deadlineMs", 0)))
        until_s = time.monotonic() + int(body.get("waitMs", 0)) / 1000
        while not self.ended and time.monotonic() < until_s:
            self.changed = trio.Event()
            with trio.move_on_after(max(0.0, until_s - time.monotonic())):
                await self.changed.wait()
        running = [[run.task, run.attempt, "", run.percent(), 0] for run in self.runs.values()]
        return Answer(
            body={
                "clockMs": self.clock_ms(),
                "born": self.born,
                "running": running,
                "finished": self.ended[:500],
            }
        )

    def look(self) -> None:
        """End what is due: done, stopped, or without a lease; or crash.

        The earliest end counts, also if the worker could not look at that time.
        """
        lease_end_s = self.began_s + (self.lease_until_ms - self.first_clock_ms) / 1000
        self._note_lapse(lease_end_s)
        for run in list(self.runs.values()):
            due_s, outcome = min([(lease_end_s, "lapsed"), *run.list_dues()])
            if time.monotonic() < due_s:
                continue
            if outcome == CRASHED:
                self.has_crashed = True
            else:
                self._end(run, outcome, at_s=due_s)

    def _note_lapse(self, lease_end_s: float) -> None:
        """Take down once that the lease has run out."""
        if self.lapsed_ms != self.lease_until_ms and time.monotonic() >= lease_end_s:
            self.lapsed_ms = self.lease_until_ms
            self._tell(Happening.LEASE_LAPSED, at_s=lease_end_s)

    def slow_down(self, factor: float) -> None:
        """Let tasks take so many times as long as stated, also what is left of running ones."""
        now_s = time.monotonic()
        for run in self.runs.values():
            if run.ends_s is not None:
                run.ends_s = now_s + (run.ends_s - now_s) * factor / self.slow_factor
        self.slow_factor = factor

    def end_life(self, outcome: str = "") -> None:
        """End this life, and all that runs in it, without a word."""
        self.is_over = True
        self.runs.clear()
        self._tell(Happening.LIFE_ENDED, outcome=outcome)

    def tell_beginning(self) -> None:
        """Take down that this life has begun."""
        self._tell(Happening.LIFE_BEGAN)

    def _forget_acknowledged(self) -> None:
        """Forget the ends that were acknowledged, also such as come under numbers up to there."""
        for number, task, attempt, outcome, _ in self.ended:
            if number <= self.acknowledged:
                self._tell(Happening.ACKNOWLEDGED, task, attempt, outcome)
        self.ended = [row for row in self.ended if row[0] > self.acknowledged]

    def _tell(
        self,
        what: Happening,
        task: str = "",
        attempt: int = 0,
        outcome: str = "",
        *,
        at_s: float | None = None,
    ) -> None:
        event = TaskEvent(
            at_s=time.monotonic() if at_s is None else at_s,
            what=what,
            life=(self.id, self.born),
            task=task,
            attempt=attempt,
            outcome=outcome,
        )
        self.history.append(event)

    def _end(self, run: StandinRun, outcome: str, *, at_s: float) -> None:
        del self.runs[run.task]
        self.refused[run.task] = max(self.refused.get(run.task, 0), run.attempt)
        self.numbers += 1
        self.ended.append([self.numbers, run.task, run.attempt, outcome, ""])
        self._tell(Happening.ENDED, run.task, run.attempt, outcome, at_s=at_s)
        self._forget_acknowledged()
        self.changed.set()

    def _check_token(self, body: dict[str, Any]) -> Answer | None:
        token = int(body.get("fencingToken", 0))
        if token < self.token:
            return self._refuse("fence")
        self.token = token
        return None

    def _refuse(self, reason: str) -> Answer:
        return Answer(status=409, body={"clockMs": self.clock_ms(), "reason": reason})
