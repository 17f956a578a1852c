"""Constants of jobs; times in log milliseconds."""

from __future__ import annotations

from typing import Final

MILLICORES_PER_CPU: Final = 1_000
MS_PER_S: Final = 1_000

MAX_JOB_ID_CHARS: Final = 160
"""Longest full job id (`team:name`), in characters."""

MAX_BATCH: Final = 1_000
"""Most jobs that one record names; a wave of cancellations takes several records."""

MAX_REMEMBERED_JOBS: Final = 200_000
"""Most jobs, live and finished, that the state holds; above it a submission is refused."""

MAX_REMEMBERED_PER_TEAM: Final = 20_000
"""Most jobs, live and finished, of one team, so that no team fills the table for all."""

FINISHED_MEMORY_MS: Final = 24 * 3_600_000
"""How long a finished job is remembered: a resubmission within it is found, not run again."""

FORGET_INTERVAL_MS: Final = 60_000
"""How often the fold looks for finished jobs to forget."""

RETRY_BASE_MS: Final = 1_000
"""Wait before the first retry; it doubles with each further failure."""

RETRY_MAX_MS: Final = 300_000
"""Longest wait before a retry."""

MAX_START_FAILURES: Final = 20
"""Placements of one job that may end without having run; then the job fails."""

START_WINDOW_MS: Final = 30_000
"""A start request is void this long after its placement; the platform refuses it later."""

HOLD_MS: Final = 5_000
"""How long room made by preemption is kept for the urgent job that it was made for."""

QUARANTINE_EVIDENCE: Final = 3
"""Different jobs that must have failed on a worker, with no success between, to quarantine it."""

EVIDENCE_WINDOW_MS: Final = 1_800_000
"""Failures older than this say nothing about a worker any more."""

QUARANTINE_MS: Final = 600_000
"""Time after which a quarantined worker is tried again."""

QUARANTINE_SHARE_PERCENT: Final = 10
"""Largest share of a pool's workers in quarantine at once; a pool of 3 or more may have one."""

QUARANTINE_MIN_POOL: Final = 3
"""Pools smaller than this quarantine nobody: there would be no other worker to compare with."""

MAX_FAMILIES: Final = 5_000
"""Most job families whose usage is remembered; the longest unused one is forgotten first."""

FAMILY_SAMPLES: Final = 16
"""Newest ended runs of a family that its learned size comes from."""

MIN_FAMILY_SAMPLES: Final = 3
"""Fewer runs than this teach nothing."""

LEARNED_PERCENTILE: Final = 90
"""The percentile of the peaks of a family that is taken as its size."""

LEARNED_MARGIN_PERCENT: Final = 15
"""Added to the learned percentile, since the next peak may be higher."""

MAX_PLACEMENTS_PER_ROUND: Final = 200
"""Placements of one round: what a process may append at once, and how long it may think."""

MAX_PREEMPTIONS_PER_ROUND: Final = 20
"""Urgent jobs of one round for which room is made by checkpoints."""

FIT_CANDIDATES: Final = 8
"""Workers with room that are compared for one job; more cost time and gain little."""

PREEMPTION_CANDIDATES: Final = 64
"""Workers whose batch jobs are compared for one urgent job."""

DRAIN_PATIENCE_MS: Final = 600_000
"""A drain waits for a job that is expected to end within this time, and moves it otherwise."""

SPREAD_SLACK: Final = 1
"""Tasks of a family that a zone or a rack may hold above an even share."""

START_GRACE_MS: Final = 2_000
"""Time that other processes leave the placer to start a task, before they do it."""

CHECKPOINT_REPEAT_MS: Final = 2_000
"""Time after which a checkpoint that shows no result is asked for again."""

USAGE_STEP_PERCENT: Final = 10
"""Usage is reported again only when its peak has risen by this much."""

VIEW_LAG_MS: Final = 5_000
"""Longest time that the platform's view of a task is taken to lag."""

MAX_PROGRAM_CHARS: Final = 2_000
"""Longest description of what a job runs, in characters."""

TAKE_OVER_MS: Final = 1_000
"""How long an urgent job waits before the second in line places it, too."""

ROUND_INTERVAL_MS: Final = 250
"""Time between two rounds of the jobs duty."""

MAX_CALLS: Final = 4
"""Calls to the platform's task interface that one process makes at once."""

MAX_SPARE_VIEWS: Final = 1_000
"""Views of ended tasks that a process keeps before it throws the spare ones away."""
