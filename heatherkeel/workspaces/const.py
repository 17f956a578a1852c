"""Sizes used by the decisions on workspaces."""

from __future__ import annotations

from typing import Final

KEY_DIGEST_BYTES: Final = 16
"""Length of the digest by which a key is looked up, in bytes."""
MIN_GRANTED_FRACTION: Final = 0.75
"""Fraction of a limit below which its unused part is granted again, so that partitions have some
before they need it."""
MAX_LABELS: Final = 1000
"""Number of workspaces with a metric of their own; the others share one."""
OTHER_LABEL: Final = "other"
RATE_WINDOW_S: Final = 5.0
"""Time over which a workspace's rate of jobs may exceed its weight, in seconds; demand peaks of
some seconds are usual."""
MIN_WEIGHT: Final = 0.001
"""Weight of a workspace whose weight is 0; it gets what the others leave."""
USE_WINDOW_MS: Final = 1000
"""Time over which the use of workspaces is averaged, in milliseconds; short jobs take about as
long, so a single job of a small workspace doesn't count as use for long."""
MAX_USE_AGE_MS: Final = 1000
"""Maximum age of a partition's report that counts as use, in milliseconds."""
OVER_PART_FACTOR: Final = 1.2
"""Multiple of its part of the capacity that a workspace may use before its jobs come later."""
SHORT_FACTOR: Final = 0.9
"""Fraction of its part below which a workspace is short of capacity; tasks always wait some tenths
of a second for their start."""
MAX_OVER_PART: Final = 32
"""Maximum number of workspaces above their part that owners are told of, which bounds each
message."""
OVER_PART_MAX_AGE_MS: Final = 1000
"""Time for which an owner goes by the last workspaces above their part, in milliseconds; without
the lender it decides by due times alone."""
MAX_OFFERED: Final = 8
"""Maximum number of unconfirmed grants of a workspace to a partition that are told apart."""
