"""Times and bounds of admission."""

from __future__ import annotations

from typing import Final

ANSWER_WAIT_S: Final = 0.15
"""How long a submission waits for its partition's owner, in seconds; a job whose owner doesn't
answer in time is accepted."""
SILENCE_MS: Final = 1000
"""How long an owner isn't asked again after a question without an answer, in milliseconds, so that
a lost owner doesn't delay each submission."""
MAX_QUESTION_AGE_MS: Final = 1000
"""Age from which a question is never answered by a refusal, in milliseconds: whoever asked has
stored the job meanwhile, or the two wall clocks differ."""
QUIET_MS: Final = 3000
"""How long a new owner refuses nothing, in milliseconds. It doesn't know yet which workers respond
and which jobs its predecessor admitted."""
REMEMBERED_MS: Final = 30_000
"""How long admitted and refused job IDs are remembered, in milliseconds; longer than callers repeat
a submission and than an append may be late."""
MAX_REMEMBERED: Final = 20_000
"""Number of IDs that are remembered of each kind; with more, nothing is refused."""
CLOCK_MARGIN_MS: Final = 100
"""How far wall clocks of processes may differ, in milliseconds, without a job that returns after
its refusal being taken for an earlier one."""
MEASURE_INTERVAL_MS: Final = 100
"""Age up to which a measured backlog is used again, in milliseconds."""
MACHINES_COME_MS: Final = 2500
"""Time in which more machines arrive in a pool that lacks them, in milliseconds. A shorter backlog
refuses nothing, since how the pool grows isn't known yet."""
GROWTH_WINDOW_MS: Final = 2000
"""Window over which the growth of a pool is measured, in milliseconds."""
OPTIMISM: Final = 0.8
"""Fraction of the declared durations that counts, since they may be too long."""
MAX_RETRY_S: Final = 20
"""Longest Retry-After, in seconds; shorter than refused IDs are remembered."""
RETURNS_SOON_MS: Final = 1000
"""How early room is kept for refused jobs that are about to return, in milliseconds."""
MAX_JUDGED: Final = 2000
"""Maximum number of refused jobs whose outcome is being found out."""
JUDGE_INTERVAL_S: Final = 0.2
"""Interval at which a pool's unused processor is compared with what was refused, in seconds."""
MAX_STEPS_MEASURED: Final = 4000
"""Maximum number of waiting steps that a measurement visits; the others don't count."""
MAX_MEASURE_GAP_MS: Final = 1000
"""Time between two measurements from which it isn't known what was in between."""
OVERLOAD_MS: Final = 500
"""Waiting work, in milliseconds of the pool's whole processor, from which it is overloaded."""
UNLIMITED_BYTES: Final = 1 << 60
"""Memory for large jobs where it isn't limited."""
PROMISED_MS: Final = 10_000
"""How long the memory of an admitted large job is kept free before its owner has read it, in
milliseconds; longer than callers wait for an append."""
MEMORY_RETRY_S: Final = 5
"""Retry-After of a large job for which there is no memory, in seconds."""
MAX_RECORDS_READ: Final = 500
"""Number of jobs stored since the owner's last read from which it refuses nothing."""
PATH_BUCKET_MS: Final = 100
"""Width of a class of critical paths, in milliseconds."""
UNTIL_BUCKET_MS: Final = 250
"""Width of a bucket of times, in milliseconds."""
