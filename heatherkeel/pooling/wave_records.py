"""What stands in the store of a wave: the machines that were begun, and since when it lasts."""

from __future__ import annotations

import logging

import msgspec

from .models import WaveProgress

_LOGGER = logging.getLogger(__name__)


class StoredWave(msgspec.Struct, frozen=True, kw_only=True):
    """A wave as its owner has stored it."""

    begun: list[str]
    began_wall_ms: int
    """When the first owner of the fleet took the wave in, in milliseconds since 1970."""


def encode_wave(progress: WaveProgress, *, now_ms: int, wall_ms: int) -> bytes:
    """Return the record of a wave."""
    stored = StoredWave(
        begun=sorted(progress.begun), began_wall_ms=wall_ms - (now_ms - progress.began_ms)
    )
    return msgspec.json.encode(stored)


def restore_wave(progress: WaveProgress, value: bytes, *, now_ms: int, wall_ms: int) -> None:
    """Take in what an earlier owner has stored of a wave.

    A next owner that counted the wave's time from its own start took it to have all of it left, and
    spared a pool in its turn until the time was over: two of 114 machines were late. Records of
    earlier versions are the bare list of machines; their wave counts from now.
    """
    try:
        stored = msgspec.json.decode(value, type=StoredWave | list[str])
    except (ValueError, RecursionError) as err:
        _LOGGER.error(
            "a wave's record can't be read; all of its machines count as not begun",
            extra={"event": "wave_record_bad", "wave": progress.wave.number, "detail": str(err)},
        )
        return
    if isinstance(stored, list):
        progress.begun = set(stored)
        return
    progress.begun = set(stored.begun)
    # The two owners' clocks may differ, so a wave may seem to begin in the future.
    progress.began_ms = now_ms - max(0, wall_ms - stored.began_wall_ms)
