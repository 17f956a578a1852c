"""Constants of the jobs package; times in log milliseconds."""

from __future__ import annotations

from typing import Final

MILLICORES_PER_CPU: Final = 1_000
MS_PER_S: Final = 1_000

MAX_JOB_ID_CHARS: Final = 160
"""Maximum length of a job id (`team:name`), in characters."""

MAX_BATCH: Final = 1_000
"""Maximum number of jobs or samples in one record."""

MAX_REMEMBERED_JOBS: Final = 200_000
"""Maximum number of live and finished jobs in the state; further submissions are refused."""

MAX_REMEMBERED_PER_TEAM: Final = 20_000
"""Maximum number of live and finished jobs per team, so that no team uses up the total."""

FINISHED_RETENTION_MS: Final = 24 * 3_600_000
"""Retention of finished jobs; a resubmission within this time doesn't run the job again."""

CLEANUP_INTERVAL_MS: Final = 60_000
"""Minimum time between two removals of expired state."""

RETRY_BASE_MS: Final = 1_000
"""Delay before the first retry; it doubles with each further failure."""

RETRY_MAX_MS: Final = 300_000
"""Maximum delay before a retry."""

MAX_START_FAILURES: Final = 20
"""Number of attempts that workers refused after which a job fails."""

START_WINDOW_MS: Final = 30_000
"""Time after a placement from which the platform refuses to start the task."""

HOLD_MS: Final = 5_000
"""How long a worker is held for the urgent job that a preemption frees capacity for."""

QUARANTINE_MIN_FAILED_JOBS: Final = 3
"""Number of different jobs that fail on a worker, without a success, before its quarantine."""

FAILURE_WINDOW_MS: Final = 1_800_000
"""Failures older than this are no longer counted against a worker."""

QUARANTINE_MS: Final = 600_000
"""Duration of a quarantine."""

MAX_QUARANTINED_PERCENT: Final = 10
"""Maximum percentage of a pool's workers in quarantine at once; at least one worker."""

QUARANTINE_MIN_POOL: Final = 3
"""Minimum size of a pool for quarantines; smaller pools have too few workers to compare."""

MAX_FAMILIES: Final = 5_000
"""Maximum number of job families with learned usage; the least recently updated is evicted."""

FAMILY_SAMPLES: Final = 16
"""Number of latest runs of a family that its learned size is based on."""

MIN_FAMILY_SAMPLES: Final = 3
"""Minimum number of runs before learned values are used."""

LEARNED_PERCENTILE: Final = 90
"""Percentile of a family's samples that is used as its size or run time."""

LEARNED_MARGIN_PERCENT: Final = 15
"""Margin added to the learned percentile, as the next peak may be higher."""

MAX_PLACEMENTS_PER_ROUND: Final = 200
"""Maximum number of placements per round; bounds its records and its run time."""

MAX_PREEMPTIONS_PER_ROUND: Final = 20
"""Maximum number of urgent jobs per round that other jobs are preempted for."""

FIT_CANDIDATES: Final = 8
"""Number of suitable workers that are compared for one job."""

PREEMPTION_CANDIDATES: Final = 64
"""Number of workers that are compared as preemption candidates for one urgent job."""

MAX_DRAIN_WAIT_MS: Final = 600_000
"""A drain waits for jobs that are expected to end within this time and checkpoints the others."""

SPREAD_TOLERANCE: Final = 1
"""Number of tasks of a family that a zone or rack may run above an even distribution."""

START_GRACE_MS: Final = 2_000
"""Time that other processes wait for the placer to start a task before they start it."""

CHECKPOINT_RETRY_MS: Final = 2_000
"""Time after which a checkpoint request without a result is repeated."""

USAGE_CHANGE_PERCENT: Final = 10
"""Increase of a task's peak usage after which it is reported again."""

MAX_VIEW_LAG_MS: Final = 5_000
"""Maximum assumed delay of the platform's view of a task."""

MAX_PROGRAM_CHARS: Final = 2_000
"""Maximum length of a job's program, in characters."""

TAKEOVER_DELAY_MS: Final = 1_000
"""How long an urgent job waits before the standby placer places it as well."""

ROUND_INTERVAL_MS: Final = 250
"""Interval between two rounds of the jobs duty."""

MAX_CONCURRENT_CALLS: Final = 4
"""Maximum number of concurrent calls to the platform's task interface per process."""

MAX_CACHED_VIEWS: Final = 1_000
"""Number of cached task views, beyond two per live job, above which unneeded ones are removed."""
