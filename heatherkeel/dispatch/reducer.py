"""The one reducer of a partition: an event changes the state and gives effects.

It does no I/O and reads no clock, so a recorded sequence of events gives the same decisions.
"""

from __future__ import annotations

from .events import Effect, Effects, Event
from .placement import place_tasks
from .registry import HANDLERS
from .state import PartitionState


def reduce_event(state: PartitionState, event: Event) -> list[Effect]:
    """Take in one event; returns what is to be done, in order.

    Only services that the event touched are looked at, so its cost grows with what it changes
    and not with all jobs and workers.
    """
    state.now_ms = max(state.now_ms, event.now_ms)
    state.wall_ms = event.wall_ms
    effects = Effects()
    HANDLERS[type(event)](state, event, effects)
    for service in effects.touched:
        place_tasks(state, service, effects)
    return effects.items
