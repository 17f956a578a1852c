"""Runs the program with one safeguard taken out: `python -m tests.soak.patched NAME instance`."""

from __future__ import annotations

import sys
from collections.abc import Callable
from typing import Any, Final

PATCHES: Final[dict[str, Callable[[], None]]] = {}


def patches(name: str) -> Callable[[Callable[[], None]], Callable[[], None]]:
    """Register what takes a safeguard out."""

    def register(patch: Callable[[], None]) -> Callable[[], None]:
        PATCHES[name] = patch
        return patch

    return register


@patches("give-up-at-once")
def give_up_at_once() -> None:
    """Give a task up after its first lost worker."""
    from heatherkeel.dispatch import ends
    from heatherkeel.dispatch.models import LossReason

    lose_run = ends.lose_run

    def lose_and_give_up(state: Any, run: Any, effects: Any, **known: Any) -> None:
        lose_run(state, run, effects, **known)
        is_with_worker = known["reason"] in (LossReason.LEASE_LAPSED, LossReason.OTHER_LIFE)
        if is_with_worker and not run.task.step.job.state.is_final():
            ends._give_up_task(state, run, effects)

    ends.lose_run = lose_and_give_up


@patches("no-fencing")
def send_highest_token() -> None:
    """Send a token that no worker refuses."""
    from heatherkeel.platform.workers import WorkerClient

    call: Any = WorkerClient._async_call

    async def async_call(client: Any, path: str, body: dict[str, Any], *more: Any) -> Any:
        return await call(client, path, body | {"fencingToken": 1_000_000_000}, *more)

    setattr(WorkerClient, "_async_call", async_call)  # noqa: B010


@patches("early-acknowledgement")
def acknowledge_before_append() -> None:
    """Acknowledge ends that are not stored yet."""
    from heatherkeel.dispatch.worker import Worker

    def to_acknowledge(worker: Worker, now_ms: int) -> int:
        return worker.last_processed_end

    setattr(Worker, "to_acknowledge", to_acknowledge)  # noqa: B010


if __name__ == "__main__":
    PATCHES[sys.argv[1]]()
    from heatherkeel.cli.main import main

    sys.exit(main(sys.argv[2:]))
