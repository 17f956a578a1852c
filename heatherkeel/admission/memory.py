"""Remembers which jobs were admitted and refused, so that no job gets both answers at once."""

from __future__ import annotations

from dataclasses import dataclass, field

from .const import CLOCK_MARGIN_MS, MAX_REMEMBERED, REMEMBERED_MS, RETURNS_SOON_MS


@dataclass(kw_only=True, slots=True)
class RefusedJob:
    """A job that was refused and may return."""

    refused_ms: int
    """When it was refused last."""
    refused_wall_ms: int
    attempt: str
    """The submission that was refused last."""
    returns_ms: float
    """When it was told to return."""
    service: str
    work: float


@dataclass(kw_only=True, slots=True)
class AdmissionMemory:
    """Admitted and refused jobs of one partition, in the order in which that was last decided."""

    admitted: dict[str, int] = field(default_factory=dict)
    """When each job was admitted."""
    refused: dict[str, RefusedJob] = field(default_factory=dict)
    late: dict[str, str] = field(default_factory=dict)
    """The workspace of each refused job of which a late record is stored."""
    next_return_ms: dict[str, float] = field(default_factory=dict)
    """By service, when the next refused job may return."""

    def admit(self, job_id: str, *, now_ms: int) -> None:
        """Remember that a job was admitted or stored."""
        self.refused.pop(job_id, None)
        self.late.pop(job_id, None)
        self.admitted.pop(job_id, None)
        self.admitted[job_id] = now_ms

    def refuse(self, job_id: str, refused: RefusedJob) -> None:
        """Remember that a job was refused."""
        self.refused.pop(job_id, None)
        self.refused[job_id] = refused

    def is_full(self) -> bool:
        """Return whether more IDs than usual are remembered."""
        return max(len(self.admitted), len(self.refused)) >= MAX_REMEMBERED

    def forget_old(self, now_ms: int) -> None:
        """Forget what was decided long ago."""
        since_ms = now_ms - REMEMBERED_MS
        while self.admitted and next(iter(self.admitted.values())) < since_ms:
            del self.admitted[next(iter(self.admitted))]
        while self.refused and next(iter(self.refused.values())).refused_ms < since_ms:
            del self.refused[next(iter(self.refused))]

    def take_expired_late(self) -> dict[str, str]:
        """Return and forget the late records whose jobs hardly return any more."""
        expired = {job: name for job, name in self.late.items() if job not in self.refused}
        for job_id in expired:
            del self.late[job_id]
        return expired

    def plan_return(
        self, service: str, *, room_ms: float, takes_ms: float, latest_ms: float
    ) -> float:
        """Return when a job may return for which there is room at `room_ms`.

        Each job that returns takes the pool's whole processor for `takes_ms`. The next one is told
        to return that much later, at most at `latest_ms`.
        """
        returns_ms = max(room_ms, self.next_return_ms.get(service, 0.0))
        if returns_ms > latest_ms:
            # Begin anew: all later ones would return together at the latest time.
            returns_ms = min(room_ms, latest_ms)
        self.next_return_ms[service] = returns_ms + takes_ms
        return returns_ms

    def sum_returning(self, service: str, *, now_ms: int) -> float:
        """Return the work of refused jobs that return now or soon; it goes before new jobs."""
        return sum(
            refused.work
            for refused in self.refused.values()
            if refused.service == service and abs(refused.returns_ms - now_ms) <= RETURNS_SOON_MS
        )

    def is_late(self, job_id: str, *, attempt: str, accepted_wall_ms: int) -> bool:
        """Return whether a stored record is of a submission before its job's refusal.

        Its caller has been told since that the job never runs. The submission that was refused is
        itself stored only if the refusal didn't reach the entry instance, so its caller wasn't.
        """
        refused = self.refused.get(job_id)
        return (
            refused is not None
            and bool(attempt)
            and attempt != refused.attempt
            and accepted_wall_ms + CLOCK_MARGIN_MS <= refused.refused_wall_ms
        )
