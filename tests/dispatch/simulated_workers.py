"""Simulated workers for the dispatch state machine."""

from __future__ import annotations

from dataclasses import dataclass, field

from heatherkeel.platform.workers import EndedTask

CPU = 4000
FIRST_BORN = 1
"""Start time of the first incarnation under each id."""


@dataclass(eq=False)
class SimulatedWorker:
    """A worker that follows the documented worker protocol."""

    id: str
    token: int = 0
    lease_until_ms: int = 0
    runs: dict[str, int] = field(default_factory=dict)
    refused: dict[str, int] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    numbers: int = 0
    cpu: int = CPU
    known_cpu: int = CPU
    """Capacity in the latest entry, possibly one of an earlier incarnation; limits the starts."""
    is_alive: bool = True
    born: int = 0
    acknowledged: int = 0

    def clock(self, now_ms: int) -> int:
        """Return the clock of this incarnation; that of a first incarnation is far ahead."""
        return now_ms + 500_000 if self.born == FIRST_BORN else now_ms - self.born

    def start(self, task: str, attempt: int, token: int, until_ms: int, now_ms: int) -> str:
        """Start a task and return the refusal reason, or an empty string."""
        if token < self.token:
            return "fence"
        self.token = token
        if until_ms < now_ms:
            return "late"
        if self.runs.get(task) == attempt:
            return ""
        if attempt <= self.refused.get(task, 0) or task in self.runs:
            return "old"
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        self.runs[task] = attempt
        return ""

    def stop(self, task: str, attempt: int, token: int) -> str:
        """Stop a task at once and return the refusal reason, or an empty string."""
        if token < self.token:
            return "fence"
        self.token = token
        self.refused[task] = max(self.refused.get(task, 0), attempt)
        if self.runs.get(task, attempt + 1) <= attempt:
            self.end(task, "stopped")
        return ""

    def end(self, task: str, outcome: str) -> None:
        """End a task."""
        attempt = self.runs.pop(task)
        self.refused[task] = max(self.refused.get(task, 0), attempt)
        self.numbers += 1
        self.ended.append(
            EndedTask(number=self.numbers, task=task, attempt=attempt, outcome=outcome, saved="")
        )

    def expire_lease(self, now_ms: int) -> None:
        """End all runs if the lease has expired."""
        if now_ms > self.lease_until_ms:
            for task in list(self.runs):
                self.end(task, "lapsed")


@dataclass(frozen=True, kw_only=True)
class SentOrder:
    """An order to a worker, which may arrive after the owner has given up on it."""

    worker_id: str
    kind: str
    task: str
    attempt: int
    token: int
    until_ms: int
    worker: SimulatedWorker
    """The incarnation that receives the order."""
    cpu: int
    """The worker's published capacity when the order was sent."""
