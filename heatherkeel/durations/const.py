"""Weights and limits of learned durations."""

from __future__ import annotations

from typing import Final

MEMORY_STEPS: Final = 256
"""Number of steps after which an owner's earlier ones have lost two thirds of their weight."""
MIN_STEPS: Final = 8
"""Steps of a queue that must have ended before its learned durations are used."""
DECLARED_ERROR: Final = 0.6
"""Root mean square error of the declared durations' logarithms from which they count as far off; at
this value, about a third of them are off by a factor of 1.8 or more."""
RELATIVE_ERROR: Final = 0.75
"""Maximum error of the learned durations, as a fraction of the declared ones', to be used."""
KEEP_FACTOR: Final = 0.85
"""Factor on the first limit above, and divisor of the second, while learned durations are in use: a
queue near a limit shouldn't switch back and forth."""
BIAS_PRIOR: Final = 1.0
"""Steps whose declared durations count as right in the mean before any has ended."""
SLOPE_PRIOR: Final = 0.5
"""Sum of squares that declared durations have in their favor before any step has ended."""
SPREAD_PRIOR: Final = 0.05
"""Assumed variance of the logarithms of the durations of a step's tasks."""
SPREAD_PRIOR_TASKS: Final = 4.0
"""Number of tasks that the assumed variance counts as."""
MIN_SPREAD: Final = 0.002
"""Minimum variance of the logarithms of a step's tasks: clocks and listings are inexact."""
MAX_LOG_ERROR: Final = 2.3
"""Maximum logarithm of the factor by which one step counts as off, about a factor of ten, so that a
few steps on slow workers don't change a queue's estimate."""
MAX_LOG_MS: Final = 22.0
"""Maximum logarithm of a duration in milliseconds, about six weeks."""
MAX_CONTENTS: Final = 10_000
"""Maximum number of contents that an owner keeps, half of them seen once; under 4 MB."""
MAX_CONTENT_TASKS: Final = 64.0
"""Number of ended tasks of a content from which earlier ones lose weight."""
MAX_QUEUES: Final = 1_000
"""Maximum number of queues in an owner's or the relay's memory."""
MAX_REPORTED: Final = 32
"""Maximum number of queues in a report or an offer, about 150 bytes each."""
MAX_REPORTED_CONTENTS: Final = 32
"""Maximum number of contents in a report or an offer, about 40 bytes each."""
REPORT_INTERVAL_MS: Final = 1_000
"""Minimum time between offers to an owner, which it answers with a report, in milliseconds."""
REPEAT_MS: Final = 10_000
"""Time after which rows without news are offered again, since they may be lost, in milliseconds."""
MAX_AGE_MS: Final = 600_000
"""Age from which durations told by other owners aren't used, in milliseconds."""
KEEP_MS: Final = 30_000
"""How long an offer that holds much more than the next one is kept, in milliseconds, since a new
relay first has to hear from the other owners."""
REVISE_MS: Final = 3_000
"""How long after its first job a new owner may take other owners' durations for jobs that it has
already accepted, in milliseconds: the first offers take up to about a second."""
LOG_FACTOR: Final = 1.5
"""A queue's estimate is logged when it has changed by this factor."""
LOG_INTERVAL_MS: Final = 5_000
"""Minimum time between log lines about the same queue, in milliseconds."""
