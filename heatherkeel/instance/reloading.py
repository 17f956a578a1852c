"""Reads a settings file again when it changes, and applies what a running process can change."""

from __future__ import annotations

import logging
import signal
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING, Any, Final

import msgspec
import trio
from result import Err

from heatherkeel.platform.settings import InstanceSettings, load_instance_settings

if TYPE_CHECKING:
    from .process import InstanceProcess

_LOGGER = logging.getLogger(__name__)

CHECK_INTERVAL_S: Final = 1.0
"""Time between two checks of the file, in seconds; it may change without a signal."""

Apply = Callable[["InstanceProcess", InstanceSettings], None]
APPLIERS: Final[dict[str, Apply]] = {}
"""What applies a changed setting, by the setting's name; others need a restart."""


def applies(*names: str) -> Callable[[Apply], Apply]:
    """Register the function that applies these settings."""

    def register(apply: Apply) -> Apply:
        APPLIERS.update(dict.fromkeys(names, apply))
        return apply

    return register


@applies("bounds.config_apply_ms")
def apply_config_bound(process: InstanceProcess, settings: InstanceSettings) -> None:
    """Apply the time in which a change of the configuration must be in force."""
    process.directory.set_apply_ms(settings.bounds.config_apply_ms)


@applies("contracts")
def apply_contracts(process: InstanceProcess, settings: InstanceSettings) -> None:
    """Apply whether callers need keys, and whether pools compete for machines."""
    process.directory.state.needs_keys = settings.needs_keys()
    process.directory.state.divides_machines = settings.divides_machines()


@applies("seeds")
def apply_seeds(process: InstanceProcess, settings: InstanceSettings) -> None:
    """Apply the addresses of a few other processes."""
    process.peers.seeds = list(settings.list_seed_links())


@applies("bounds.status_s", "bounds.stable_window_ms", "bounds.longest_lease_ms", "heartbeat_ms")
def apply_owner_bounds(process: InstanceProcess, settings: InstanceSettings) -> None:
    """Apply the times that owners of partitions use."""
    for owner in process.owners.values():
        owner.apply_settings(settings)


class SettingsWatch:
    """Checks the settings file at intervals and after SIGHUP."""

    def __init__(self, *, file: str, process: InstanceProcess) -> None:
        self.file = file
        self.process = process
        self.settings = process.settings
        self.content: bytes | None = None
        """The file's content at the last check; None if it couldn't be read."""
        self.fault = ""
        """The fault of the file that was logged last; empty while it is valid."""
        self.requested = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start checking; SIGHUP, which would end the process, is handled from then on."""
        await nursery.start(self._async_handle_signals)
        nursery.start_soon(self._async_run)

    async def _async_handle_signals(self, task_status: trio.TaskStatus[None]) -> None:
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            task_status.started()
            async for _ in signals:
                self.requested.set()

    async def _async_run(self) -> None:
        while True:
            with trio.move_on_after(CHECK_INTERVAL_S):
                await self.requested.wait()
            is_requested = self.requested.is_set()
            self.requested = trio.Event()
            self.check(is_requested=is_requested)

    def check(self, *, is_requested: bool = False) -> None:
        """Read the file; a faulty one, which may be half written, changes nothing.

        It is parsed only when its content has changed, since parsing takes some milliseconds.
        """
        content = _read_content(self.file)
        if content is not None and content == self.content and not is_requested:
            return
        self.content = content
        loaded = load_instance_settings(self.file)
        if isinstance(loaded, Err):
            self._log_fault(loaded.err_value)
            return
        self.fault = ""
        changed = list_changes(self.settings, loaded.ok_value)
        self.settings = loaded.ok_value
        if changed or is_requested:
            self._apply(changed)

    def _apply(self, changed: list[str]) -> None:
        self.process.settings = self.settings
        applied = [name for name in changed if name in APPLIERS]
        for apply in dict.fromkeys(APPLIERS[name] for name in applied):
            apply(self.process, self.settings)
        _LOGGER.info(
            "settings were read again",
            extra={
                "event": "reload",
                "applied": applied,
                "after_restart": [name for name in changed if name not in APPLIERS],
            },
        )

    def _log_fault(self, fault: str) -> None:
        if fault == self.fault:
            return
        self.fault = fault
        _LOGGER.error(
            "settings file is faulty; the settings read before stay in force",
            extra={"event": "settings_faulty", "detail": fault},
        )


def _read_content(file: str) -> bytes | None:
    try:
        return Path(file).read_bytes()
    except OSError:
        # Loading the file reports the error.
        return None


def list_changes(before: msgspec.Struct, after: msgspec.Struct, prefix: str = "") -> list[str]:
    """Return the names of the settings that differ, with dots in those of nested ones."""
    changed: list[str] = []
    for name in before.__struct_fields__:
        old: Any = getattr(before, name)
        new: Any = getattr(after, name)
        if isinstance(old, msgspec.Struct):
            changed += list_changes(old, new, f"{prefix}{name}.")
        elif old != new:
            changed.append(f"{prefix}{name}")
    return changed
