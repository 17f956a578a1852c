"""Keeps what each workspace has used lately over all partitions."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Iterable, Mapping
from math import exp

from .const import MAX_OVER_PART, MAX_USE_AGE_MS, USE_WINDOW_MS
from .messages import AccountReport
from .sharing import Use, find_over_part

_LOGGER = logging.getLogger(__name__)


class RecentUse:
    """Averages the reports of all owners, and finds the workspaces above their part.

    A partition whose owner hasn't answered for some time counts as using nothing: nobody is held
    back for what may have ended.
    """

    def __init__(self) -> None:
        self.answered_ms: dict[int, int] = {}
        """When each partition's owner last answered."""
        self.uses: dict[str, Use] = {}
        """The averages, by workspace."""
        self.updated_ms: int | None = None
        self.over_part: list[str] = []

    def record_answer(self, partition: int, *, now_ms: int) -> None:
        """Record that a partition's owner has just reported its accounts."""
        self.answered_ms[partition] = now_ms

    def update(
        self,
        reports: Mapping[int, Iterable[AccountReport]],
        *,
        weights: Mapping[str, float],
        now_ms: int,
    ) -> list[str]:
        """Add the partitions' newest reports to the averages; return who is above its part."""
        used: Counter[str] = Counter()
        waiting: Counter[str] = Counter()
        for partition, accounts in reports.items():
            if now_ms - self.answered_ms.get(partition, -MAX_USE_AGE_MS) >= MAX_USE_AGE_MS:
                continue
            for report in accounts:
                used[report.workspace] += report.used.cpu
                waiting[report.workspace] += report.waiting.cpu
        elapsed_ms = USE_WINDOW_MS if self.updated_ms is None else now_ms - self.updated_ms
        kept = exp(-elapsed_ms / USE_WINDOW_MS)
        self.updated_ms = now_ms
        self.uses = {
            workspace: self._average(
                workspace,
                Use(used=used[workspace], waiting=waiting[workspace], weight=weight),
                kept=kept,
            )
            for workspace, weight in weights.items()
        }
        over_part = find_over_part(self.uses, known=frozenset(self.over_part))[:MAX_OVER_PART]
        if set(over_part) != set(self.over_part):
            self._log(over_part)
        self.over_part = over_part
        return over_part

    def _average(self, workspace: str, now: Use, *, kept: float) -> Use:
        before = self.uses.get(workspace, Use(used=0.0))
        return Use(
            used=kept * before.used + (1 - kept) * now.used,
            waiting=kept * before.waiting + (1 - kept) * now.waiting,
            weight=now.weight,
        )

    def _log(self, over_part: list[str]) -> None:
        _LOGGER.info(
            "workspaces above their part of the capacity changed",
            extra={
                "event": "over_part",
                "workspaces": over_part,
                "before": self.over_part,
                "used_cpu": {name: round(self.uses[name].used) for name in over_part},
                "partitions": len(self.answered_ms),
            },
        )
