"""Tests of parts of the capacity by weight, over all partitions."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from heatherkeel.workspaces.amounts import NOTHING, Amount
from heatherkeel.workspaces.const import MAX_OVER_PART, MAX_USE_AGE_MS
from heatherkeel.workspaces.messages import AccountReport
from heatherkeel.workspaces.recent_use import RecentUse
from heatherkeel.workspaces.sharing import Use, divide_by_weight, find_over_part

AMOUNTS = st.floats(min_value=0, max_value=1e6)
USES = st.dictionaries(
    st.text(min_size=1, max_size=3),
    st.builds(Use, used=AMOUNTS, waiting=AMOUNTS, weight=st.floats(min_value=0, max_value=100)),
    max_size=8,
)


def report(workspace: str, *, used: int, waiting: int = 0) -> AccountReport:
    """Return a workspace's account in a partition."""
    return AccountReport(
        workspace=workspace,
        granted=NOTHING,
        limit=NOTHING,
        used=Amount(used),
        waiting=Amount(waiting),
        largest=NOTHING,
        oldest_ms=0,
    )


@given(uses=USES, capacity=AMOUNTS)
def test_parts_exceed_neither_the_capacity_nor_what_is_wanted(
    uses: dict[str, Use], capacity: float
) -> None:
    parts = divide_by_weight(capacity, uses)
    assert sum(parts.values()) <= capacity * (1 + 1e-9)
    assert all(part <= uses[name].wanted() * (1 + 1e-9) for name, part in parts.items())


def test_small_wishes_are_met_and_the_rest_goes_by_weight() -> None:
    parts = divide_by_weight(
        100,
        {
            "desk": Use(used=10, weight=1),
            "dock": Use(used=80, waiting=80, weight=2),
            "yard": Use(used=10, waiting=80, weight=1),
        },
    )
    assert parts == {"desk": 10, "dock": 60, "yard": 30}


def test_workspace_at_ten_times_its_usual_is_found() -> None:
    """Guards against one workspace whose backlog takes the capacity of nineteen others."""
    uses = {f"w{number}": Use(used=20, waiting=30) for number in range(19)}
    uses["busy"] = Use(used=400, waiting=4000)
    assert find_over_part(uses, known=frozenset()) == ["busy"]


def test_nobody_is_found_while_nobody_is_short() -> None:
    uses = {"busy": Use(used=900), "desk": Use(used=20)}
    assert find_over_part(uses, known=frozenset()) == []


def test_found_workspace_stays_until_it_is_down_to_its_part() -> None:
    """Guards against a workspace that changes its place in the order with each round."""
    uses = {"busy": Use(used=55, waiting=100), "desk": Use(used=45, waiting=100)}
    assert find_over_part(uses, known=frozenset()) == []
    uses = {"busy": Use(used=58, waiting=100), "desk": Use(used=42, waiting=100)}
    assert find_over_part(uses, known=frozenset(["busy"])) == ["busy"]
    assert find_over_part(uses, known=frozenset()) == []


def test_use_counts_over_all_partitions() -> None:
    """Guards against a workspace that takes its part in each of several partitions."""
    recent = RecentUse()
    reports = {
        0: [report("busy", used=50, waiting=50), report("desk", used=10, waiting=40)],
        1: [report("busy", used=60, waiting=50)],
        2: [report("busy", used=60, waiting=50)],
    }
    for partition in reports:
        recent.record_answer(partition, now_ms=0)
    weights = {"busy": 1.0, "desk": 1.0}
    assert recent.update(reports, weights=weights, now_ms=0) == ["busy"]


def test_reports_of_silent_partitions_count_for_nothing() -> None:
    """Guards against a workspace held back for runs of a partition that was lost."""
    recent = RecentUse()
    reports = {
        0: [report("busy", used=500)],
        1: [report("busy", used=10), report("desk", used=10, waiting=400)],
    }
    weights = {"busy": 1.0, "desk": 1.0}
    recent.record_answer(0, now_ms=0)
    recent.record_answer(1, now_ms=0)
    assert recent.update(reports, weights=weights, now_ms=0) == ["busy"]
    for now_ms in range(0, 8 * MAX_USE_AGE_MS, 100):
        recent.record_answer(1, now_ms=now_ms)
        recent.update(reports, weights=weights, now_ms=now_ms)
    assert recent.over_part == []


def test_number_of_workspaces_told_is_bounded() -> None:
    recent = RecentUse()
    reports = {0: [report(f"w{number}", used=100, waiting=100) for number in range(560)]}
    reports[0] += [report("desk", used=0, waiting=100_000)]
    recent.record_answer(0, now_ms=0)
    weights = {f"w{number}": 0.001 for number in range(560)} | {"desk": 560.0}
    assert len(recent.update(reports, weights=weights, now_ms=0)) == MAX_OVER_PART
