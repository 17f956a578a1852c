"""What a queue says about its jobs, stored with each of them."""

from __future__ import annotations

import msgspec

from heatherkeel.platform.advice import Advisor
from heatherkeel.platform.operator import Queue
from heatherkeel.platform.ranges import Count, Duration, Slack


class JobTerms(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The settings of a queue by which a job was accepted; the fields are those of `Queue`.

    A process that starts after the queue was removed finds them nowhere else.
    """

    max_failures: Count
    priority: Count
    slack_factor: Slack
    target_latency_ms: Duration
    advisor: Advisor | None = None


def make_terms(queue: Queue) -> JobTerms:
    """Return the terms of the jobs that a queue accepts now."""
    return JobTerms(
        max_failures=queue.max_failures,
        priority=queue.priority,
        slack_factor=queue.slack_factor,
        target_latency_ms=queue.target_latency_ms,
        advisor=queue.advisor,
    )
