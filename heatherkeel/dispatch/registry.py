"""Registry of the handler function of each kind of event."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, TypeVar

from .events import Effects, Event
from .state import PartitionState

EventT = TypeVar("EventT", bound=Event)
Handler = Callable[[PartitionState, Any, Effects], None]
HANDLERS: Final[dict[type[Event], Handler]] = {}


def handles(
    kind: type[EventT],
) -> Callable[
    [Callable[[PartitionState, EventT, Effects], None]],
    Callable[[PartitionState, EventT, Effects], None],
]:
    """Register a function as the handler of a kind of event."""

    def register(
        handler: Callable[[PartitionState, EventT, Effects], None],
    ) -> Callable[[PartitionState, EventT, Effects], None]:
        HANDLERS[kind] = handler
        return handler

    return register
