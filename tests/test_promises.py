"""The page of promises names tests that exist."""

from __future__ import annotations

import re
from pathlib import Path

TESTS = Path(__file__).parent
PAGE = TESTS.parent / "docs" / "PROMISES.md"
NAMED = re.compile(r"`([\w/]+\.py)::(\w+)`")


def test_every_named_test_exists() -> None:
    named = NAMED.findall(PAGE.read_text(encoding="utf-8"))
    missing = [
        f"{path}::{name}"
        for path, name in named
        if not re.search(rf"^(async )?(def {name}\(|{name} = |class {name}\b)", _text(path), re.M)
    ]
    assert len(named) > 50 and missing == []


def _text(path: str) -> str:
    file = TESTS / path
    return file.read_text(encoding="utf-8") if file.exists() else ""
