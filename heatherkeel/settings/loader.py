"""Reads a settings file, and returns either the settings or all faults in it."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path
from typing import Any, Final

import msgspec
from result import Err, Ok, Result

from heatherkeel.helpers.faults import Fault, collect_faults

from .const import MAX_SETTINGS_BYTES
from .errors import SettingsFaults
from .models import EntrySettings
from .rules import run_rules

_POSITION_SUFFIX: Final = re.compile(
    r" \(at (?:line (?P<line>\d+), column \d+|end of document)\)\Z"
)


def load_settings(file: str) -> Result[EntrySettings, SettingsFaults]:
    """Read and validate the settings of an entry process."""
    match _read(file).and_then(parse_settings):
        case Ok(settings):
            return Ok(settings)
        case Err(faults):
            return Err(SettingsFaults(file=file, faults=faults))


def parse_settings(text: str) -> Result[EntrySettings, list[Fault]]:
    """Parse and validate the text of a settings file."""
    match _parse_toml(text):
        case Ok(document):
            faults = collect_faults(document, EntrySettings) + run_rules(document, EntrySettings)
            return Err(faults) if faults else Ok(msgspec.convert(document, EntrySettings))
        case Err(fault):
            return Err([fault])


def _read(file: str) -> Result[str, list[Fault]]:
    try:
        with Path(file).open("rb") as stream:
            data = stream.read(MAX_SETTINGS_BYTES + 1)
    except (OSError, ValueError) as err:
        reason = err.strerror if isinstance(err, OSError) and err.strerror else str(err)
        return Err([Fault(path=(), reason=f"cannot be read: {reason}")])
    if len(data) > MAX_SETTINGS_BYTES:
        return Err([Fault(path=(), reason=f"longer than {MAX_SETTINGS_BYTES} bytes")])
    try:
        return Ok(data.decode("utf-8"))
    except UnicodeDecodeError as err:
        line = data.count(b"\n", 0, err.start) + 1
        return Err([Fault(path=(), line=line, reason="not UTF-8 text")])


def _parse_toml(text: str) -> Result[dict[str, Any], Fault]:
    try:
        return Ok(tomllib.loads(text))
    except RecursionError:
        return Err(Fault(path=(), reason="nested too deeply"))
    except ValueError as err:
        # tomllib raises a plain ValueError for numbers that Python can't convert.
        return Err(_syntax_fault(str(err), text))


def _syntax_fault(message: str, text: str) -> Fault:
    found = _POSITION_SUFFIX.search(message)
    if found is None:
        return Fault(path=(), reason=f"not TOML: {message.splitlines()[0]}")
    reason = f"not TOML: {message[: found.start()]}"
    line = found.group("line")
    return Fault(path=(), line=int(line) if line else text.count("\n") + 1, reason=reason)
