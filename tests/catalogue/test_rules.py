"""The fold rejects edits that break a rule between entries."""

from __future__ import annotations

from typing import Any

from heatherkeel.catalogue.models import Budget, MaintenanceEntry, PoolEntry, ServiceEntry
from heatherkeel.core.models import Accepted
from heatherkeel.core.state import FleetState

from .folding import TEAM, delete, put, rejection


def pool(size: int) -> PoolEntry:
    return PoolEntry(owner=TEAM, size=size)


def service(**changes: Any) -> ServiceEntry:
    values: dict[str, Any] = {"pool": "desk", "path_prefix": "/stock", "min_serving": 2} | changes
    budget = Budget(min_serving=values.pop("min_serving"))
    return ServiceEntry(owner=TEAM, budget=budget, **values)


def maintenance() -> MaintenanceEntry:
    return MaintenanceEntry(owner=TEAM, pool="desk")


def state_with_service() -> FleetState:
    state = FleetState()
    assert isinstance(put(state, "desk", pool(3)), Accepted)
    assert isinstance(put(state, "stock", service()), Accepted)
    return state


def test_a_rejection_lists_every_fault() -> None:
    state = state_with_service()
    outcome = put(state, "quotes", service(min_serving=4, path_prefix="/stock/"))
    assert rejection(outcome) == (
        "invalid",
        [
            "entry.budget.min_serving: 4 is more than the size 3 of desk",
            "entry.path_prefix: /stock/ is the prefix of stock",
        ],
    )
    assert "quotes" not in state.catalogue.versions


def test_a_service_requires_an_existing_pool() -> None:
    state = state_with_service()
    expected = ("invalid", ["entry.pool: there is no pool dock"])
    assert rejection(put(state, "quotes", service(pool="dock", path_prefix="/q"))) == expected
    other = ("invalid", ["entry.pool: there is no pool stock"])
    assert rejection(put(state, "quotes", service(pool="stock", path_prefix="/q"))) == other


def test_a_pool_is_at_least_as_large_as_its_budgets() -> None:
    # Guards against shrinking a pool below the budget of a service that uses it.
    state = state_with_service()
    expected = ("invalid", ["entry.size: 1 is less than budget.min_serving of stock"])
    assert rejection(put(state, "desk", pool(1))) == expected
    assert isinstance(put(state, "desk", pool(2)), Accepted)


def test_a_pool_in_use_cannot_be_deleted() -> None:
    state = state_with_service()
    assert isinstance(put(state, "care", maintenance()), Accepted)
    assert rejection(delete(state, "desk")) == ("in_use", ["name: in use by care, stock"])
    assert isinstance(delete(state, "stock"), Accepted)
    assert isinstance(delete(state, "care"), Accepted)
    assert isinstance(delete(state, "desk"), Accepted)


def test_a_rejection_lists_only_some_of_many_users() -> None:
    state = state_with_service()
    for number in range(7):
        put(state, f"s{number}", service(path_prefix=f"/{number}"))
    expected = ("in_use", ["name: in use by s0, s1, s2, s3, s4 and 3 more"])
    assert rejection(delete(state, "desk")) == expected


def test_a_pool_has_one_maintenance_entry() -> None:
    state = state_with_service()
    put(state, "care", maintenance())
    expected = ("conflict", ["entry.pool: desk is maintained by care"])
    assert rejection(put(state, "more-care", maintenance())) == expected
    assert isinstance(put(state, "care", maintenance()), Accepted)


def test_the_kind_of_an_entry_cannot_change() -> None:
    state = state_with_service()
    [line] = rejection(put(state, "desk", service(path_prefix="/q")))[1]
    assert line.startswith("entry.kind: ")


def test_an_owner_can_transfer_its_entry() -> None:
    state = state_with_service()
    assert isinstance(put(state, "stock", service(path_prefix="/s")), Accepted)
    handed = ServiceEntry(
        owner="agency", pool="desk", path_prefix="/s", budget=Budget(min_serving=1)
    )
    assert isinstance(put(state, "stock", handed), Accepted)
    assert rejection(put(state, "stock", service()))[0] == "not_owner"
    assert rejection(put(state, "new", handed))[0] == "not_owner"
    assert rejection(delete(state, "stock"))[0] == "not_owner"
    assert isinstance(delete(state, "stock", team="agency"), Accepted)
