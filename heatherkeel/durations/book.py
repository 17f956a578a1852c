"""Everything that a partition's owner knows about durations."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from math import exp, log

from heatherkeel.platform.callers import JobRequest, StepRequest

from .const import (
    KEEP_MS,
    LOG_FACTOR,
    LOG_INTERVAL_MS,
    MAX_AGE_MS,
    MAX_LOG_MS,
    MAX_QUEUES,
    MAX_REPORTED,
    MAX_REPORTED_CONTENTS,
    MIN_STEPS,
    REVISE_MS,
)
from .contents import ContentTimes, make_content_key
from .estimator import estimate_quantile_ms, estimate_step, find_typical_log
from .messages import ContentRow, DurationsOffer, DurationsReport, QueueRow
from .models import Ended, ErrorFactors, StepEstimate, StepKind, StepTimes
from .sums import QueueSums, add_up

_LOGGER = logging.getLogger(__name__)


@dataclass(kw_only=True, slots=True)
class QueueKnowledge:
    """What is known of one queue, here and by others."""

    own: QueueSums = field(default_factory=QueueSums)
    revision: int = 0
    """Revision of the book when it last changed."""
    told: QueueSums = field(default_factory=QueueSums)
    told_ms: int = 0
    """When what others know was current."""
    total: QueueSums = field(default_factory=QueueSums)
    is_used: bool = False
    """Learned durations take the place of the declared ones."""
    logged_ratio: float = 0.0
    """Logarithm of the real by the declared duration, as last logged."""
    logged_is_used: bool = False
    logged_ms: int | None = None


class DurationBook:
    """Learns durations from ended steps, and estimates those of new ones."""

    def __init__(self, *, owner: int, is_enabled: bool = True) -> None:
        self.owner = owner
        self.is_enabled = is_enabled
        """Learned durations may be used; otherwise they are only logged and told to others."""
        self.queues: dict[str, QueueKnowledge] = {}
        self.contents = ContentTimes()
        self.revision = 0
        self.relay = 0
        """Newest fencing token of a process that has passed on what others know."""
        self.is_empty_logged = False
        self.began_ms: int | None = None
        """When the first job was estimated."""

    def estimate(self, queue: str, request: JobRequest, now_ms: int) -> list[StepEstimate] | None:
        """Return the expected durations of a job's steps; None if the declared ones are used."""
        if all(step.lasts for step in request.steps):
            return None
        if self.began_ms is None:
            self.began_ms = now_ms
        known = self.queues.get(queue)
        if known is None:
            self._log_empty(queue)
            return None
        self._expire(known, now_ms)
        if not known.is_used or not self.is_enabled:
            return None
        return [
            estimate_step(
                known.total,
                declared_ms=step.estimated_ms,
                tasks=step.count,
                known=self.contents.find(make_content_key(queue, request, number)),
            )
            for number, step in enumerate(request.steps)
        ]

    def expected_ms(
        self, queue: str, step: StepRequest, times: StepTimes | None, *, quantile: float
    ) -> float | None:
        """Return the time within which a fraction of a step's tasks end, in milliseconds.

        `times` holds those of its tasks that have ended. None if too little is known of the queue.
        """
        known = self.queues.get(queue)
        if known is None or known.total.steps < MIN_STEPS:
            return None
        ended = times.ended() if times is not None else None
        return estimate_quantile_ms(
            known.total, declared_ms=step.estimated_ms, known=ended, quantile=quantile
        )

    def record(self, kind: StepKind, times: StepTimes, now_ms: int) -> ErrorFactors | None:
        """Record a step whose tasks have all ended; returns how far off its estimates were."""
        known = self._find_queue(kind.queue)
        if known is None or not times.tasks:
            return None
        predicted = known.total.predict_log(kind.declared_ms)
        typical, _ = find_typical_log(
            known.total, kind.declared_ms, self.contents.find(kind.content)
        )
        known.own.record(kind.declared_ms, times, predicted_log=predicted)
        self.contents.record(kind.content, times.ended())
        self.revision += 1
        known.revision = self.revision
        self._update(kind.queue, known, now_ms)
        declared = log(max(1, kind.declared_ms)) - times.mean
        return ErrorFactors(declared=declared, learned=typical - times.mean)

    def make_report(self, offer: DurationsOffer) -> DurationsReport | None:
        """Return what has changed since the revision that an offer names; None if nothing has.

        A relay that doesn't know this owner yet learns its token at once, since it holds what
        earlier owners knew.
        """
        if offer.relay < self.relay:
            return None
        since = offer.since if offer.owner == self.owner else 0
        changed = sorted(
            (known.revision, queue)
            for queue, known in self.queues.items()
            if known.revision > since
        )[:MAX_REPORTED]
        if not changed:
            is_known = offer.owner == self.owner
            return None if is_known else DurationsReport(owner=self.owner, revision=0)
        return DurationsReport(
            owner=self.owner,
            revision=changed[-1][0],
            queues=[
                QueueRow(queue=queue, sums=self.queues[queue].own.to_row()) for _, queue in changed
            ],
            contents=[
                ContentRow(key=key, tasks=ended.tasks, mean_log=round(ended.mean_log, 4))
                for key, ended in self.contents.newest_repeated(MAX_REPORTED_CONTENTS)
            ],
        )

    def apply_offer(self, offer: DurationsOffer, now_ms: int) -> set[str]:
        """Take over what others know; an offer of an earlier relay is ignored.

        Returns the queues whose learned durations are used from now on.
        """
        if offer.relay < self.relay or offer.age_ms >= MAX_AGE_MS:
            return set()
        unused = {queue for queue, known in self.queues.items() if not known.is_used}
        unused |= {row.queue for row in offer.queues} - self.queues.keys()
        self.relay = offer.relay
        for row in offer.queues:
            sums = QueueSums.from_row(row.sums)
            known = self._find_queue(row.queue)
            if sums is None or known is None:
                continue
            is_recent = now_ms - known.told_ms < KEEP_MS
            if is_recent and sums.steps < known.told.steps / 2:
                continue
            known.told = sums
            known.told_ms = now_ms - offer.age_ms
            self._update(row.queue, known, now_ms)
        rows = ((row.key, Ended(tasks=row.tasks, mean_log=row.mean_log)) for row in offer.contents)
        self.contents.replace((key, ended) for key, ended in rows if self._is_news(key, ended))
        return {queue for queue in unused & self.queues.keys() if self.queues[queue].is_used}

    def may_revise(self, now_ms: int) -> bool:
        """Return whether jobs may be estimated again by what others know.

        A new owner accepts the jobs of its predecessor of which nothing has started before it
        hears what is known of their durations.
        """
        return self.began_ms is None or now_ms - self.began_ms <= REVISE_MS

    def _is_news(self, key: int, ended: Ended) -> bool:
        """Return whether others know a content better; what is known here isn't replaced."""
        if not 0 <= ended.mean_log <= MAX_LOG_MS:
            return False
        known = self.contents.find(key)
        return known is None or known.tasks < ended.tasks

    def _find_queue(self, queue: str) -> QueueKnowledge | None:
        known = self.queues.get(queue)
        if known is None and len(self.queues) < MAX_QUEUES:
            known = self.queues[queue] = QueueKnowledge()
        return known

    def _expire(self, known: QueueKnowledge, now_ms: int) -> None:
        if known.told.steps and now_ms - known.told_ms >= MAX_AGE_MS:
            known.told = QueueSums()
            known.total = add_up([known.own])
            known.is_used = known.total.is_better(is_used=known.is_used)

    def _update(self, queue: str, known: QueueKnowledge, now_ms: int) -> None:
        known.total = add_up([known.own, known.told])
        known.is_used = known.total.is_better(is_used=known.is_used)
        ratio = known.total.ratio / known.total.steps if known.total.steps else 0.0
        has_changed = abs(ratio - known.logged_ratio) >= log(LOG_FACTOR)
        is_due = known.logged_ms is None or now_ms - known.logged_ms >= LOG_INTERVAL_MS
        if known.total.steps < MIN_STEPS or not is_due:
            return
        if has_changed or known.logged_is_used != known.is_used:
            known.logged_ratio = ratio
            known.logged_is_used = known.is_used
            known.logged_ms = now_ms
            _log_queue(queue, known)

    def _log_empty(self, queue: str) -> None:
        """Log once that declared durations are used since no ends are known."""
        if not self.is_empty_logged:
            self.is_empty_logged = True
            _LOGGER.info(
                "no ended steps are known yet, so declared durations are used",
                extra={"event": "durations_unknown", "queue": queue},
            )


def _log_queue(queue: str, known: QueueKnowledge) -> None:
    total = known.total
    _LOGGER.info(
        "durations of a queue learned",
        extra={
            "event": "durations",
            "queue": queue,
            "is_used": known.is_used,
            "steps": round(total.steps),
            "own_steps": round(known.own.steps),
            "real_by_declared": round(exp(total.ratio / total.steps), 3),
            "declared_error": round(total.declared_rms(), 3),
            "learned_error": round(total.learned_rms(), 3),
        },
    )
