"""Constants of snapshots."""

from __future__ import annotations

from typing import Final

FORMAT: Final = 1
"""Version of the snapshot records; readers ignore snapshots of other versions."""

CHUNK_BYTES: Final = 64 * 1024
"""Packed bytes per chunk; limits the load of one append on the shared log."""

MAX_STATE_BYTES: Final = 256 * 1024 * 1024
"""Largest state that is unpacked, so that damaged data can't exhaust the memory."""

PACK_LEVEL: Final = 3
"""zlib compression level; see `snapshots.md`."""

MIN_MARK_INTERVAL_MS: Final = 1_000
"""Minimum log time between two marks; at each mark every reader encodes its state."""

STREAM_SUFFIX: Final = "-snapshots"
"""Suffix that the name of the main stream gets to form the name of its snapshot stream."""

MAX_ENDORSERS: Final = 3
"""Number of other entry instances that try to endorse a snapshot, one after another."""

ENDORSE_STEP_MS: Final = 500
"""Delay between two successive endorsers."""

JITTER_MS: Final = 2_000
"""Upper bound of the delay before a mark, derived from a hash of instance id and offset."""

VERDICT_WAIT_S: Final = 5.0
"""Time that other entry instances have to endorse or refuse a rejected claim."""

SCAN_RECORDS: Final = 16
"""Records read per step of the backward scan of the snapshot stream."""

MAX_SCANNED_RECORDS: Final = 4_096
"""Maximum number of records that the backward scan reads."""

APPEND_PAUSE_S: Final = 0.05
"""Pause between two chunks; limits the writer to 20 appends per second."""

APPEND_TRIES: Final = 20
"""Attempts to append one record of the snapshot stream before the snapshot is abandoned."""
