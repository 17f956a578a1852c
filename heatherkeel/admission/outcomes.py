"""Finds out afterwards whether there would have been room for jobs that were refused."""

from __future__ import annotations

from dataclasses import dataclass, field

from .const import MAX_JUDGED


@dataclass(kw_only=True, slots=True, eq=False)
class JudgedJob:
    """A refused job, and the work for which no room has been found yet."""

    job_id: str
    service: str
    work_left: float
    """In core-milliseconds."""
    latest_begin_ms: float
    """When it would have had to begin at the latest to be worth anything."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Verdict:
    """Whether a refusal was right."""

    job: JudgedJob
    is_right: bool


@dataclass(kw_only=True, slots=True)
class RefusalJudge:
    """Simulates refused jobs on the processor that their pools leave unused."""

    waiting: list[JudgedJob] = field(default_factory=list)

    def add(self, job: JudgedJob) -> None:
        """Judge a refused job from now on; those beyond the limit aren't judged."""
        if len(self.waiting) < MAX_JUDGED:
            self.waiting.append(job)

    def discard(self, job_id: str) -> None:
        """Stop judging a job, which was admitted after all."""
        self.waiting = [job for job in self.waiting if job.job_id != job_id]

    def observe(self, unused: dict[str, float], *, now_ms: int) -> list[Verdict]:
        """Return who is judged by now.

        `unused` is the work that each pool could have done since the last call and hasn't, in
        core-milliseconds. The smallest jobs use it first.
        """
        verdicts: list[Verdict] = []
        waiting: list[JudgedJob] = []
        for job in sorted(self.waiting, key=lambda job: job.work_left):
            used = min(job.work_left, unused.get(job.service, 0.0))
            job.work_left -= used
            unused[job.service] = unused.get(job.service, 0.0) - used
            if job.work_left <= 0:
                verdicts.append(Verdict(job=job, is_right=False))
            elif now_ms > job.latest_begin_ms:
                verdicts.append(Verdict(job=job, is_right=True))
            else:
                waiting.append(job)
        self.waiting = waiting
        return verdicts
