"""Intervals, thresholds and margins for moving and maintaining machines."""

from __future__ import annotations

from typing import Final

PLAN_INTERVAL_MS: Final = 100
"""Time between two planning rounds, in milliseconds. A demand peak lasts some seconds, and a move
takes 1,500 ms."""
MEASURE_WAIT_S: Final = 0.1
"""How long a planning round waits for the pools' loads, in seconds. Owners that don't answer keep
neither the others from their grants nor machines from being moved."""
LIST_INTERVAL_MS: Final = 600
"""Time between two reads of the list of machines, in milliseconds; each read is priced."""
MACHINE_GONE_MS: Final = 3000
"""Time for which the lists of machines must lack one that was listed before until it counts as
gone, in milliseconds: five lists."""
LOAD_MAX_AGE_MS: Final = 1500
"""Maximum age of a pool's load that plans may use, in milliseconds."""
ORDER_RETRY_MS: Final = 1000
"""Time after which an unanswered order is sent again, in milliseconds; orders are idempotent."""
ORDER_SETTLE_MS: Final = 8000
"""Time after which an order that the list doesn't confirm counts as failed, in milliseconds; an
unanswered order may be carried out seconds later."""
MIN_ARRIVALS: Final = 5
"""Minimum number of recent jobs for a pool's arrival rate to count; with fewer, one large job would
look like a surge. At its demand peak a queue of short jobs gets some 18 in that time, otherwise
less than one."""
TARGET_UTILIZATION: Final = 0.85
"""Fraction of a pool's processor or memory that may be in demand before it gets another machine."""
ARRIVAL_TARGET_UTILIZATION: Final = 1.15
"""Fraction of a pool's processor that may arrive before it gets another machine. It is above one
because the rate is off by a third in the first second of a demand peak; the true demand shows a
second later as waiting tasks."""
TREND_WINDOW_MS: Final = 1200
"""Time over which a rise of the arrival rate is measured, in milliseconds; it must exceed the
800 ms that the rate itself covers."""
LEAD_TIME_MS: Final = 1800
"""Time from ordering a machine until it takes tasks, in milliseconds: 1,500 for the move, and the
rest for the order and the worker's registration."""
MAX_GROWTH_FACTOR: Final = 2.0
"""Maximum growth of the arrival rate that is extrapolated; a few large jobs in a row look like a
steep rise."""
PEAK_RETENTION_MS: Final = 1200
"""Time for which a pool keeps machines for its highest recent demand, in milliseconds. After a
demand peak its machines idle for this time, for the next one, and until they are empty."""
STANDBY_DELAY_MS: Final = 700
"""Time for which a machine must be surplus before it moves to the standby pool, in milliseconds.
Two moves cost as much as 2,300 ms of a machine in a pool."""
MAX_UNAVAILABLE_FRACTION: Final = 0.34
"""Fraction of a pool's machines that may be emptied or down for maintenance at once."""
MAX_SLOW_FRACTION: Final = 0.5
"""Fraction of a wave's concurrent maintenance that machines with long-running tasks may take up;
they take some ten times as long to empty as others."""
BUSY_UTILIZATION: Final = 0.6
"""Utilization above which a pool's maintenance is deferred while the wave has time."""
MAINTENANCE_CYCLE_S: Final = 4.5
"""Time from the decision to empty a machine until it is back from maintenance, in seconds: about
1.5 to empty it, 2 for the maintenance, and the time until that is seen."""
WAVE_SCHEDULE_MARGIN: Final = 1.5
"""Factor by which a wave is ahead of its schedule while a pool lacks machines; some machines take
longer to empty."""
STATUS_PREFIX: Final = "wave/"
"""Prefix of the key of a wave's status, and of the stored record of the machines begun."""
MIN_SIZE_FRACTION: Final = 0.34
"""Fraction of its initial machines that a pool keeps between demand peaks. Machines that idle in
three of four pools cost more than what is late in the two seconds until the fourth has them."""
DEPARTED_WORKER_MS: Final = 8000
"""Time for which a worker whose machine has gone is still reported as leaving, in milliseconds; its
entry expires three heartbeats of 1,500 ms after the last one."""
MAX_SURPLUS_GAP_MS: Final = 300
"""Part of the standby delay that may be without a measurement of the pool, in milliseconds."""
ORDER_RETENTION_MS: Final = 10_000
"""Time for which a machine's last order is kept for the next owner, in milliseconds."""
MAX_ORDER_DELAY_MS: Final = 1000
"""Maximum time between deciding on an order and sending it, in milliseconds; an older order is
dropped and decided again."""
CLOCK_SKEW_MARGIN_MS: Final = 1000
"""Maximum difference between the clocks of two owners, in milliseconds."""
MIN_MACHINES: Final = 2
"""Minimum number of machines of a pool; one may be lost or maintained at any time."""
LAYOUT_TIMEOUT_MS: Final = 4000
"""Time to wait for the list of machines before services are laid out from worker entries, in
milliseconds; callers connect 12 s after the first start."""
MIN_RESPONSIVE_FRACTION: Final = 0.5
"""Fraction of a pool share's machines that must be responsive for the others to be discounted."""
LOST_ZONE_FRACTION: Final = 0.6
"""Fraction of a zone's workers that must be unresponsive for the zone to count as cut off."""
MIN_LOST_WORKERS: Final = 3
"""Minimum number of unresponsive workers in a zone that is cut off; two may both have crashed."""
DIVISION_HYSTERESIS: Final = 0.1
"""Fraction by which a share must exceed its part before machines are taken from it, and at least
one machine; a move costs both pools 1,500 ms of the machine."""
SHORTAGE_SETTLE_MS: Final = 200
"""How long a share must lack machines before any are taken from others, in milliseconds; a single
large job looks like a shortage for a moment."""
MIN_STAY_MS: Final = 3000
"""How long a machine stays in a pool before it may be taken for another, in milliseconds: twice the
time that a move takes."""
MAX_TAKEN_FRACTION: Final = 0.2
"""Fraction of all machines that may be taken from pools above their part within a period."""
TAKEN_PERIOD_MS: Final = 1000
"""That period, in milliseconds."""
MIN_KNOWN_FRACTION: Final = 0.5
"""Fraction of the shares whose claims must be known for machines to be divided."""
DIVISION_LOG_MS: Final = 1000
"""Minimum time between two log lines about the division, in milliseconds."""
UNMET_LOG_MS: Final = 2000
"""How long a share needs a machine before that is logged, and until it is logged again, in
milliseconds; a move takes 1,500."""
ORDER_OVERDUE_MS: Final = 3000
"""Time after the first sending of an order from which a list of machines that doesn't show it
carried out speaks against it, in milliseconds; a move takes 1,500."""
NEED_RETENTION_MS: Final = 3000
"""Time for which a need that isn't reported is remembered, since many needs take turns, in
milliseconds."""
PROMPT_NEED_MACHINES: Final = 4
"""Machines that a need gets one after the other without a pause."""
NEED_PAUSE_MS: Final = 2000
"""First pause before a further machine, in milliseconds; each later one is twice as long."""
MAX_NEED_PAUSE_MS: Final = 60_000
"""Longest such pause, in milliseconds."""
REGISTRATION_MS: Final = 3000
"""How long the owner of a share may not know a worker whose machine is listed as up until that
machine adds no capacity, in milliseconds; an entry is written and read within 2,500."""
