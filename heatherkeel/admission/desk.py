"""Decides for a partition's owner which jobs are admitted."""

from __future__ import annotations

from dataclasses import dataclass, field
from math import ceil

import msgspec

from heatherkeel.dispatch.building import DEFAULT_TARGET_MS, critical_paths_ms, remaining_work
from heatherkeel.dispatch.const import ESTIMATE_SLACK
from heatherkeel.dispatch.open_steps import WORTHLESS_FACTOR
from heatherkeel.dispatch.state import PartitionState
from heatherkeel.platform.callers import JobRequest
from heatherkeel.questions.messages import AdmissionQuestion

from .const import MAX_QUESTION_AGE_MS, MAX_RETRY_S, QUIET_MS
from .estimate import expect
from .measure import BacklogMeter
from .memory import AdmissionMemory, RefusedJob
from .models import Applicant, Doubt, Expectation, PoolBacklog
from .outcomes import JudgedJob, RefusalJudge


@dataclass(frozen=True, kw_only=True, slots=True)
class Decision:
    """A decision on one job; it is admitted unless `expected` says that it would be hopeless."""

    doubt: Doubt | None = None
    expected: Expectation | None = None
    backlog: PoolBacklog | None = None
    service: str = ""
    work: float = 0.0
    path_ms: float = 0.0
    """Expected work and critical path, by which it was decided."""

    def is_refusal(self) -> bool:
        """Return whether the job is refused, provided that it isn't stored."""
        return self.doubt is None and self.expected is not None and self.expected.is_hopeless()


