"""One incarnation of a worker, as its partition's owner knows it."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from heatherkeel.platform.callers import StepRequest
from heatherkeel.platform.operator import WorkerEntry
from heatherkeel.workspaces.amounts import amount_of_task

from .const import (
    LEASE_EXPIRY_MARGIN_MS,
    MAX_LISTING_AGE_MS,
    MAX_SPEED_SAMPLES,
    SLOWEST_CLOCK,
)
from .models import Run, WorkerLoss


class SpeedSample(NamedTuple):
    """How long an ended task took against what was expected of it."""

    step: str
    at_ms: int
    slowdown: float
    """Logarithm of the factor."""


@dataclass(kw_only=True, slots=True, eq=False)
class Worker:
    """One incarnation of a worker, with the capacity that its runs use."""

    id: str
    entry: WorkerEntry
    born: int = 0
    """Start time of this incarnation, in milliseconds since 1970; 0 while unknown."""
    earlier_born: frozenset[int] = frozenset()
    """Start times of earlier incarnations under this ID, whose entries may still be read."""
    earlier_loss: WorkerLoss | None = None
    """The loss of the previous incarnation under this ID, if this is a later one."""
    runs: dict[tuple[str, int], Run] = field(default_factory=dict)
    used_cpu: int = 0
    used_memory_mb: int = 0
    used_gpu: int = 0
    clock_ms: int | None = None
    """The worker's last reported clock; None before its first answer under this owner's token."""
    clock_received_ms: int = 0
    """When that clock was received, on the local clock."""
    lease_until_ms: int = 0
    """Latest end of lease that was ever sent, on the worker's clock."""
    earlier_leases_until_ms: int = 0
    """When all leases from earlier owners have expired; used until the worker's first answer."""
    last_processed_end: int = 0
    """Highest number of an end that was processed."""
    last_stored_end: int = 0
    """Highest number of an end that is stored."""
    last_acknowledged_end: int = 0
    """Highest number of an end that was acknowledged to the worker."""
    suspects: dict[tuple[str, int], Run] = field(default_factory=dict)
    """Unproven runs of tasks that have lost a worker before."""
    is_listed: bool = True
    unwatched_ms: int = 0
    """Time before its last listing was requested in which no listing waited for ends."""
    is_unresponsive: bool = False
    """The last call to it wasn't answered."""
    unresponsive_since_ms: int = 0
    gone_ms: int | None = None
    """The earliest time at which it can have gone, if it is unresponsive and that is known."""
    named_ms: int | None = None
    """When the last list of machines that named it was requested, if it is unresponsive."""
    known_since_ms: int = 0
    """When this owner first knew of this incarnation."""
    is_loss_recorded: bool = False
    """Its loss is among those of its pool, and it hasn't answered since."""
    left_ms: int | None = None
    """When its machine was last said to be about to be moved or maintained."""
    is_leaving: bool = False
    """Its machine is about to be moved or maintained."""
    yielding_since_ms: int | None = None
    """Since when it is being emptied because another pool needs its machine more."""
    paced_ms: int = 0
    """When the pace of its best-effort tasks was last checked."""
    is_outdated: bool = False
    """Its entry was read too long ago for its capacity to be reliable."""
    is_due: bool = False
    """Its machine is to be maintained later."""
    failed_jobs: list[str] = field(default_factory=list)
    """Jobs with failed tasks there since the last success."""
    quarantined_until_ms: int = 0
    speeds: deque[SpeedSample] = field(default_factory=lambda: deque(maxlen=MAX_SPEED_SAMPLES))
    """The tasks that ended there last."""
    judged_ms: int = 0
    """When its speed was last judged."""
    slow_until_ms: int = 0
    """Until when it gets work last, since it is slow."""
    full_until_ms: int = 0
    """Until when it gets no more work, after it refused a start for lack of capacity."""

    def is_other_incarnation(self, born: int) -> bool:
        """Return whether a start time belongs to another incarnation."""
        return bool(born and self.born and born != self.born)

    def is_earlier_incarnation(self, born: int) -> bool:
        """Return whether an entry with this start time is from an earlier incarnation.

        If the wall clock was set back, a later incarnation may have the smaller start time.
        """
        return born in self.earlier_born or 0 < born < self.born

    def was_sent_to_earlier_incarnation(self, run: Run) -> bool:
        """Return whether a run was sent to an earlier incarnation and isn't listed in this one."""
        return self.is_other_incarnation(run.born)

    def has_entry(self) -> bool:
        """Return whether its entry is from this incarnation; another may differ in capacity."""
        return not self.is_other_incarnation(self.entry.born)

    def is_ready(self) -> bool:
        """Return whether the worker has answered under this owner's token."""
        return self.clock_ms is not None

    def is_empty(self) -> bool:
        """Return whether its machine can be removed now without losing anything.

        Nothing runs there, and all ends are stored and acknowledged.
        """
        return (
            not self.runs
            and self.is_ready()
            and self.last_acknowledged_end >= self.last_processed_end
        )

    def to_acknowledge(self, now_ms: int) -> int:
        """Return the highest end number that the next listing may acknowledge; 0 for none.

        A restarted worker reuses these numbers and would drop ends that were never read. So each
        number is acknowledged once, and only right after the worker has listed it.
        """
        is_fresh = (
            not self.is_unresponsive and now_ms - self.clock_received_ms <= MAX_LISTING_AGE_MS
        )
        if not is_fresh or self.last_acknowledged_end >= self.last_stored_end:
            return 0
        return self.last_stored_end

    def accepts_work(self, now_ms: int) -> bool:
        """Return whether tasks may be started there."""
        return (
            self.is_ready()
            and self.is_listed
            and self.has_entry()
            and not self.is_unresponsive
            and not self.is_leaving
            and not self.is_outdated
            and not self.entry.is_draining()
            and now_ms >= max(self.quarantined_until_ms, self.full_until_ms)
        )

    def is_slow(self, now_ms: int) -> bool:
        """Return whether it gets work only where no other worker has room."""
        return now_ms < self.slow_until_ms

    def is_overfull(self) -> bool:
        """Return whether its runs use more than the capacity in its entry."""
        return not self._holds(self.used_cpu, self.used_memory_mb, self.used_gpu)

    def _holds(self, cpu: int, memory_mb: int, gpu: int) -> bool:
        capacity = self.entry.capacity
        return cpu <= capacity.cpu and memory_mb <= capacity.memory_mb and gpu <= capacity.gpu

    def free_cpu(self) -> int:
        """Return the unused processor capacity, in thousandths of a core."""
        return self.entry.capacity.cpu - self.used_cpu

    def fits(self, step: StepRequest) -> bool:
        """Return whether a task of a step fits; workers may not enforce their own capacity."""
        return self._holds(
            0 if step.fills else self.used_cpu + step.cpu,
            self.used_memory_mb + step.memory_mb,
            self.used_gpu + step.gpu,
        )

    def add(self, run: Run) -> None:
        """Add a run and reserve its capacity."""
        step = run.task.step.request
        self.runs[run.key()] = run
        run.born = run.born or self.born
        if run.task.possible_crashes():
            self.suspects[run.key()] = run
        account = run.task.step.job.account
        if account is not None:
            account.add(run, amount_of_task(step))
        self.used_cpu += 0 if step.fills else step.cpu
        self.used_memory_mb += step.memory_mb
        self.used_gpu += step.gpu

    def remove(self, run: Run) -> None:
        """Remove a run and free its capacity."""
        step = run.task.step.request
        del self.runs[run.key()]
        self.suspects.pop(run.key(), None)
        account = run.task.step.job.account
        if account is not None:
            account.remove(run)
        self.used_cpu -= 0 if step.fills else step.cpu
        self.used_memory_mb -= step.memory_mb
        self.used_gpu -= step.gpu

    def rack(self) -> str:
        """Return the worker's rack, its second label."""
        return self.entry.labels[1] if len(self.entry.labels) > 1 else ""

    def clock_at(self, now_ms: int) -> int:
        """Return an estimate of the worker's clock."""
        return (self.clock_ms or 0) + now_ms - self.clock_received_ms

    def is_lease_expired(self, now_ms: int) -> bool:
        """Return whether everything that ran there has ended because its lease has expired.

        The worker runs nothing beyond the latest end of lease that was sent. Its clock may be slow,
        so it may reach that end later than the local clock suggests.
        """
        if self.clock_ms is None:
            return now_ms > self.earlier_leases_until_ms
        slowest_clock_ms = self.clock_ms + (now_ms - self.clock_received_ms) / SLOWEST_CLOCK
        return slowest_clock_ms > self.lease_until_ms + LEASE_EXPIRY_MARGIN_MS
