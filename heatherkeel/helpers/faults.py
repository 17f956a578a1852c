"""Collects all validation errors of a decoded document; msgspec reports only the first."""

from __future__ import annotations

import difflib
import json
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from types import UnionType
from typing import Annotated, Any, Final, Union, get_args, get_origin

import msgspec
from msgspec import Meta
from msgspec.structs import FieldInfo, fields

Path = tuple[str | int, ...]

MAX_SHOWN_CHARS: Final = 60
WHOLE_FILE: Final = "(file)"
"""Key path of a fault that concerns the whole file."""
SECRET: Final[Mapping[str, Any]] = {"secret": True}
"""`Meta(extra=SECRET)` excludes a value from error messages."""

_BARE_KEY: Final = re.compile(r"[A-Za-z0-9_-]+\Z")
_MESSAGE_PATH: Final = re.compile(r" - at `\$(?P<path>[^`]*)`\Z")
_PATH_PART: Final = re.compile(r"\.([A-Za-z0-9_-]+)|\[(\d+)\]")


@dataclass(frozen=True, kw_only=True, slots=True)
class Fault:
    """A validation error and its position; `path` holds keys and list indexes.

    `line` is set instead of `path` if the text could not be parsed.
    """

    path: Path
    reason: str
    line: int = 0

    def __str__(self) -> str:
        """Return `key.path: reason` on one line."""
        place = f"line {self.line}" if self.line else format_path(self.path)
        return f"{place}: {self.reason}"


def format_path(path: Path) -> str:
    """Format a path as in TOML; keys with special characters are quoted, so it stays one line."""
    text = ""
    for part in path:
        if isinstance(part, int):
            text += f"[{part}]"
            continue
        key = part if _BARE_KEY.match(part) else json.dumps(part)
        text += f".{key}" if text else key
    return text or WHOLE_FILE


def collect_faults(value: object, model: Any) -> list[Fault]:
    """Return all validation errors of decoded data against a type.

    An empty list means that `msgspec.convert(value, model)` succeeds.
    """
    found = list(_walk(value, model, ()))
    # Let msgspec validate types that `_walk` does not support.
    return found or list(_check(value, model, ()))


def split_hint(hint: Any) -> tuple[Any, tuple[Meta, ...]]:
    """Split a type annotation into the bare type and its constraints."""
    if get_origin(hint) is not Annotated:
        return hint, ()
    bare, *metas = get_args(hint)
    return bare, tuple(meta for meta in metas if isinstance(meta, Meta))


def fields_by_key(model: Any) -> dict[str, FieldInfo]:
    """Return a struct's fields by their encoded names."""
    return {field.encode_name: field for field in fields(model)}


def is_struct(hint: Any) -> bool:
    """Return whether a type is a msgspec struct that is encoded as a map."""
    if not (isinstance(hint, type) and issubclass(hint, msgspec.Struct)):
        return False
    return not hint.__struct_config__.array_like


def pick_member(value: object, bare: Any) -> Any:
    """Return the struct of a union that matches a map's tag, or the union itself."""
    if get_origin(bare) not in (Union, UnionType) or not isinstance(value, dict):
        return bare
    structs = [member for member in get_args(bare) if is_struct(member)]
    for member in structs:
        config = member.__struct_config__
        if config.tag_field is not None and value.get(config.tag_field) == config.tag:
            return member
    untagged = [member for member in structs if member.__struct_config__.tag_field is None]
    return untagged[0] if len(untagged) == len(structs) == 1 else bare


def _walk(value: object, hint: Any, path: Path) -> Iterator[Fault]:
    bare, metas = split_hint(hint)
    bare = pick_member(value, bare)
    if is_struct(bare) and isinstance(value, dict):
        return _walk_struct(value, bare, path)
    if get_origin(bare) is list and isinstance(value, list):
        return _walk_list(value, bare, metas, path)
    if get_origin(bare) is dict and isinstance(value, dict):
        return _walk_dict(value, bare, metas, path)
    return _check(value, hint, path)


def _walk_struct(value: dict[str, object], model: Any, path: Path) -> Iterator[Fault]:
    known = fields_by_key(model)
    config = model.__struct_config__
    for key in value:
        if key in known:
            yield from _walk(value[key], known[key].type, (*path, key))
        elif key == config.tag_field:
            yield from _check_tag(value[key], config.tag, (*path, key))
        elif config.forbid_unknown_fields:
            yield Fault(path=(*path, key), reason=_format_unknown_key(key, known))
    for key, field in known.items():
        if field.required and key not in value:
            yield Fault(path=(*path, key), reason="missing")


def _check_tag(value: object, tag: object, path: Path) -> Iterator[Fault]:
    if value != tag:
        yield Fault(path=path, reason=f"expected {tag!r}, got {_format_value(value)}")


def _format_unknown_key(key: str, known: Mapping[str, FieldInfo]) -> str:
    near = difflib.get_close_matches(key[:MAX_SHOWN_CHARS], known, n=1)
    return f"unknown key; did you mean {near[0]}?" if near else "unknown key"


def _walk_list(
    value: list[object], bare: Any, metas: tuple[Meta, ...], path: Path
) -> Iterator[Fault]:
    yield from _check(value, _annotate(list[Any], metas), path)
    [item_hint] = get_args(bare)
    for index, item in enumerate(value):
        yield from _walk(item, item_hint, (*path, index))


def _walk_dict(
    value: dict[str, object], bare: Any, metas: tuple[Meta, ...], path: Path
) -> Iterator[Fault]:
    yield from _check(value, _annotate(dict[Any, Any], metas), path)
    key_hint, item_hint = get_args(bare)
    for key, item in value.items():
        yield from _check(key, key_hint, (*path, key))
        yield from _walk(item, item_hint, (*path, key))


def _annotate(bare: Any, metas: tuple[Meta, ...]) -> Any:
    return Annotated[(bare, *metas)] if metas else bare


def _check(value: object, hint: Any, path: Path) -> Iterator[Fault]:
    try:
        msgspec.convert(value, hint)
    except msgspec.ValidationError as err:
        message = str(err)
        found = _MESSAGE_PATH.search(message)
        if found is None:
            yield Fault(path=path, reason=_format_reason(value, hint, message))
            return
        deeper = _PATH_PART.findall(found.group("path"))
        inside = tuple(key or int(index) for key, index in deeper)
        yield Fault(path=path + inside, reason=_lower_first(message[: found.start()]))


def _lower_first(text: str) -> str:
    text = text.replace("`", "")
    return text[:1].lower() + text[1:]


def _format_reason(value: object, hint: Any, message: str) -> str:
    bare, metas = split_hint(hint)
    text = _lower_first(message)
    described = [meta.description for meta in metas if meta.description]
    # Prefer a constraint's description to its pattern or bounds, except for a type mismatch.
    if described and " got " not in text:
        text = f"expected {described[0]}"
    secret = any((meta.extra or {}).get("secret") for meta in metas)
    if secret or " got " in text or is_struct(bare):
        return text
    return f"{text}, got {_format_value(value)}"


def _format_value(value: object) -> str:
    if isinstance(value, dict | list):
        return type(value).__name__
    text = repr(value)
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}..."
