"""Tests of sets of whole numbers that are kept as ranges."""

from __future__ import annotations

from itertools import pairwise

import hypothesis.strategies as st
from hypothesis import given

from heatherkeel.helpers.ranges import IntRanges

NUMBERS = st.integers(-5, 40)


@given(
    ranges=st.lists(st.tuples(NUMBERS, NUMBERS), max_size=6), added=st.lists(NUMBERS, max_size=40)
)
def test_ranges_hold_what_a_set_of_the_same_numbers_holds(
    ranges: list[tuple[int, int]], added: list[int]
) -> None:
    known = {number for start, end in ranges for number in range(start, end)} | set(added)
    kept = IntRanges(ranges)
    for number in added:
        kept.add(number)
    assert kept.count() == len(known)
    for number in range(-7, 43):
        assert (number in kept) == (number in known)
        assert kept.find_missing(number) == next(n for n in range(number, 60) if n not in known)
    listed = kept.list_ranges()
    assert all(start < end for start, end in listed)
    pairs = pairwise(listed)
    assert all(earlier[1] < later[0] for earlier, later in pairs)
    assert IntRanges(listed).list_ranges() == listed
