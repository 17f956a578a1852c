"""Division of machines between shares whose claims exceed them, without a fleet."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from heatherkeel.pooling.division import Claimant, Demand, divide
from heatherkeel.pooling.models import PoolShare

DESK, PORTAL, YARD = (PoolShare(pool, 0) for pool in ("desk", "portal", "yard"))


def claim(
    in_time: float, late: float = 0.0, *, priority: int = 0, weight: float = 40, pinned: int = 0
) -> Claimant:
    """Return a claimant with one priority and a least part of 14 machines."""
    demand = Demand(priority=priority, in_time=in_time, late=late)
    return Claimant(weight=weight, least=14, pinned=pinned, demands=(demand,))


def test_machines_go_by_weight_between_equal_priorities() -> None:
    parts = divide(150, {DESK: claim(250, weight=60), PORTAL: claim(400, weight=40)})
    assert parts == {DESK: 90, PORTAL: 60}


def test_unused_part_goes_to_the_others() -> None:
    parts = divide(150, {DESK: claim(20), PORTAL: claim(400), YARD: claim(400)})
    assert parts == {DESK: 20, PORTAL: 65, YARD: 65}


def test_several_priorities_of_a_share_count_as_one_claim() -> None:
    """Guards against a pool that gets more machines because its queues differ in priority."""
    both = Claimant(
        weight=40,
        least=14,
        demands=(Demand(priority=0, in_time=200), Demand(priority=1, in_time=200)),
    )
    assert divide(150, {DESK: claim(400), PORTAL: both}) == {DESK: 75, PORTAL: 75}


def test_late_demand_gets_only_what_demand_in_time_leaves() -> None:
    """Guards against a pool that keeps all machines for jobs that can't be in time any more."""
    parts = divide(150, {DESK: claim(130), PORTAL: claim(0, 400)})
    assert parts == {DESK: 130, PORTAL: 20}


def test_late_demand_keeps_the_least_part() -> None:
    parts = divide(150, {DESK: claim(400), PORTAL: claim(0, 400)})
    assert parts == {DESK: 136, PORTAL: 14}


def test_pinned_machines_are_a_part_even_without_a_claim() -> None:
    parts = divide(100, {DESK: claim(400), PORTAL: claim(0, pinned=20)})
    assert parts == {DESK: 80, PORTAL: 20}


amounts = st.floats(min_value=0, max_value=500)
claimants = st.builds(
    claim,
    amounts,
    amounts,
    priority=st.integers(min_value=0, max_value=3),
    weight=st.floats(min_value=1, max_value=60),
)


@given(
    st.integers(min_value=0, max_value=300),
    st.dictionaries(st.builds(PoolShare, st.text(), st.integers(0, 3)), claimants, max_size=6),
)
def test_parts_fit_in_the_total_and_give_each_its_least_part(
    total: int, claims: dict[PoolShare, Claimant]
) -> None:
    """Guards against a starved share, and against machines left over while any is claimed."""
    parts = divide(total, claims)
    secured = sum(min(14.0, claimant.total()) for claimant in claims.values())
    if secured + len(claims) <= total:
        assert sum(parts.values()) <= total
        for share, claimant in claims.items():
            assert parts[share] >= int(min(14.0, claimant.total()))
            assert parts[share] <= claimant.total() + 1
    if sum(claimant.total() for claimant in claims.values()) >= total >= secured + len(claims):
        assert sum(parts.values()) >= total - 1
