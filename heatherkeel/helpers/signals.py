"""Handles the signals that stop the process."""

from __future__ import annotations

import signal

import trio


async def async_wait_for_stop(
    task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Return at the first SIGTERM or SIGINT; a second one ends the process at once."""
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        task_status.started()
        async for _ in signals:
            return


class StopSignal:
    """Records whether a stop signal was received."""

    def __init__(self) -> None:
        self.received = trio.Event()

    async def start(self, nursery: trio.Nursery) -> None:
        """Start listening; returns once the signal handlers are installed."""
        await nursery.start(self._async_run)

    async def _async_run(self, task_status: trio.TaskStatus[None]) -> None:
        await async_wait_for_stop(task_status)
        self.received.set()

    async def async_cancel(self, scope: trio.CancelScope) -> None:
        """Cancel a scope when a stop signal is received."""
        await self.received.wait()
        scope.cancel()
