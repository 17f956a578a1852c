"""Intervals and limits of the knowledge of the operator's records."""

from __future__ import annotations

from typing import Final

DEFAULT_APPLY_MS: Final = 2000
"""Time in which a change of the configuration must be in force, in milliseconds."""
READ_WAIT_FRACTION: Final = 0.4
"""How long a read of the operator's topic waits for a change, as a fraction of that time."""
ASK_PEERS_FRACTION: Final = 0.5
"""Age from which other processes are asked, as a fraction of that time; longer than a read."""
MAX_AGE_FRACTION: Final = 0.9
"""Age from which the configuration may be outdated, as a fraction of that time; the rest is for
requests on their way and for clock drift."""

PEERS_PER_ROUND: Final = 3
"""Number of processes that are asked at once."""
ANSWER_TIMEOUT_S: Final = 0.25
"""Timeout of a process's answer, in seconds."""
ROUND_PAUSE_S: Final = 0.05
"""Pause between rounds of questions, in seconds."""
MAX_ROUND_PAUSE_S: Final = 0.4
"""Longest such pause, in seconds; limits the load while the store is down for all processes."""
MAX_DOUBLINGS: Final = 3
"""Doublings of the shortest pause that reach the longest one."""
GREETING_INTERVAL_S: Final = 1.0
"""Interval at which another process is asked in any case, in seconds, so that processes which the
store refuses from their start become known."""
FRUITLESS_ROUNDS: Final = 2
"""Rounds without newer knowledge after which requests don't wait for another one."""
PEER_KEPT_MS: Final = 60_000
"""How long a process stays known after it was last heard, in milliseconds; outlasts a restart."""
REPORTS_KEPT_MS: Final = 3000
"""How long a process's report that it reaches the store, or doesn't, is used, in milliseconds."""
MAX_NAMED_PEERS: Final = 8
"""Maximum number of addresses that an answer names."""
MAX_KNOWN_PEERS: Final = 512
"""Maximum number of known processes; the one heard least recently is dropped."""
MISLED_MS: Final = 2000
"""How long no named version is believed after one that no read has found, in milliseconds; the
configuration's age still bounds how long a change stays unknown."""

READ_MAX_KB: Final = 64
"""Size at which answers with the operator's records are cut, in kB: a large record comes alone, so
that versions which were replaced meanwhile aren't read."""
LONG_TRANSFER_S: Final = 0.06
"""Time from which an answer of the store arrives slowly, in seconds; other processes, which send
records compressed, are then asked beside it."""
PART_BYTES: Final = 128 * 1024
"""Size of the parts in which processes hand over large records, in bytes before compression."""
PART_TIMEOUT_S: Final = 0.5
"""Timeout of one part, in seconds."""
COMPRESSION_LEVEL: Final = 1
"""zlib's level; higher ones take twice the processor for a tenth less."""
