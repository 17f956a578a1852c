"""What can be set and read over HTTP at the stand-ins."""

from __future__ import annotations

import msgspec


class PlatformFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What is wrong with the platform now; `lose_...` count down, lists name instances."""

    down: bool = False
    cut_zones: list[str] = []
    cut_instances: list[str] = []
    delay_ms: int = 0
    lose_append_answers: int = 0
    refuse_appends: bool = False
    list_lag_ms: int = 0
    retain_records: int = 0
    """Keep only so many records of each stream; 0 keeps all."""
    reboot_ms: int = 200
    """How long a rebooted instance is away."""
    operation_delay_ms: int = 0
    """How long an accepted operation waits before it takes effect."""
    lose_operation_answers: int = 0
    never_return: list[str] = []
    return_failing: list[str] = []
    """Come back with a new boot, but fail every request and every health probe."""


class TargetFaults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What is wrong with the target now; `work_ms` is how long a request takes."""

    work_ms: int = 1
    silent: bool = False
    fail: bool = False
    half_answer: bool = False
    refuse: bool = False
    refuse_when_leaving: bool = False
    leaving_grace_ms: int = 3_000
    """Requests that come later than this after the target was listed as leaving are counted."""


class Reboot(msgspec.Struct, frozen=True, kw_only=True):
    """Closes the target's port at once, whatever is in progress; without `back`, for good."""

    boot_id: str
    away_ms: int
    back: bool = True
    failing: bool = False
