"""The reducer of a partition: an event changes the state and returns effects.

It does no I/O and reads no clock, so replaying recorded events gives the same decisions.
"""

from __future__ import annotations

from .events import Effect, Effects, Event
from .items import Blame, find_item
from .placement import place_tasks
from .registry import HANDLERS
from .state import PartitionState


def reduce_event(state: PartitionState, event: Event) -> list[Effect]:
    """Apply one event to the state; returns the effects to carry out, in order.

    Placement runs only for the services that the event touched, so the cost of an event depends
    on what it changes and not on the number of jobs and workers.

    Raises `ItemFailedError` if one job or worker can't be handled; the state may be half-changed
    then, and must not be used any more.
    """
    state.now_ms = max(state.now_ms, event.now_ms)
    state.wall_ms = event.wall_ms
    effects = Effects()
    with Blame(find_item(event)):
        HANDLERS[type(event)](state, event, effects)
    for service in effects.touched:
        place_tasks(state, service, effects)
    return effects.items
