"""Times and weights of moving and maintaining machines."""

from __future__ import annotations

from typing import Final

PLAN_INTERVAL_MS: Final = 100
"""Time between two looks at the pools, in milliseconds. A pool's turn lasts some seconds and a
move takes 1.5 s; at 200 ms a day earned 0.005 less."""
LIST_INTERVAL_MS: Final = 600
"""Time between two readings of the list of machines, in milliseconds; each is priced."""
LOAD_MAX_AGE_MS: Final = 1500
"""A pool's load that is older than this decides nothing, in milliseconds."""
ORDER_RETRY_MS: Final = 1000
"""When an order that wasn't answered is given again, in milliseconds; a repeat of one that was
carried out has no effect."""
ORDER_SETTLE_MS: Final = 8000
"""How long a machine counts as ordered away if the list never shows it so, in milliseconds: an
order without an answer may be carried out seconds later."""
FEWEST_ARRIVALS: Final = 5
"""Jobs that a pool must have got lately for their pace to count: of fewer, one large job would seem
to be a surge. In its turn a queue of short jobs gets some 18 in that time, between its turns less
than one."""
FULL_SHARE: Final = 0.85
"""Share of a pool's processor, or memory, that may be wanted before it gets another machine."""
ARRIVING_SHARE: Final = 1.15
"""Share of a pool's processor that may arrive before it gets another machine. Above one, since the
pace of the first second of a turn is off by a third; what it really is shows as what is wanted a
second later. At 0.85 a turn got 16 machines where 10 were enough."""
TREND_MS: Final = 1200
"""Time over which it is seen whether a pool's pace of arrivals rises, in milliseconds. The pace is
that of 800 ms, so less would compare it with itself."""
LEAD_MS: Final = 1800
"""How long after it was wanted a machine takes tasks, in milliseconds: a move takes 1,500, and the
order and the worker's entry the rest."""
MOST_GROWTH: Final = 2.0
"""By how much the pace of arrivals is taken to grow in that time, at the most: a few large jobs in
a row look like a steep rise."""
KEEP_MS: Final = 1200
"""A pool keeps machines for the highest demand of this long, in milliseconds.

A turn's machines idle for this time, the next one, and until they are empty. With 2,000 and
1,200 ms a day's machines in pools cost 0.219 of all that could be earned, with 1,200 and 700 ms
0.205, and moves 0.002 more, over ten days each. Peaks of 3,000 ms that fade cost 0.198, and as much
again in the worst seconds.
"""
PARK_AFTER_MS: Final = 700
"""How long a machine must have been surplus before it is sent to the standby pool, in ms. Two
moves cost as much as 2.3 s of a machine in a pool."""
ONE_AT_A_TIME_SHARE: Final = 0.34
"""Share of a pool's machines that may be emptied or down for maintenance at once."""
SLOW_SHARE: Final = 0.5
"""Share of the machines that a wave may have down at once that may be those with lasting tasks,
which take some ten times as long to empty as others."""
BUSY_SHARE: Final = 0.6
"""A pool that wants more than this share of its processor is spared maintenance while others
can be maintained, and while there is time."""
MAINTENANCE_CYCLE_S: Final = 4.5
"""What one machine's maintenance takes from the decision to empty it until it is back, in
seconds: about 1.5 s to empty, 2 s down, and the time until that is seen."""
PACE_MARGIN: Final = 1.5
"""How far a wave is ahead of its time while a pool lacks machines: some take longer to empty."""
STATUS_PREFIX: Final = "wave/"
"""Key of a wave's status; the same in our own record of the machines that were begun."""
FLOOR_SHARE: Final = 0.34
"""Share of its first machines that a pool keeps between its turns.

Measured over seven days of two deployments: a third earns 0.01 a day more than a half, and that
0.04 more than two thirds. Machines that idle in three pools out of four cost more than what is late
in the two seconds until a fourth has them.
"""
DEPARTED_MS: Final = 8000
"""How long a worker whose machine has gone is still named as leaving, in milliseconds: its entry
stands for three heartbeats of 1,500 ms after its last one, and is read some hundreds later."""
SURPLUS_GAP_MS: Final = 300
"""How much of that time may lack a look at the pool, in milliseconds."""
RECENT_ORDERS_MS: Final = 10_000
"""How long a machine's last order is kept for a next owner, in milliseconds."""
STALE_ORDER_MS: Final = 1000
"""An order that leaves later than this after it was decided is decided anew, in milliseconds."""
CLOCK_MARGIN_MS: Final = 1000
"""What the clocks of two owners may differ by, in milliseconds."""
FEWEST_MACHINES: Final = 2
"""A pool keeps at least this many machines: one may be lost or maintained at any time."""
LAYOUT_WAIT_MS: Final = 4000
"""How long the list of machines is waited for before services are laid out by what workers say of
themselves, in milliseconds; callers come 12 s after the first start."""
MOST_UNHEARD_SHARE: Final = 0.5
"""Share of its machines that must answer a share's owner for the others to count as no room."""
LOST_SHARE: Final = 0.6
"""Share of a zone's workers that must be silent for the zone to count as cut off."""
FEWEST_LOST: Final = 3
"""And so many at least: of two machines both may have crashed."""
