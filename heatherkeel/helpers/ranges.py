"""A set of whole numbers that takes little room where most of them follow each other."""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable


class IntRanges:
    """A set of whole numbers, kept as sorted ranges that neither overlap nor touch."""

    def __init__(self, ranges: Iterable[tuple[int, int]] = ()) -> None:
        self.starts: list[int] = []
        self.ends: list[int] = []
        """The first number behind each range."""
        for start, end in sorted(ranges):
            self._append(start, end)

    def __contains__(self, number: int) -> bool:
        place = bisect_right(self.starts, number) - 1
        return place >= 0 and number < self.ends[place]

    def add(self, number: int) -> None:
        """Add a number."""
        if number in self:
            return
        place = bisect_right(self.starts, number)
        joins_left = place > 0 and self.ends[place - 1] == number
        joins_right = place < len(self.starts) and self.starts[place] == number + 1
        if joins_left and joins_right:
            self.ends[place - 1] = self.ends.pop(place)
            del self.starts[place]
        elif joins_left:
            self.ends[place - 1] = number + 1
        elif joins_right:
            self.starts[place] = number
        else:
            self.starts.insert(place, number)
            self.ends.insert(place, number + 1)

    def find_missing(self, number: int) -> int:
        """Return the lowest number from this one on that isn't in the set."""
        place = bisect_right(self.starts, number) - 1
        return max(number, self.ends[place]) if place >= 0 else number

    def count(self) -> int:
        """Return how many numbers are in the set."""
        return sum(self.ends) - sum(self.starts)

    def list_ranges(self) -> list[tuple[int, int]]:
        """Return the ranges, each as its first number and the first one behind it."""
        return list(zip(self.starts, self.ends, strict=True))

    def _append(self, start: int, end: int) -> None:
        """Add a range that begins at or behind the start of the last one."""
        if end <= start:
            return
        if self.ends and start <= self.ends[-1]:
            self.ends[-1] = max(self.ends[-1], end)
        else:
            self.starts.append(start)
            self.ends.append(end)
