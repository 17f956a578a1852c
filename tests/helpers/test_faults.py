"""Tests of the collection of validation errors."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec import Meta

from heatherkeel.catalogue.models import CatalogueEntry
from heatherkeel.helpers.faults import SECRET, collect_faults


class Inner(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    size: Annotated[int, Meta(ge=1, le=9)] = 1
    names: Annotated[list[Annotated[str, Meta(max_length=2)]], Meta(max_length=2)] = []


class Outer(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    inner: Inner
    maybe: Inner | None = None
    by_name: dict[Annotated[str, Meta(pattern="^[a-z]$")], Inner] = {}
    key: Annotated[str, Meta(min_length=4, extra=dict(SECRET))] = "four"


KEYS = st.sampled_from(["inner", "maybe", "by_name", "key", "size", "names", "x", "Y z"])
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4),
    max_leaves=12,
)


def lines(value: Any, model: Any) -> list[str]:
    return [str(fault) for fault in collect_faults(value, model)]


def accepts(value: Any, model: Any) -> bool:
    try:
        msgspec.convert(value, model)
    except msgspec.ValidationError:
        return False
    return True


@settings(derandomize=True, deadline=None, max_examples=300)
@given(st.dictionaries(KEYS, VALUES, max_size=5))
def test_faults_are_found_exactly_where_msgspec_refuses(value: dict[str, Any]) -> None:
    # An operator who sees no fault must get a process that starts, and the other way round.
    found = lines(value, Outer)
    assert accepts(value, Outer) == (not found)
    assert all("\n" not in line for line in found)


def test_all_faults_are_collected() -> None:
    value = {
        "inner": {"size": 0, "names": ["abc", 3, "d"], "sise": 1},
        "maybe": {"size": "1"},
        "by_name": {"a": {"size": 10}, "B\n": {}},
        "key": "abc",
    }
    assert lines(value, Outer) == [
        "inner.size: expected int >= 1, got 0",
        "inner.names: expected array of length <= 2, got list",
        "inner.names[0]: expected str of length <= 2, got 'abc'",
        "inner.names[1]: expected str, got int",
        "inner.sise: unknown key; did you mean size?",
        "maybe.size: expected int, got str",
        "by_name.a.size: expected int <= 9, got 10",
        "by_name.\"B\\n\": expected str matching regex '^[a-z]$', got 'B\\n'",
        "key: expected str of length >= 4",
    ]


def test_union_is_validated_by_its_tag() -> None:
    entry = {"kind": "pool", "owner": "sheetal", "size": -1, "budget": 1}
    assert lines(entry, CatalogueEntry) == [
        "size: expected int >= 0, got -1",
        "budget: unknown key",
    ]
    assert lines({"kind": "pond"}, CatalogueEntry) == ["kind: invalid value 'pond'"]
