"""Constants for routing, limits, retries and claims."""

from __future__ import annotations

from typing import Final

MAX_ATTEMPTS: Final = 3
"""Maximum attempts per idempotent request, including the first one."""

RETRY_EARNED_PER_FIRST_ATTEMPT: Final = 20
"""Retry budget earned by each first attempt, in hundredths of a retry."""

RETRY_COST: Final = 100
"""Budget spent by one retry, in hundredths of a retry."""

RETRY_BUDGET_MAX: Final = 1_000
"""Maximum retry budget of a service, in hundredths of a retry."""

EJECT_AFTER_FAILURES: Final = 5
"""Consecutive failures after which a target is ejected."""

EJECT_BASE_MS: Final = 5_000
"""Duration of the first ejection; doubled for each further one without a success."""

EJECT_MAX_MS: Final = 60_000
"""Maximum duration of an ejection."""

SLOW_START_MS: Final = 10_000
"""Time over which a returning target ramps up to its full share of requests."""

LATENCY_WEIGHT: Final = 8
"""A new latency has a weight of one in this many in the moving average."""

INITIAL_LATENCY_MS: Final = 50.0
"""Latency assumed for a target that has not answered yet."""

ATTEMPT_LATENCY_FACTOR: Final = 4
"""Multiple of the average latency that an attempt may take before it is retried."""

MAX_PASSED_OVER: Final = 7
"""Times that a waiting class may be passed over before it is served first."""

MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 30_000

UNAVAILABLE_RETRY_AFTER_MS: Final = 5_000
"""Retry-after time if it can't be derived from a drain rate, such as without a target."""

QUEUE_TICK_MS: Final = 50
"""Interval at which the event loop sends `QueueTick` while requests are queued."""

LIST_LAG_MS: Final = 15_000
"""Maximum lag of the platform's list behind a target's own reports."""

SHARE_GRACE_MS: Final = 10_000
"""Time after the end of a routing lease in which its holder's requests may still run."""

FULL_ZONE_RECHECK_MS: Final = 50
"""Time for which a full zone is not searched again, unless a slot is freed there."""

SPONSORED_SLOTS: Final = 1
"""Slots per target of its zone that a sponsor reserves for each joining instance."""

SPILL_PERCENT: Final = 25
"""Percentage of a target's slots for entry instances in other availability zones."""

KEY_RETENTION_MS: Final = 30 * 60 * 1000
"""Time for which a key is kept after its last record, in log milliseconds.

Longer than `MAX_RECORD_LIFETIME_MS`, so that a late copy of a claim still finds its key.
"""

MAX_KEYED_DEADLINE_MS: Final = 10 * 60 * 1000
"""Maximum deadline of a request with a key; well below `KEY_RETENTION_MS`."""

MAX_CLAIMS: Final = 20_000
"""Maximum number of keys kept at a time."""

CLAIM_PURGE_INTERVAL_MS: Final = 10 * 1000
"""Interval at which expired keys are removed from the state, in log milliseconds."""

MAX_KEY_CHARS: Final = 128
"""Maximum length of an `Idempotency-Key`, in characters."""

MAX_KEPT_ANSWER_CHARS: Final = 4_096
"""Maximum length of a recorded answer body in base64; larger ones are kept as a digest."""

MAX_KEPT_TOTAL_CHARS: Final = 8 * 1024 * 1024
"""Maximum total characters of kept answer bodies; beyond it only digests are kept."""

KEY_IN_PROGRESS_RETRY_AFTER_MS: Final = 1_000
NO_MEMORY_RETRY_AFTER_MS: Final = 1_000
"""Retry-after time of a repeated request while the first one is in progress."""