@dataclass(kw_only=True, slots=True)
class AdmissionDesk:
    """The decisions of one owner, and its memory of them; without network and clock."""

    state: PartitionState
    meter: BacklogMeter = field(init=False)
    memory: AdmissionMemory = field(default_factory=AdmissionMemory)
    judge: RefusalJudge = field(default_factory=RefusalJudge)
    opened_ms: int | None = None
    """When the owner had restored its jobs."""

    def __post_init__(self) -> None:
        self.meter = BacklogMeter(state=self.state)

    def decide(
        self,
        question: AdmissionQuestion,
        *,
        now_ms: int,
        wall_ms: int,
        is_current: bool,
        partitions: int,
    ) -> Decision:
        """Decide on a job; an admission is remembered, a refusal only by `refuse`."""
        self.memory.forget_old(now_ms)
        question = self._apply_learned(question, now_ms=now_ms)
        doubt = self.find_doubt(question, now_ms=now_ms, wall_ms=wall_ms, is_current=is_current)
        if doubt is not None:
            self.admit(question.job_id, now_ms=now_ms)
            return Decision(doubt=doubt)
        queue = self.state.queues[question.queue]
        backlog = self.meter.measure(queue.service, now_ms=now_ms)
        applicant = self._make_applicant(question, partitions=partitions, now_ms=now_ms)
        expected = expect(backlog, applicant)
        if not expected.is_hopeless() and question.job_id not in self.memory.refused:
            kept = self.memory.sum_returning(queue.service, now_ms=now_ms)
            expected = expect(backlog, applicant, kept=kept)
        decision = Decision(
            expected=expected,
            backlog=backlog,
            service=queue.service,
            work=question.work,
            path_ms=question.path_ms,
        )
        if not decision.is_refusal():
            self.admit(question.job_id, now_ms=now_ms)
        return decision

    def _apply_learned(self, question: AdmissionQuestion, *, now_ms: int) -> AdmissionQuestion:
        """Return the question with learned durations, where they take the place of declared ones.

        The job's content isn't known here, so its queue's ends alone count.
        """
        steps = question.steps
        request = JobRequest(steps=steps)
        estimates = self.state.durations.estimate(question.queue, request, now_ms)
        if not estimates:
            return question
        return msgspec.structs.replace(
            question,
            work=max(remaining_work(steps, estimates)),
            path_ms=max(critical_paths_ms(steps, estimates)),
        )

    def find_doubt(
        self, question: AdmissionQuestion, *, now_ms: int, wall_ms: int, is_current: bool
    ) -> Doubt | None:
        """Return why a job can't be decided on; None if it can."""
        if self.state.is_known(question.job_id) or question.job_id in self.memory.admitted:
            return Doubt.KNOWN
        if self.is_new(now_ms):
            return Doubt.NEW_OWNER
        if not is_current or not self.state.can_start:
            return Doubt.NOT_CURRENT
        if abs(wall_ms - question.sent_wall_ms) > MAX_QUESTION_AGE_MS:
            return Doubt.OLD_QUESTION
        if question.queue not in self.state.queues:
            return Doubt.UNKNOWN_QUEUE
        return Doubt.FULL if self.memory.is_full() else None

    def _make_applicant(
        self, question: AdmissionQuestion, *, partitions: int, now_ms: int
    ) -> Applicant:
        queue = self.state.queues.get(question.queue)
        slack = queue.slack_factor if queue else 1.0
        target_ms = queue.target_latency_ms if queue else DEFAULT_TARGET_MS
        account = self.state.accounts.find(question.workspace)
        limit = account.limit if account is not None else None
        objective_ms = slack * question.path_ms + target_ms
        return Applicant(
            job_id=question.job_id,
            workspace=question.workspace,
            work=question.work,
            path_ms=question.path_ms,
            late_ms=objective_ms - (1 - ESTIMATE_SLACK) * question.path_ms,
            worthless_ms=WORTHLESS_FACTOR * objective_ms,
            is_excess=account is not None
            and queue is not None
            and not account.has_share(queue.service, partitions=partitions, now_ms=now_ms),
            limit_cores=limit.cpu / 1000 if limit is not None else 0.0,
        )

    def admit(self, job_id: str, *, now_ms: int) -> None:
        """Remember that a job is stored, or may be from now on: it isn't refused any more."""
        if job_id in self.memory.refused:
            self.judge.discard(job_id)
        self.memory.admit(job_id, now_ms=now_ms)

    def is_new(self, now_ms: int) -> bool:
        """Return whether the owner hasn't had its partition for long enough to refuse anything."""
        return self.opened_ms is None or now_ms - self.opened_ms < QUIET_MS

    def is_known(self, job_id: str) -> bool:
        """Return whether a job is known or was admitted."""
        return self.state.is_known(job_id) or job_id in self.memory.admitted

    def refuse(
        self, question: AdmissionQuestion, decision: Decision, *, now_ms: int, wall_ms: int
    ) -> int:
        """Remember a refusal, and return in how many seconds the job may return."""
        expected, backlog = decision.expected, decision.backlog
        assert expected is not None and backlog is not None, "decided by a backlog"
        earlier = self.memory.refused.get(question.job_id)
        room_ms = now_ms + expected.room_in_ms()
        if earlier is None:
            takes_ms = decision.work / max(1.0, backlog.cores)
            room_ms = self.memory.plan_return(
                decision.service,
                room_ms=room_ms,
                takes_ms=takes_ms,
                latest_ms=now_ms + 1000 * MAX_RETRY_S,
            )
        retry_s = max(1, min(MAX_RETRY_S, ceil((room_ms - now_ms) / 1000)))
        self.memory.refuse(
            question.job_id,
            RefusedJob(
                refused_ms=now_ms,
                refused_wall_ms=wall_ms,
                attempt=question.attempt,
                returns_ms=now_ms + 1000 * retry_s,
                service=decision.service,
                work=decision.work,
            ),
        )
        if earlier is None:
            latest_begin_ms = now_ms + expected.worthless_ms - decision.path_ms
            self.judge.add(
                JudgedJob(
                    job_id=question.job_id,
                    service=decision.service,
                    work_left=decision.work,
                    latest_begin_ms=latest_begin_ms,
                )
            )
        return retry_s

    def measure_unused(self, interval_ms: float) -> dict[str, float]:
        """Return the work that each pool could have done in an interval beyond what waits."""
        now_ms = self.state.now_ms
        unused: dict[str, float] = {}
        for service, pool in self.state.pools.items():
            backlog = self.meter.measure(service, now_ms=now_ms)
            waiting = sum(backlog.live.values()) + sum(backlog.excess.values())
            free_cpu = sum(
                max(0, worker.free_cpu())
                for worker in pool.workers.values()
                if worker.accepts_work(now_ms)
            )
            unused[service] = max(0.0, free_cpu * interval_ms / 1000 - waiting)
        return unused
