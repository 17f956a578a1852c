"""Runs the demo: `python -m heatherkeel.demo`; exit 1 if a promise broke."""

from __future__ import annotations

import signal
import sys

import trio
from result import Err, Ok, Result

from heatherkeel.measure.processes import MeasurementError

from .models import Played
from .scenes import async_play
from .stage import Stage
from .summary import format_summary

EXIT_BROKEN_PROMISE = 1
EXIT_NOT_STARTED = 2
EXIT_INTERRUPTED = 130
INTERRUPTED = "interrupted"


def main() -> int:
    """Start everything, play the scenes, and end everything whatever happens."""
    stage = Stage()
    try:
        outcome = trio.run(_async_play_until_signal, stage)
    finally:
        # A second Ctrl-C must not stop this half-way: what it left would run on unseen.
        signal.signal(signal.SIGINT, signal.SIG_IGN)
        signal.signal(signal.SIGTERM, signal.SIG_IGN)
        stage.close()
    if isinstance(outcome, Err):
        _tell(f"demo: {outcome.err_value}")
        return EXIT_INTERRUPTED if outcome.err_value == INTERRUPTED else EXIT_NOT_STARTED
    played = outcome.ok_value
    _tell(format_summary(played.story, played.tally))
    return EXIT_BROKEN_PROMISE if played.story.broken else 0


async def _async_play_until_signal(stage: Stage) -> Result[Played, str]:
    """Play the scenes; the error says what came in between."""
    outcome: Result[Played, str] = Err(INTERRUPTED)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_async_cancel_on_signal, nursery.cancel_scope)
        outcome = await _async_start_and_play(stage)
        nursery.cancel_scope.cancel()
    return outcome


async def _async_start_and_play(stage: Stage) -> Result[Played, str]:
    _tell("starting a platform, six targets and three entry instances on loopback")
    try:
        # In a thread that a signal can't interrupt: else it could come between the start of a
        # process and the line that notes it, and the process would be left behind.
        await trio.to_thread.run_sync(stage.start)
    except MeasurementError as err:
        return Err(str(err))
    _tell("serving requests; then an edit, a maintenance wave, and a killed entry instance")
    return Ok(await async_play(stage))


async def _async_cancel_on_signal(scope: trio.CancelScope) -> None:
    with trio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as signals:
        async for _ in signals:
            scope.cancel()


def _tell(text: str) -> None:
    sys.stdout.write(f"{text}\n")
    sys.stdout.flush()


if __name__ == "__main__":
    sys.exit(main())
