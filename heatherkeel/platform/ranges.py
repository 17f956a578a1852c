"""Ranges of the numbers that others write.

Without them a number of hundreds of digits passes the border, and ends the process where it is
first computed with in floating point. Products and sums over the largest job stay below 2**63, so
that processes can also tell each other about them, but for the work of a job, which is bounded
where it is summed up.
"""

from __future__ import annotations

from typing import Annotated, Final

from msgspec import Meta

LARGEST_AMOUNT: Final = 1_000_000_000
"""Largest amount of a resource that a task may request: a million cores, or a pebibyte."""
LONGEST_MS: Final = 100_000_000_000
"""Longest duration, in milliseconds; three years."""
LATEST_MS: Final = 100_000_000_000_000
"""Latest time, in milliseconds since 1970; the year 5138."""
LARGEST_COUNT: Final = 1_000_000_000_000
"""Largest count or limit, such as the number of times that a job is repeated."""
LARGEST_FACTOR: Final = 1e9
LARGEST_SLACK: Final = 1e4
"""Largest slack factor; a job's objective is that times its longest chain of work."""
LARGEST_WORK: Final = 1e15
"""Work from which on more makes no difference, in core-milliseconds; 30,000 core-years."""
_INT64: Final = (1 << 63) - 1

Amount = Annotated[int, Meta(ge=-LARGEST_AMOUNT, le=LARGEST_AMOUNT)]
Duration = Annotated[int, Meta(ge=-LONGEST_MS, le=LONGEST_MS)]
"""In milliseconds."""
Instant = Annotated[int, Meta(ge=-LATEST_MS, le=LATEST_MS)]
"""A time on some clock, in milliseconds."""
Count = Annotated[int, Meta(ge=-LARGEST_COUNT, le=LARGEST_COUNT)]
Factor = Annotated[float, Meta(ge=-LARGEST_FACTOR, le=LARGEST_FACTOR)]
Slack = Annotated[float, Meta(ge=-LARGEST_SLACK, le=LARGEST_SLACK)]
FloatDuration = Annotated[float, Meta(ge=-float(LONGEST_MS), le=float(LONGEST_MS))]
"""In milliseconds, or a coarser unit."""
Figure = Annotated[float, Meta(ge=-1e15, le=1e15)]
"""A measured value."""
Int64 = Annotated[int, Meta(ge=-_INT64, le=_INT64)]
"""A number of the platform or of another process, such as an offset or a token."""
