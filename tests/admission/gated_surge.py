"""A simulated surge whose jobs ask for admission, in several ways, before they are submitted."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import StrEnum
from random import Random

from heatherkeel.admission.desk import AdmissionDesk, Decision
from heatherkeel.admission.models import RefusalReason
from heatherkeel.dispatch.building import critical_paths_ms, remaining_work
from heatherkeel.dispatch.events import JobSubmitted, LimitsChanged
from heatherkeel.dispatch.models import Job
from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.questions.messages import AdmissionQuestion
from heatherkeel.workspaces.amounts import Amount
from tests.dispatch.surge import Surge, draw_steps, relative_duration

BUSY, USUAL = "busy", "usual"
"""A workspace that sends far more than its weight, and one that doesn't."""


class Way(StrEnum):
    """When a job that surely can't be served is refused."""

    NEVER = "never"
    AT_APPEND = "at_append"
    """By the owner, once the job is stored and read: its caller waits for the store."""
    AT_ENTRY = "at_entry"
    """By the entry instance, which asks the owner before the job is stored."""


@dataclass(frozen=True, kw_only=True)
class RefusedArrival:
    """A refused job, and how long its caller waited for the refusal."""

    job_id: str
    waited_ms: int
    retry_s: int
    decision: Decision


@dataclass(kw_only=True)
class Arrival:
    """A job that is about to be submitted."""

    job_id: str
    workspace: str
    steps: list[StepRequest]
    arrived_ms: int


class GatedSurge(Surge):
    """Asks the desk about each job; records the answer also where nobody is refused."""

    def __init__(
        self,
        *,
        workers: int,
        seed: int,
        way: Way,
        busy_fraction: float = 0.0,
        weight: float = 1.0,
        append_ms: int = 20,
    ) -> None:
        super().__init__(workers=workers, seed=seed)
        self.way = way
        self.drawn = Random(seed)
        """Draws the jobs, so that they are the same in all ways."""
        self.busy_fraction = busy_fraction
        self.append_ms = append_ms
        self.desk = AdmissionDesk(state=self.partition.state, opened_ms=-1_000_000)
        self.count = 0
        self.stored = 0
        self.refused: list[RefusedArrival] = []
        self.appending: list[tuple[int, str, Arrival]] = []
        self.verdicts = {True: 0, False: 0}
        self.observed_ms = self.partition.now_ms
        weights = {BUSY: weight, USUAL: 1000.0}
        self.partition.apply(
            LimitsChanged(
                **self.partition.event_times(),
                limits=dict.fromkeys(weights, Amount()),
                weights=weights,
            )
        )

    def _submit(self) -> None:
        workspace = BUSY if self.drawn.random() < self.busy_fraction else USUAL
        arrival = Arrival(
            job_id=f"{self.count:016x}",
            workspace=workspace,
            steps=draw_steps(self.drawn),
            arrived_ms=self.partition.now_ms,
        )
        self.count += 1
        if self.way is Way.AT_ENTRY and self._is_refused(arrival):
            return
        self.stored += 1
        heapq.heappush(
            self.appending, (self.partition.now_ms + self.append_ms, arrival.job_id, arrival)
        )

    def _execute_effects(self) -> None:
        self._take_stored()
        self._judge()
        super()._execute_effects()

    def _take_stored(self) -> None:
        while self.appending and self.appending[0][0] <= self.partition.now_ms:
            arrival = heapq.heappop(self.appending)[-1]
            is_refused = self.way is not Way.AT_ENTRY and self._is_refused(arrival)
            if is_refused and self.way is Way.AT_APPEND:
                continue
            self.partition.apply(
                JobSubmitted(
                    **self.partition.event_times(),
                    job_id=arrival.job_id,
                    queue="quotes",
                    service="portal",
                    request=JobRequest(spec="s", steps=tuple(arrival.steps)),
                    accepted_wall_ms=arrival.arrived_ms,
                    workspace=arrival.workspace,
                )
            )
            self.jobs.append(self.partition.job(arrival.job_id))

    def _judge(self) -> None:
        now_ms = self.partition.now_ms
        if now_ms - self.observed_ms < 200:
            return
        unused = self.desk.measure_unused(now_ms - self.observed_ms)
        self.observed_ms = now_ms
        for verdict in self.desk.judge.observe(unused, now_ms=now_ms):
            self.verdicts[verdict.is_right] += 1

    def _is_refused(self, arrival: Arrival) -> bool:
        now_ms = self.partition.now_ms
        question = ask(arrival, now_ms=now_ms)
        decision = self.desk.decide(
            question, now_ms=now_ms, wall_ms=now_ms, is_current=True, partitions=1
        )
        if not decision.is_refusal():
            return False
        retry_s = self.desk.refuse(question, decision, now_ms=now_ms, wall_ms=now_ms)
        self.refused.append(
            RefusedArrival(
                job_id=arrival.job_id,
                waited_ms=now_ms - arrival.arrived_ms,
                retry_s=retry_s,
                decision=decision,
            )
        )
        return True

    def reasons(self) -> set[RefusalReason]:
        """Return why jobs were refused."""
        expected = [refused.decision.expected for refused in self.refused]
        return {one.reason for one in expected if one is not None}

    def served(self, *, workspace: str | None = None) -> list[Job]:
        """Return the jobs that ended before they were worth nothing."""
        return [
            job
            for job in self.jobs
            if relative_duration(job) <= 3 and workspace in (None, job.workspace)
        ]


def ask(arrival: Arrival, *, now_ms: int) -> AdmissionQuestion:
    """Return the question about a job."""
    steps = tuple(arrival.steps)
    return AdmissionQuestion(
        partition=0,
        job_id=arrival.job_id,
        queue="quotes",
        workspace=arrival.workspace,
        attempt="first",
        sent_wall_ms=now_ms,
        work=max(remaining_work(steps)),
        path_ms=max(critical_paths_ms(steps)),
    )
