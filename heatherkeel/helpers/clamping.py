"""Brings the numbers of a document into the ranges of a model."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import inspect


def clamp(value: Any, model: Any) -> Any:
    """Return a decoded document with each number within the range that the model gives it.

    Everything else stays as it is, so that the model's own decoder judges it.
    """
    return _clamp(value, inspect.type_info(model))


def _clamp(value: Any, info: inspect.Type) -> Any:
    match info:
        case inspect.UnionType():
            return _clamp_union(value, info)
        case inspect.IntType() | inspect.FloatType():
            return _clamp_number(value, info)
        case inspect.StructType():
            return _clamp_fields(value, info)
        case inspect.ListType() | inspect.VarTupleType() if isinstance(value, list):
            return [_clamp(item, info.item_type) for item in value]
        case inspect.TupleType() if isinstance(value, list):
            types = info.item_types
            return [_clamp(item, kind) for item, kind in zip(value, types, strict=False)]
    return value


def _clamp_union(value: Any, info: inspect.UnionType) -> Any:
    for kind in info.types:
        value = _clamp(value, kind)
    return value


def _clamp_number(value: Any, info: inspect.IntType | inspect.FloatType) -> Any:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return value
    if info.le is not None and value > info.le:
        return info.le
    if info.ge is not None and value < info.ge:
        return info.ge
    return value


def _clamp_fields(value: Any, info: inspect.StructType) -> Any:
    if info.array_like and isinstance(value, list):
        known = [_clamp(item, field.type) for item, field in zip(value, info.fields, strict=False)]
        return known + value[len(known) :]
    if not isinstance(value, dict):
        return value
    clamped = dict(value)
    for field in info.fields:
        if field.encode_name in clamped:
            clamped[field.encode_name] = _clamp(clamped[field.encode_name], field.type)
    return clamped


def decode_clamped(data: bytes, model: type[msgspec.Struct]) -> Any:
    """Decode a document as a model after its numbers were brought into range.

    Raises `msgspec.ValidationError` or `RecursionError` if it can't be decoded all the same.
    """
    return msgspec.convert(clamp(msgspec.json.decode(data), model), model)
