"""Constants of routing, limits, retries and claims."""

from __future__ import annotations

from typing import Final

MAX_ATTEMPTS: Final = 3
"""Most sends of one idempotent request, the first one included."""

RETRY_EARNED_PER_FIRST_TRY: Final = 20
"""Retry budget that one first try earns, in hundredths of a retry."""

RETRY_COST: Final = 100
"""What one retry takes from the budget, in hundredths of a retry."""

RETRY_BUDGET_MAX: Final = 1_000
"""Most retry budget that can be saved up, in hundredths of a retry."""

EJECT_AFTER_FAILURES: Final = 5
"""Failures in a row, with no success between them, after which a target is ejected."""

EJECT_BASE_MS: Final = 5_000
"""Length of a first ejection; every one that follows without a success doubles it."""

EJECT_MAX_MS: Final = 60_000
"""Longest ejection."""

SLOW_START_MS: Final = 10_000
"""Time over which a returning target is given its full share of requests again."""

LATENCY_WEIGHT: Final = 8
"""A new latency counts one part in this many in the moving average."""

INITIAL_LATENCY_MS: Final = 50.0
"""Latency assumed of a target that has not answered yet."""

ATTEMPT_LATENCY_FACTOR: Final = 4
"""An attempt may take this many times the usual latency before its retry is due."""

MAX_PASSED_OVER: Final = 7
"""Times that a waiting class may be passed over by a more urgent one before its turn comes."""

MIN_RETRY_AFTER_MS: Final = 100
MAX_RETRY_AFTER_MS: Final = 30_000

UNAVAILABLE_RETRY_AFTER_MS: Final = 5_000
"""When to come back if there is no drain rate to reckon with: no target, no lease, no platform."""

QUEUE_TICK_MS: Final = 50
"""How often the owner of the loop sends `QueueTick` while something is queued."""

LIST_LAG_MS: Final = 15_000
"""How far the platform's list may lag behind what a target itself has said."""

SHARE_GRACE_MS: Final = 10_000
"""Time after a routing lease in which sends of its holder may still be in progress."""

FULL_ZONE_MS: Final = 50
"""How long a zone without room is not looked at again, unless a slot is freed there."""

SPONSORED_SLOTS: Final = 1
"""Slots of each near target that a sponsor leaves to a newcomer that the fold doesn't know."""

SPILL_PERCENT: Final = 25
"""Part of a target's slots that entry instances of other availability zones share."""

KEY_RETENTION_MS: Final = 30 * 60 * 1000
"""How long a key is remembered after its last record, in log milliseconds.

Longer than any record stays appendable (`MAX_RECORD_LIFETIME_MS`), so no late copy of a claim
finds its key forgotten. Claims are part of the folded state and so of its snapshots: they don't
depend on how long the log keeps records.
"""

MAX_KEYED_DEADLINE_MS: Final = 10 * 60 * 1000
"""Longest deadline of a request with a key, well inside of `KEY_RETENTION_MS`."""

MAX_CLAIMS: Final = 20_000
"""Most keys remembered at a time; with `KEY_RETENTION_MS` about 11 new ones a second for long."""

CLAIM_PURGE_INTERVAL_MS: Final = 10 * 1000
"""How often, in log milliseconds, forgotten keys are taken out of the state."""

MAX_KEY_CHARS: Final = 128
"""Longest `Idempotency-Key`, in characters."""

MAX_KEPT_ANSWER_CHARS: Final = 4_096
"""Largest recorded answer body, in characters of base64; of a larger one the digest is kept."""

MAX_KEPT_TOTAL_CHARS: Final = 8 * 1024 * 1024
"""Most characters of answer bodies kept at a time; past it digests alone are kept."""

KEY_IN_PROGRESS_RETRY_AFTER_MS: Final = 1_000
"""When a repeat should ask again while the first request is in progress."""
