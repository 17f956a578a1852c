"""Lets the suite pass over the tests that KNOWN-RED.txt lists, and over nothing else.

Each line of the file is `test-id | cause | issue`, three lines at most. A listed test is
expected to fail: if it passes, or doesn't exist, the run fails, so that no line outlives its
fault.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Final

import pytest

FILE_NAME: Final = "KNOWN-RED.txt"
MAX_LINES: Final = 3
_KEY: Final = pytest.StashKey[list["KnownRed"]]()


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownRed:
    """A test that fails for a real fault, the cause, and the issue that will mend it."""

    test_id: str
    cause: str
    issue: str


def read_known_red(file: Path) -> list[KnownRed]:
    """Read the list; raises `pytest.UsageError` if it is longer or looser than it may be."""
    text = file.read_text(encoding="utf-8") if file.exists() else ""
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_LINES:
        raise pytest.UsageError(f"{FILE_NAME}: {len(lines)} lines, at most {MAX_LINES}")
    return [_parse(line) for line in lines]


def _parse(line: str) -> KnownRed:
    parts = [part.strip() for part in line.split("|")]
    if len(parts) != 3 or not all(parts):
        raise pytest.UsageError(f"{FILE_NAME}: not `test-id | cause | issue`: {line}")
    return KnownRed(test_id=parts[0], cause=parts[1], issue=parts[2])


def pytest_configure(config: pytest.Config) -> None:
    config.stash[_KEY] = read_known_red(config.rootpath / FILE_NAME)


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    by_id = {item.nodeid: item for item in items}
    whole_suite = not any(
        Path(arg.split("::")[0]).exists() for arg in config.invocation_params.args
    )
    for known in config.stash[_KEY]:
        item = by_id.get(known.test_id)
        if item is not None:
            item.add_marker(pytest.mark.xfail(strict=True, reason=known.cause))
        elif whole_suite:
            raise pytest.UsageError(f"{FILE_NAME}: no such test: {known.test_id}")


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    for known in config.stash[_KEY]:
        terminalreporter.write_line(f"KNOWN RED {known.test_id}: {known.cause} ({known.issue})")
