"""What requests hold in memory, charged to a budget that all of a server's requests share."""

from __future__ import annotations

from collections.abc import Callable

from .const import FREE_BODY_BYTES


class MemoryBudget:
    """A number of bytes, of which requests take and give back parts."""

    def __init__(self, *, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.taken_bytes = 0

    def take(self, size: int) -> bool:
        """Take some bytes; False if there aren't as many left."""
        if self.taken_bytes + size > self.limit_bytes:
            return False
        self.taken_bytes += size
        return True

    def give(self, size: int) -> None:
        """Give back some bytes."""
        self.taken_bytes -= size
        assert self.taken_bytes >= 0, "nobody gives back more than was taken"


class RequestAccount:
    """What one request holds; a small part of it is free."""

    def __init__(
        self,
        *,
        budget: MemoryBudget,
        make_room: Callable[[int], bool] = lambda size: False,
    ) -> None:
        self.budget = budget
        self.make_room = make_room
        """Tries to free so many bytes of the budget, at the expense of other requests."""
        self.held_bytes = 0
        self.charged_bytes = 0
        self.is_closed = False

    def take(self, size: int) -> bool:
        """Hold some more bytes; False if there is no room, or the request was given up."""
        charge = self._charge_for(size)
        if self.is_closed or not self._charge(charge):
            return False
        self._record(size, charge)
        return True

    def take_in_any_case(self, size: int) -> None:
        """Hold bytes that can't be refused any more, such as those of an answer."""
        if self.is_closed:
            return
        charge = self._charge_for(size)
        if not self._charge(charge):
            self.budget.taken_bytes += charge
        self._record(size, charge)

    def close(self) -> None:
        """Give everything back; the account takes nothing any more."""
        if self.is_closed:
            return
        self.is_closed = True
        self.budget.give(self.charged_bytes)

    def fits(self, size: int) -> bool:
        """Return whether a request may ever hold so many bytes."""
        return size - FREE_BODY_BYTES <= self.budget.limit_bytes

    def _charge_for(self, size: int) -> int:
        return max(0, self.held_bytes + size - FREE_BODY_BYTES) - self.charged_bytes

    def _charge(self, size: int) -> bool:
        if not size or self.budget.take(size):
            return True
        return self.make_room(size) and self.budget.take(size)

    def _record(self, size: int, charge: int) -> None:
        self.held_bytes += size
        self.charged_bytes += charge
