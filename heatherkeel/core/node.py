"""The reducer of one process, for records from the log and local events."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

from heatherkeel.membership.local import LeaseState, PeersState
from heatherkeel.requests.local import RoutingState

from .errors import RegistrationError
from .models import Effect, LogRecord
from .reducer import fold
from .state import FleetState


@dataclass(frozen=True, kw_only=True, slots=True)
class LocalEvent:
    """Base class of the local events of one process; `now_ms` is its monotonic clock."""

    now_ms: int


@dataclass(kw_only=True)
class LocalState:
    """State that only this process has; it is lost when the process ends."""

    instance: str
    zone: str
    incarnation: str
    routing: RoutingState = field(default_factory=RoutingState)
    peers: PeersState = field(default_factory=PeersState)
    lease: LeaseState = field(default_factory=LeaseState)


@dataclass(kw_only=True)
class NodeState:
    """The shared state as folded by this process, and its local state."""

    local: LocalState
    fleet: FleetState = field(default_factory=FleetState)


Event = LogRecord | LocalEvent
EventT = TypeVar("EventT", bound=LocalEvent | Effect)
Listener = Callable[[NodeState, EventT], list[Effect]]
LISTENERS: Final[dict[type, list[Listener[Any]]]] = {}


def listens(event_type: type[EventT]) -> Callable[[Listener[EventT]], Listener[EventT]]:
    """Register a listener for a local event or an effect of the fold.

    A listener may change `node.local` only; `node.fleet` is changed by the fold alone.
    """

    def register(listener: Listener[EventT]) -> Listener[EventT]:
        listeners = LISTENERS.setdefault(event_type, [])
        if listener in listeners:
            raise RegistrationError(f"{listener.__name__} is registered twice")
        listeners.append(listener)
        return listener

    return register


def reduce(node: NodeState, event: Event) -> list[Effect]:
    """Handle one event and return all effects in order, including those of the listeners."""
    if isinstance(event, LocalEvent):
        return _notify_listeners(node, event)
    effects = fold(node.fleet, event)
    listener_effects = [
        listener_effect for effect in effects for listener_effect in _notify_listeners(node, effect)
    ]
    return effects + listener_effects


def _notify_listeners(node: NodeState, event: LocalEvent | Effect) -> list[Effect]:
    listeners = LISTENERS.get(type(event), ())
    return [effect for listener in listeners for effect in listener(node, event)]
