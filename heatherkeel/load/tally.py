"""Adds up replies: latency histograms by outcome, counts by reason, broken promises."""

from __future__ import annotations

from collections import Counter
from typing import Any

from .const import HIGHEST_LATENCY_US, LATENCY_DIGITS, LOWEST_LATENCY_US
from .models import Breach, LatencySummary, Outcome, Promise, Reply, Report


class Latencies:
    """One histogram of latencies in microseconds."""

    def __init__(self) -> None:
        # Only load and measurement need it, so no entry process pays for it in memory.
        from hdrh.histogram import HdrHistogram

        self.histogram: Any = HdrHistogram(LOWEST_LATENCY_US, HIGHEST_LATENCY_US, LATENCY_DIGITS)

    def add(self, latency_us: int) -> None:
        """Record one latency."""
        self.histogram.record_value(max(LOWEST_LATENCY_US, min(latency_us, HIGHEST_LATENCY_US)))

    def summarize(self) -> LatencySummary:
        """Return the percentiles in milliseconds."""
        histogram = self.histogram

        def at(percent: float) -> float:
            return float(round(histogram.get_value_at_percentile(percent) / 1000, 3))

        return LatencySummary(
            count=histogram.get_total_count(),
            mean=round(histogram.get_mean_value() / 1000, 3),
            p50=at(50),
            p90=at(90),
            p99=at(99),
            p999=at(99.9),
            max=round(histogram.get_max_value() / 1000, 3),
        )


class Tally:
    """All replies of one run."""

    def __init__(self) -> None:
        self.latencies: dict[Outcome, Latencies] = {}
        self.late = Latencies()
        self.outcomes: Counter[str] = Counter()
        self.reasons: Counter[str] = Counter()
        self.breaches: list[Breach] = []
        self.told: dict[str, Reply] = {}

    def add(self, reply: Reply) -> None:
        """Take in one reply."""
        self.told[reply.request.id] = reply
        self.outcomes[reply.outcome] += 1
        if reply.outcome is not Outcome.RAN or reply.reason != "status_200":
            self.reasons[f"{reply.outcome}: {reply.reason}"] += 1
        if reply.outcome is not Outcome.NOT_SENT:
            self.latencies.setdefault(reply.outcome, Latencies()).add(reply.latency_us)
            self.late.add(reply.late_us)
        for promise in reply.broken:
            self._breach(promise, reply.request.id, f"answer of {reply.request.entry}")

    def compare(self, runs: Counter[str]) -> None:
        """Compare how often targets ran each request id with what its caller was told."""
        for request_id, reply in self.told.items():
            count = runs[request_id]
            if reply.outcome is Outcome.NOT_RUN and count:
                self._breach(Promise.NOT_RUN_IS_TRUE, request_id, f"ran {count} times")
            if not reply.request.idempotent and count > 1:
                self._breach(Promise.AT_MOST_ONCE, request_id, f"ran {count} times")

    def _breach(self, promise: Promise, request_id: str, detail: str) -> None:
        self.breaches.append(Breach(promise=promise, request_id=request_id, detail=detail))

    def report(self, *, planned: int, elapsed_s: float, offered_per_s: float) -> Report:
        """Return what the run measured."""
        not_sent = self.outcomes[Outcome.NOT_SENT]
        sent = len(self.told) - not_sent
        silent = (Outcome.NOT_CONNECTED, Outcome.NO_ANSWER, Outcome.TIMED_OUT)
        return Report(
            planned=planned,
            sent=sent,
            answered=sent - sum(self.outcomes[outcome] for outcome in silent),
            elapsed_s=round(elapsed_s, 3),
            offered_per_s=round(offered_per_s, 1),
            ran_per_s=round(self.outcomes[Outcome.RAN] / elapsed_s, 1),
            latency_ms={
                outcome: latencies.summarize() for outcome, latencies in self.latencies.items()
            },
            generator_late_ms=self.late.summarize(),
            outcomes=dict(self.outcomes),
            reasons=dict(self.reasons.most_common()),
            breaches=self.breaches,
        )
