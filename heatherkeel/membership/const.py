"""Constants of leases and peer links."""

from __future__ import annotations

from typing import Final

LEASE_MARGIN_DIVISOR: Final = 10
"""A lease is used for a tenth less than it was granted, to allow for clock drift."""

PAUSE_CHECK_INTERVAL_MS: Final = 200
MIN_PAUSE_MS: Final = 1_000
"""A timer that is at least this late means that the process was paused, not only busy."""

HEARTBEAT_INTERVAL_MS: Final = 1_000
CROSS_ZONE_TICKS: Final = 5
"""Peers of other availability zones get a heartbeat only once in this many ticks."""

CROSS_ZONE_PEERS: Final = 2
"""Most linked peers of each other availability zone."""

MAX_LOADS: Final = 256
"""Most targets whose load one heartbeat reports."""

MAX_QUIESCED_DRAINS: Final = 256
"""Most drains that one heartbeat reports as quiesced."""

MIN_ACK_TIMEOUT_MS: Final = 2_500
MAX_ACK_TIMEOUT_MS: Final = 10_000
"""Bounds of the learned time without an answer after which a connection is replaced."""

MAX_QUEUED_MESSAGES: Final = 64
"""Most messages that wait at one end of a link; further ones are dropped and sent again later."""

MAX_QUEUED_QUESTIONS: Final = 16
"""Most messages of one connection that wait to be handled; further ones stay with their sender."""

ROUTER_BUFFER_BYTES: Final = 32 * 1024
"""Size requested for each of the kernel's buffers of a peer's connection, in bytes."""

MAX_CONNECTIONS: Final = 1_000
"""Most connections that peers may open to a process whose descriptors aren't limited."""

HANDSHAKE_TIMEOUT_MS: Final = 5_000
"""Timeout for the first bytes of a connection of a peer."""

MAX_MESSAGE_BYTES: Final = 1024 * 1024
MAX_MESSAGES_PER_DRAIN: Final = 256
"""Messages that are handled before other tasks of the process may run."""

RELAY_AFTER_MS: Final = 1_000
"""Records are requested from a peer when the log hasn't answered for this long."""

MAX_RELAYED_RECORDS: Final = 256
MAX_RELAYED_BYTES: Final = 512 * 1024
MAX_RECENT_RECORDS: Final = 2_048
MAX_RECENT_BYTES: Final = 1024 * 1024
"""Most records that are kept for peers, in number and bytes."""

STATE_PART_BYTES: Final = 256 * 1024
PACKED_STATE_MAX_AGE_MS: Final = 10_000
"""How long one packed state is provided to new fetches before a newer one is made."""

FETCH_TIMEOUT_S: Final = 2.0
DISCOVERED_PEER_KEPT_MS: Final = 30_000
"""How long a peer that is known only by its heartbeats stays linked after the last one."""

LOST_PEER_KEPT_MS: Final = 600_000
"""How long the last heartbeat of a peer is kept."""

CLEANUP_TICKS: Final = 60
"""Lost peers are removed once in this many ticks."""

SPONSOR_LEASE_MS: Final = 6_000
"""How long a joining instance may route after a heartbeat that its sponsor has answered."""
