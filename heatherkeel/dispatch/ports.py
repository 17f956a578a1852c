"""What the parts of a partition's owner use of it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from heatherkeel.platform.settings import InstanceSettings

from .events import Event
from .items import ItemFailedError
from .state import PartitionState


class OwnerPort(Protocol):
    """The owner of a partition, for its worker sessions and queries."""

    state: PartitionState
    settings: InstanceSettings
    on_fenced: Callable[[], None]

    def can_order(self) -> bool:
        """Return whether no other instance can own the partition yet."""

    def times(self) -> tuple[int, int]:
        """Return the monotonic clock and the wall clock, in milliseconds."""

    def handle_event(self, event: Event) -> None:
        """Pass an event to the reducer, and carry out the effects."""

    def set_aside(self, error: ItemFailedError) -> None:
        """Set a job or a worker aside that can't be handled."""
