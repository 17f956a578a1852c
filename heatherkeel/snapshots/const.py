"""Constants of snapshots."""

from __future__ import annotations

from typing import Final

FORMAT: Final = 1
"""Version of the snapshot records; a reader leaves snapshots of another one alone."""

CHUNK_BYTES: Final = 64 * 1024
"""Packed bytes in one chunk: one append stays small beside those of the log's other users."""

MAX_STATE_BYTES: Final = 256 * 1024 * 1024
"""Largest state that is unpacked; damaged bytes must not fill the memory."""

PACK_LEVEL: Final = 3
"""Compression level; higher ones cost more time than the bytes are worth (`snapshots.md`)."""

MIN_MARK_INTERVAL_MS: Final = 1_000
"""Least log time between two marks: each costs every reader one encoding of its state."""

STREAM_SUFFIX: Final = "-snapshots"
"""The snapshot stream is named after the stream whose state it holds."""

MAX_ENDORSERS: Final = 3
"""So many other entry instances try to endorse a snapshot, one after the other."""

ENDORSE_STEP_MS: Final = 500
"""Time that each endorser gives the one before it."""

JITTER_MS: Final = 2_000
"""Entry instances spread their marks over this time, by a hash of their id and the offset."""

VERDICT_WAIT_S: Final = 5.0
"""Time after a refused claim in which others endorse or refuse it."""

SCAN_RECORDS: Final = 16
"""Records that one step of the backward scan of the snapshot stream reads."""

MAX_SCANNED_RECORDS: Final = 4_096
"""The backward scan ends after so many records."""

APPEND_PAUSE_S: Final = 0.05
"""Pause between two chunks: at most 20 of the several hundred appends a second are ours."""

APPEND_TRIES: Final = 20
"""Tries for one record of the snapshot stream before its snapshot is given up."""
