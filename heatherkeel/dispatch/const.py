"""Times, limits and weights used by the dispatcher."""

from __future__ import annotations

from typing import Final

LEASE_MS: Final = 6000
"""Lease of everything that runs on a worker, in milliseconds.

Long enough to outlast a hand-over of the partition, so that a change of owners ends no task: a dead
owner's membership has to expire, and reading its records takes about 1,000 ms. Short enough that
tasks on an unreachable worker soon start elsewhere.
"""
SLOWEST_CLOCK: Final = 1.02
"""Factor by which a worker's clock may be slower than the local one, documented by the platform."""
LEASE_EXPIRY_MARGIN_MS: Final = 500
"""Added to the end of a lease before its tasks count as ended, in milliseconds: killing a task may
take as long as stopping it."""
LIST_WAIT_MS: Final = 1000
"""How long a listing waits for an end where only long-running tasks run, in milliseconds."""
WATCH_WAIT_MS: Final = 500
"""How long a listing waits where tasks are expected to end, or where tail latencies are watched.

A listing whose answer is lost delays the ends it would have reported by its whole wait. If a
twentieth of all calls to workers gets no answer, most workers of a pool at its demand peak lose a
listing within seconds; with waits of 2,000 ms, ends and freed capacity were seen 3,200 ms late.
"""
MAX_LISTING_AGE_MS: Final = 100
"""Maximum age of a listing whose ends are acknowledged, in milliseconds. A worker takes longer than
this to restart, and storing the ends usually takes a tenth of it."""
IDLE_LIST_MS: Final = 4000
"""Pause between listings of a worker that runs nothing, in milliseconds; each listing is charged
for."""
FAILED_LIST_PAUSE_MS: Final = 300
"""Pause after a failed listing, in milliseconds."""
TICK_MS: Final = 100
"""Interval between ticks, in milliseconds."""
ESTIMATE_SLACK: Final = 0.2
"""Fraction of its remaining work by which a step may be behind and still count as in time, since
declared durations are off by about as much."""
WORK_DELAY_FACTOR: Final = 0.64
"""Milliseconds by which a step's latest start is delayed when sorting, for each millisecond of a
worker's whole processor that it and the steps behind it request. Of jobs due at about the same
time, the smaller goes first."""
BACKLOG_MS: Final = 2000
"""Work of steps in time, in milliseconds of the pool's whole processor, from which the smallest
steps go first. Objectives leave a second or two of waiting."""
LAST_CHANCE_MS: Final = 600
"""How long before its job becomes worthless a late step may go first, in milliseconds."""
LAST_CHANCE_WORK_MS: Final = 90
"""Maximum work of late steps that go first in their last chance, in milliseconds of the pool's
whole processor; about a sixth of the time above."""
MAX_MISFITS: Final = 40
"""Steps that don't fit before a placement pass ends, which bounds the work per event. Those that no
worker could ever run aren't counted."""
THOROUGH_PASS_MS: Final = 100
"""Time between two placement passes that don't end at this number, in milliseconds."""
QUARANTINE_FAILURES: Final = 3
"""Failed ends in a row, of different jobs, after which a worker is quarantined. A task fails by its
own fault in fewer than one of thirty runs, so three in a row by chance are rarer than 1 in 20,000.
"""
QUARANTINE_MS: Final = 5000
"""How long a worker stays quarantined, in milliseconds."""
MAX_QUARANTINED_FRACTION: Final = 0.34
"""Fraction of a pool's workers that may be quarantined at once; beyond it the jobs are the likelier
cause, and a pool without workers serves nobody."""
SUDDEN_LOSS_MS: Final = 200
"""How soon after a task's start its worker has to go for the task to be the likely cause, in
milliseconds. Workers that crash by themselves do so at any time."""
MAX_SOLE_CRASHES: Final = 2
"""Consecutive lost workers after which a task's job is given up, if the last one was lost suddenly
after the task began there and no other job was suspected."""
MAX_SUDDEN_CRASHES: Final = 3
"""The same limit if other jobs were suspected as well."""
MAX_CRASHES: Final = 4
"""The same limit if the last worker was lost later, or it isn't known when, or others are lost
without a likely cause: it may have been lost for another reason."""
MAX_LASTING_CRASHES: Final = 5
"""The same limit for a long-running task, which runs until its job is cancelled: its caller loses
more by a wrong guess than a few workers cost. No task is started more often in a row."""
MAX_EXCUSED_LOSSES: Final = 4
"""Consecutive lost workers that aren't counted against a task where others crash without it. More
in a row are unlikely, and a task that crashes its workers late must not be started without end."""
MIN_KNOWN_CRASHES: Final = 2
"""Workers that must be known to have ended under a task before its job is given up. One crash
doesn't show that the task was its cause, and losses of which less is known show nothing."""
FIRST_PAUSE_MS: Final = 1000
"""Pause before a task starts again that may have crashed as many workers as a task may cost, in
milliseconds; it doubles with each further loss."""
MAX_PAUSE_MS: Final = 30_000
"""Longest such pause, in milliseconds."""
MAX_LIST_AGE_MS: Final = 800
"""Maximum age of the list of machines when it is answered, in milliseconds."""
LEFT_LATELY_MS: Final = 4000
"""How long after a worker was to leave its loss may have been planned, in milliseconds; a move or a
maintenance that was ordered may be carried out seconds later."""
LOST_TOGETHER_MS: Final = 200
"""Time within which workers that went together are seen not to answer, in milliseconds."""
MIN_LOST_TOGETHER: Final = 2
"""Minimum number of other workers that must have gone at the same time as a worker, for a cause
that they share to be likelier than a task."""
MAX_UNCLEAR_WORKERS: Final = 256
"""Number of workers whose next answer may take a loss back; the oldest are forgotten first."""
MAX_LOSSES: Final = 64
"""Number of lost workers that a pool remembers."""
LOSS_MEMORY_MS: Final = 30_000
"""How long a lost worker is remembered as a sign that workers crash by themselves, in
milliseconds; longer than a task takes to lose several in a row."""
MAX_DOUBTFUL_RUNS: Final = 3
"""Unresponsive or lost workers under a task before no further copy of it starts."""
ISOLATION_CRASHES: Final = 2
"""Crashes from which a task starts only on workers without suspected tasks of other jobs."""
PROVEN_MS: Final = 2000
"""How long a worker must have listed a run before the run is no longer suspected of crashing it, in
milliseconds. Most tasks have ended by then; long-running ones are lost with many workers that go
for reasons of their own."""
FULL_PAUSE_MS: Final = 400
"""How long a worker that refused a start for lack of capacity gets no more work, in milliseconds,
unless one of its runs ends. Its entry shows a smaller capacity only after a second or two."""
ENTRY_MARGIN_MS: Final = 500
"""How much sooner than documented by the platform an entry counts as outdated, in milliseconds: it
covers the interval between readings, up to 250 ms, and the time that a start takes to arrive."""
MAX_OPEN_TASKS: Final = 20_000
"""Tasks of a repeated job's occurrences that may be in progress at once, which bounds the memory of
the owner's process."""
MAX_STARTABLE_TASKS: Final = 200
"""Tasks of a repeated job that may wait for capacity at once, as many as one placement pass
examines. Further occurrences begin with the next tick, so this bounds only the work per event."""
MAX_APPEND_RECORDS: Final = 400
"""Maximum number of records in one append, well below the store's limit in bytes."""
MAX_APPEND_BYTES: Final = 1 << 20
"""Maximum size of the records of one append, in bytes; half of the store's limit."""
MACHINE_LIST_INTERVAL_MS: Final = 600
"""Interval between readings of the list of machines while a worker with tasks is unresponsive, in
milliseconds. The list shows a crash seconds before the worker's lease expires."""
MIN_UNRESPONSIVE_MS: Final = 1200
"""How long a worker must have been unresponsive before the list of machines is trusted about it, in
milliseconds: the list is up to 800 ms old, so it may lack a worker that has just started."""
LEAVING_MS: Final = 2000
"""How long a worker counts as leaving without being named again, in milliseconds. It must exceed
the age of the reports that the fleet's owner acts on, so that nothing starts on a machine that may
still be removed."""
ORDER_SENDERS: Final = 2
"""Orders to one worker that may be in flight at once. One takes about 3 ms, and a pool's demand
peak needs some 15 starts a second of each worker."""
MAX_READ_AGE_MS: Final = 1500
"""Age of the last read of the partition from which an owner no longer reports a job as unknown, in
milliseconds: callers may rely on a job being known 3,000 ms after it was accepted."""
FOLLOW_WAIT_MS: Final = 1000
"""How long a read of new jobs waits, in milliseconds; must stay below the limit above."""
ARRIVAL_WINDOW_MS: Final = 800
"""Window over which the arrival rate is measured, in milliseconds."""
CAPACITY_GRACE_MS: Final = 600
"""How long a worker must have been unresponsive before its capacity no longer counts, in
milliseconds; a worker with one lost answer responds again with its next listing, 300 to 500 ms
later."""
MAX_NEEDS: Final = 8
"""Maximum number of waiting steps' needs that a pool reports at once."""
NEEDS_TURN_MS: Final = 300
"""Time after which a pool with more needs than that reports others, in milliseconds."""
STARVED_MS: Final = 1500
"""How long a job waits with nothing running until it requests a machine however late it is, in
milliseconds; users expect a task that could run to do so within 3,000."""
MAX_STARVED: Final = 64
"""Maximum number of starved jobs of a pool for which machines are requested at once."""
STRANDED_INTERVAL_MS: Final = 250
"""Time between two searches for jobs that nothing in their partition can run, in milliseconds."""
STRANDED_MS: Final = 500
"""How long such a job waits until it is handed over to another partition, in milliseconds. The
entry of a worker that starts again is missing for longer, but a hand-over costs little."""
STRANDED_AGAIN_MS: Final = 1500
"""The same for a job that was handed over before, so that it doesn't go back and forth while both
partitions are about to lose their workers for it."""
MAX_RELOCATED: Final = 64
"""Maximum number of jobs that one search hands over."""
LONG_RUNNING_FRACTION_PER_WORKER: Final = 0.5
"""Fraction of a step's long-running tasks that may be on one worker. Spread over more workers they
would keep more machines from being moved."""
STALLED_MS: Final = 1200
"""Time without progress after which a task is stalled, in milliseconds. Progress is reported in
whole percent, so a task of 5 s that makes progress shows it every 50 ms."""
STALLED_FRACTION: Final = 0.05
"""Fraction of its expected duration for which a long task must show no progress to be stalled: five
steps of the percentage."""
MIN_STALLED_TASKS: Final = 2
"""Minimum number of stalled tasks for a worker to count as stalled; all of its tasks must be."""
PACE_INTERVAL_MS: Final = 450
"""Interval between checks of a worker's tail latencies, in milliseconds; they cover the last
500."""
PACE_DOWN_FRACTION: Final = 0.85
"""Fraction of its target from which a tail latency slows down the best-effort tasks beside it."""
PACE_UP_FRACTION: Final = 0.6
"""Fraction of its target up to which a tail latency lets them speed up."""
PACE_UP_STEP: Final = 10
"""By how much they speed up with each check, in percent."""
PACE_STOP_THRESHOLD: Final = 25
"""Pace at or below which the next step down stops the task, in percent."""
MAX_ADVICE_WORKERS: Final = 30
"""Maximum number of workers named in one query to the advisor, which takes time for each. A job's
objective allows for one query on so many workers for each step."""
ADVICE_RETRY_MS: Final = 1500
"""When an unanswered query is repeated, in milliseconds."""
TICKET_MARGIN_MS: Final = 150
"""Remaining validity below which a ticket isn't used, in milliseconds: a start is stored before it
is sent."""
MAX_STEPS_EXAMINED: Final = 200
"""Maximum number of steps of one urgency that one placement pass examines; the next event
continues."""
MAX_RELEASED: Final = 8
"""Maximum number of a workspace's limited steps that wait for capacity again after one event."""
GRANTS_RETRY_S: Final = 0.1
"""Interval at which a new owner asks the lender of limits for its first grants, in seconds."""
NO_WORKSPACES_PAUSE_S: Final = 2.0
"""Pause between checks whether workspaces have been configured since, in seconds."""
MAX_UNWATCHED_MS: Final = 100
"""Maximum time without a waiting listing, in milliseconds, for an end to show a task's duration."""
MIN_MEASURED_FRACTION: Final = 0.8
"""Fraction of a step's tasks whose durations must be known to learn from the step."""
MAX_CLAIMS: Final = 4
"""Maximum number of priorities that a pool reports claims for; further ones join the last."""
MOVE_LEAD_MS: Final = 1800
"""Time from ordering a machine until it takes tasks, in milliseconds."""
LITTLE_DONE_PERCENT: Final = 50.0
"""Progress below which a run on a machine that another pool needs is stopped, in percent: waiting
for its end would idle the machine's other capacity for longer than the run has taken so far."""
GIVE_WAY_MS: Final = 600
"""Time after which late runs on a machine that another pool needs are stopped, in milliseconds.
Callers of the other pool get the machine within 2,000, and a worker may take 900 to stop a run."""
SLOW_FACTOR: Final = 2.5
"""Factor by which a worker's tasks take longer than expected from which it counts as slow. Single
steps take twice as long as expected by themselves now and then."""
MIN_PROJECTED: Final = 0.5
"""Fraction of its expected duration from which on a task's progress shows its worker's speed."""
SLOW_JUDGE_INTERVAL_MS: Final = 300
"""Minimum time between judgements of a worker's speed, in milliseconds."""
MIN_SLOW_STEPS: Final = 3
"""Number of steps whose tasks must be slow on a worker; the middle one decides."""
MAX_SLOW_WORKERS_FRACTION: Final = 0.2
"""Fraction of a pool's workers that may count as slow at once."""
SLOW_MS: Final = 4000
"""Time for which a slow worker gets work last, in milliseconds; then it is judged anew."""
SLOW_JUDGED_MS: Final = 4000
"""Age up to which ended tasks count for a worker's speed, in milliseconds."""
MAX_SPEED_SAMPLES: Final = 32
"""Maximum number of ended tasks that are kept for a worker's speed."""
RESTART_GAIN: Final = 1.5
"""Factor by which a late task has to take longer where it is than anew elsewhere to be stopped."""
RESTART_MARGIN_MS: Final = 500
"""Time to stop a task and to start it elsewhere, in milliseconds."""
MAX_ATTEMPT_TO_STOP: Final = 2
"""Highest attempt of a task that is stopped to give way or because its worker is slow, unless it is
worthless; otherwise large tasks might never end while pools compete."""
EXPLAIN_INTERVAL_MS: Final = 1000
"""Time between two searches for tasks that could run and don't, in milliseconds."""
EXPLAIN_AFTER_MS: Final = 2000
"""How long a step waits before it is logged why, in milliseconds."""
EXPLAIN_AGAIN_MS: Final = 5000
"""Time until the same step is logged again, in milliseconds."""
UNSETTLED_MS: Final = 4000
"""How long a start or a stop may be without effect before that is logged, in milliseconds."""
MAX_EXPLAINED: Final = 3
"""Steps of a pool, and runs of a partition, that one search logs."""
