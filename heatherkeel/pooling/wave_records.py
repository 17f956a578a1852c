"""Stored records of waves: the machines begun, and when the wave began."""

from __future__ import annotations

import logging

import msgspec

from .models import WaveProgress

_LOGGER = logging.getLogger(__name__)


class StoredWave(msgspec.Struct, frozen=True, kw_only=True):
    """The stored progress of a wave."""

    begun: list[str]
    began_wall_ms: int
    """When the fleet's first owner accepted the wave, in milliseconds since the epoch."""


def encode_wave(progress: WaveProgress, *, now_ms: int, wall_ms: int) -> bytes:
    """Return the record of a wave."""
    stored = StoredWave(
        begun=sorted(progress.begun), began_wall_ms=wall_ms - (now_ms - progress.began_ms)
    )
    return msgspec.json.encode(stored)


def restore_wave(progress: WaveProgress, value: bytes, *, now_ms: int, wall_ms: int) -> None:
    """Restore a wave's progress from the record of an earlier owner.

    The start time is restored so that a new owner doesn't defer maintenance past the wave's end.
    Records of earlier versions are a bare list of machines, and their wave begins now.
    """
    try:
        stored = msgspec.json.decode(value, type=StoredWave | list[str])
    except (ValueError, RecursionError) as err:
        _LOGGER.error(
            "invalid record of a wave; all of its machines count as not begun",
            extra={"event": "wave_record_bad", "wave": progress.wave.number, "detail": str(err)},
        )
        return
    if isinstance(stored, list):
        progress.begun = set(stored)
        return
    progress.begun = set(stored.begun)
    # The two owners' clocks may differ, so a wave may seem to begin in the future.
    progress.began_ms = now_ms - max(0, wall_ms - stored.began_wall_ms)
