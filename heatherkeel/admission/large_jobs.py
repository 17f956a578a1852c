"""Decides for a partition's owner whether there is memory for another large job.

A job of a few bytes may have thousands of tasks, and each owner keeps them until the job has ended.
Small jobs aren't counted: the store takes only so many of them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from heatherkeel.dispatch.building import LARGE_JOB_BYTES
from heatherkeel.dispatch.state import PartitionState

from .const import PROMISED_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class Promise:
    """A large job that may be stored and that the owner hasn't read yet."""

    size: int
    until_ms: int


@dataclass(kw_only=True, slots=True)
class LargeJobs:
    """The memory of a partition's large jobs, with those that are about to be stored."""

    state: PartitionState
    limit_bytes: int
    promised: dict[str, Promise] = field(default_factory=dict)

    def has_room(self, job_id: str, size: int, *, now_ms: int) -> bool:
        """Return whether a job may be stored; a single one always may, whatever its size."""
        used = self.used_bytes(now_ms, without=job_id)
        return not used or used + size <= self.limit_bytes

    def promise(self, job_id: str, size: int, *, now_ms: int) -> None:
        """Count a job that may be stored from now on."""
        self.promised[job_id] = Promise(size=size, until_ms=now_ms + PROMISED_MS)

    def used_bytes(self, now_ms: int, *, without: str = "") -> int:
        """Return the memory of the large jobs but one, in bytes."""
        self._forget_old(now_ms)
        kept = [*self.state.jobs.values(), *self.state.finished.values()]
        used = sum(
            job.kept_bytes
            for job in kept
            if job.kept_bytes >= LARGE_JOB_BYTES and job.id != without
        )
        promised = sum(promise.size for job, promise in self.promised.items() if job != without)
        return used + promised

    def _forget_old(self, now_ms: int) -> None:
        for job_id, promise in list(self.promised.items()):
            if promise.until_ms < now_ms or self.state.is_known(job_id):
                del self.promised[job_id]
