"""Documents with extreme numbers, drawn by the fields of the models that decode them."""

from __future__ import annotations

from typing import Any, Final

import hypothesis.strategies as st
from msgspec import inspect

SOUND_PER_BEYOND: Final = 100
HUGE: Final = (10**18, 2**63, 2**64, 10**308, 10**309, 10**400, 10**4290)
"""Numbers that other ranges of integers or of floating point don't hold."""


def numbers(info: inspect.IntType | inspect.FloatType) -> st.SearchStrategy[int | float]:
    """Return small numbers, the bounds of a field, and now and then numbers beyond them.

    These are few, or next to no document with several numbers would be sound.
    """
    bounds = [int(bound) for bound in (info.ge, info.le) if bound is not None]
    sound = [0, 1, 2, *bounds]
    beyond = [-1, *(bound + 1 for bound in bounds), *HUGE, *(-number for number in HUGE)]
    return st.sampled_from(sound * SOUND_PER_BEYOND + beyond)


def documents(info: inspect.Type) -> st.SearchStrategy[Any]:
    """Return documents of a type that are sound but for their numbers."""
    match info:
        case inspect.IntType() | inspect.FloatType():
            return numbers(info)
        case inspect.BoolType():
            return st.booleans()
        case inspect.StrType():
            return st.sampled_from(["", "a", "b1"])
        case inspect.UnionType():
            return st.one_of([documents(kind) for kind in info.types])
        case inspect.ListType() | inspect.VarTupleType():
            return st.lists(documents(info.item_type), max_size=2)
        case inspect.TupleType():
            return st.tuples(*(documents(kind) for kind in info.item_types)).map(list)
        case inspect.DictType():
            keys = documents(info.key_type)
            return st.dictionaries(keys, documents(info.value_type), max_size=2)
        case inspect.StructType() if info.array_like:
            return st.tuples(*(documents(field.type) for field in info.fields)).map(list)
        case inspect.StructType():
            return _objects(info)
    return st.none()


def _objects(info: inspect.StructType) -> st.SearchStrategy[dict[str, Any]]:
    required = {field.encode_name: documents(field.type) for field in info.fields if field.required}
    optional = {
        field.encode_name: documents(field.type) for field in info.fields if not field.required
    }
    return st.fixed_dictionaries(required, optional=optional)


def find_unbounded(info: inspect.Type, path: str = "", seen: tuple[type, ...] = ()) -> list[str]:
    """Return the number fields of a type that have no range."""
    match info:
        case inspect.IntType() | inspect.FloatType():
            has_lower = info.ge is not None or info.gt is not None
            has_upper = info.le is not None or info.lt is not None
            return [] if has_lower and has_upper else [path]
        case inspect.UnionType():
            parts = list(info.types)
        case inspect.ListType() | inspect.VarTupleType():
            parts = [info.item_type]
        case inspect.TupleType():
            parts = list(info.item_types)
        case inspect.DictType():
            parts = [info.key_type, info.value_type]
        case inspect.StructType() if info.cls not in seen:
            return [
                found
                for field in info.fields
                for found in find_unbounded(
                    field.type, f"{path}.{field.encode_name}", (*seen, info.cls)
                )
            ]
        case _:
            return []
    return [found for part in parts for found in find_unbounded(part, path, seen)]
