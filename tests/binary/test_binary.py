"""The one file that ships runs by itself, as one process, and can be built again bit by bit."""

from __future__ import annotations

import hashlib
import os
import subprocess
import sys
from pathlib import Path
from typing import Final

import pytest

ROOT: Final = Path(__file__).parents[2]
BINARY: Final = ROOT / "dist" / "heatherkeel"


@pytest.fixture(scope="module")
def environment(tmp_path_factory: pytest.TempPathFactory) -> dict[str, str]:
    """Give the machine's Python without this suite's libraries, and a folder to unpack into."""
    subprocess.run([ROOT / "script" / "build"], check=True)
    interpreter = Path(sys.base_prefix) / "bin"
    unpacked = tmp_path_factory.mktemp("unpacked")
    return {"PATH": f"{interpreter}:{os.environ['PATH']}", "SHIV_ROOT": str(unpacked)}


def run(environment: dict[str, str], *args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([BINARY, *args], env=environment, capture_output=True, text=True)


def test_version_and_check(environment: dict[str, str], tmp_path: Path) -> None:
    assert run(environment, "version").stdout == "heatherkeel 0.1.0\n"
    for user in ("agency", "sheetal"):
        example = ROOT / "examples" / user / "entry.toml"
        checked = run(environment, "check", f"--settings={example}")
        assert (checked.returncode, checked.stderr) == (0, "")
    faulty = tmp_path / "faulty.toml"
    faulty.write_text("[instance]\n", encoding="utf-8")
    checked = run(environment, "check", f"--settings={faulty}")
    assert checked.returncode == 2 and checked.stderr.count(f"{faulty}: ") == 4


def test_every_command_is_in_it(environment: dict[str, str]) -> None:
    overview = run(environment, "--help").stdout
    names = [line.split()[0] for line in overview.splitlines() if line.startswith("  ")]
    assert "entry" in names
    for name in names:
        assert run(environment, name, "--help").returncode == 0


def test_an_entry_process_is_one_process(environment: dict[str, str], tmp_path: Path) -> None:
    # A bundler that unpacks itself into a child leaves a parent behind; a signal or a limit of
    # the platform then reaches the wrong one of the two.
    facts = subprocess.run(
        [sys.executable, ROOT / "script" / "binary-facts", BINARY],
        env=environment | {"TMPDIR": str(tmp_path)},
        capture_output=True,
        text=True,
        check=True,
    )
    assert "processes of one entry: 1\n" in facts.stdout
    assert "exit status after SIGTERM: 0\n" in facts.stdout


def test_the_same_sources_give_the_same_bytes(environment: dict[str, str]) -> None:
    # An operator who builds the same commit can compare what was shipped.
    first = hashlib.sha256(BINARY.read_bytes()).hexdigest()
    (ROOT / "build" / ".built").unlink()
    subprocess.run([ROOT / "script" / "build"], check=True)
    assert hashlib.sha256(BINARY.read_bytes()).hexdigest() == first
