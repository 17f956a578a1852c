"""Constants of leases and peer links."""

from __future__ import annotations

from typing import Final

LEASE_MARGIN_SHARE: Final = 10
"""A lease is held for a tenth less than it was granted: two clocks never run quite alike."""

PAUSE_CHECK_INTERVAL_MS: Final = 200
PAUSE_BOUND_MS: Final = 1_000
"""A timer that is later than this means that the process was paused, not only busy."""

HEARTBEAT_INTERVAL_MS: Final = 1_000
CROSS_ZONE_TICKS: Final = 5
"""Peers of other availability zones get every so many-th heartbeat."""

CROSS_ZONE_PEERS: Final = 2
"""So many peers of each other availability zone are linked, to bound what all links cost."""

MAX_LOADS: Final = 256
"""Most targets whose load one heartbeat tells."""

MAX_QUIET_DRAINS: Final = 256

MIN_SILENCE_MS: Final = 2_500
MAX_SILENCE_MS: Final = 10_000
"""Bounds of the silence after which a connection is replaced, whatever was observed."""

QUEUED_MESSAGES: Final = 64
"""Most messages that wait at one end of a link; what is more is lost and sent anew later."""

MAX_MESSAGE_BYTES: Final = 1024 * 1024
DRAIN_MESSAGES: Final = 256
"""Messages that are handled before the other parts of the process get their turn."""

RELAY_AFTER_MS: Final = 1_000
"""A peer that is ahead for longer than this has records that the platform doesn't give us."""

RELAY_RECORDS: Final = 256
RELAY_BYTES: Final = 512 * 1024
KEPT_RECORDS: Final = 2_048
KEPT_BYTES: Final = 1024 * 1024
"""Newest records that are kept for peers, in number and bytes."""

STATE_PART_BYTES: Final = 256 * 1024
STATE_KEPT_MS: Final = 10_000
"""How long one packed state is given out before a newer one is made."""

FETCH_TIMEOUT_S: Final = 2.0
LEARNED_KEPT_MS: Final = 30_000
"""How long a peer that only its own heartbeats made known is linked after the last one."""

LOST_KEPT_MS: Final = 600_000
FORGET_TICKS: Final = 60
"""What a peer said is forgotten some time after its last heartbeat, looked at every minute."""

SPONSOR_LEASE_MS: Final = 6_000
"""How long a newcomer may route after a heartbeat that its sponsor has answered."""
