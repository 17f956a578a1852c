"""`heatherkeel catalogue` against real processes, as an operator types it."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import pytest
from syrupy.assertion import SnapshotAssertion

from .harness import TOKEN, Fleet, Process, wait_for
from .test_edits_under_failure import has_joined

POOL: Final = {"kind": "pool", "owner": "sheetal", "size": 3}
STOCK: Final = {
    "kind": "service",
    "owner": "sheetal",
    "pool": "desk",
    "path_prefix": "/stock",
    "budget": {"min_serving": 2},
}


@dataclass(kw_only=True)
class Operator:
    """Types commands against one entry process, and keeps what was shown."""

    entry: Process
    folder: Path
    token: str = TOKEN
    session: list[str] = field(default_factory=list)

    def type(self, *args: str, admin: str = "") -> subprocess.CompletedProcess[str]:
        """Run one command to its end."""
        command = [sys.executable, "-m", "heatherkeel", "catalogue", *args]
        done = subprocess.run(
            [*command, f"--admin={admin or self.entry.admin}"],
            capture_output=True,
            text=True,
            timeout=120,
            cwd=self.folder,
            env=os.environ | {"HEATHERKEEL_TOKEN": self.token},
            check=False,
        )
        self.session.append(
            f"$ heatherkeel catalogue {' '.join(args)}\n{done.stdout}{done.stderr}"
            f"[{done.returncode}]\n"
        )
        return done

    def write(self, file: str, entries: dict[str, Any]) -> str:
        """Write a file of entries and return its name."""
        (self.folder / file).write_text(json.dumps(entries), encoding="utf-8")
        return file


@pytest.fixture
def operator(fleet: Fleet) -> Operator:
    """Give an operator at one entry process."""
    fleet.start_platform()
    return Operator(entry=fleet.start_entry("e-a", zone="a"), folder=fleet.folder)


def steady(session: str) -> str:
    """Replace what differs from run to run: offsets and ages."""
    session = re.sub(r"offset +\d+", "offset N", session)
    return re.sub(r"\d+\.\d s ago", "T s ago", session)


def test_a_session_of_an_operator(operator: Operator, snapshot: SnapshotAssertion) -> None:
    shop = operator.write("shop.json", {"desk": POOL, "stock": STOCK})
    operator.type("apply", shop)
    operator.type("apply", shop)
    operator.type("list")
    operator.type("get", "stock")
    operator.type("apply", operator.write("night.json", {"desk": POOL | {"size": 4}}))
    wrong = STOCK | {"budget": {"min_serving": 9}, "path_prefix": "/stock/"}
    operator.type("apply", operator.write("wrong.json", {"quotes": wrong, "desk": None}))
    operator.type("apply", operator.write("close.json", {"stock": None, "desk": None}))
    operator.type("get", "stock")
    assert steady("\n".join(operator.session)) == snapshot


def test_exit_statuses(operator: Operator, fleet: Fleet) -> None:
    good = operator.write("good.json", {"desk": POOL})
    assert operator.type("apply").returncode == 2
    assert operator.type("get").returncode == 2
    assert operator.type("list", "desk").returncode == 2
    assert operator.type("drop", "desk").returncode == 2
    assert operator.type("apply", "absent.json").returncode == 2
    (operator.folder / "bad.json").write_text("{", encoding="utf-8")
    assert "bad.json: " in operator.type("apply", "bad.json").stderr
    assert operator.type("apply", good, good).returncode == 2
    assert operator.type("apply", good, "--token-file=absent").returncode == 2
    assert operator.type("list", admin="localhost:1").returncode == 2
    assert operator.type("list", admin="127.0.0.1:1").returncode == 1
    operator.token = ""
    assert operator.type("apply", good).returncode == 2
    operator.token = "wrong-token"
    assert operator.type("apply", good).returncode == 1
    (operator.folder / "token").write_text(f"{TOKEN}\n", encoding="utf-8")
    assert operator.type("apply", good, "--token-file=token").returncode == 0
    operator.token = TOKEN
    fleet.set_faults("platform", refuse_appends=True)
    refused = operator.type("apply", operator.write("more.json", {"dock": POOL}))
    assert refused.returncode == 1
    assert "not accepted" in refused.stderr


def test_an_edit_that_stays_unknown_says_so(fleet: Fleet) -> None:
    # The entry instance is cut off from the platform: nobody can say whether the edit was
    # taken. The command repeats it under one key, then gives up with the key and status 3.
    fleet.start_platform()
    # No lease is renewed meanwhile: the edit is the first append that meets the cut.
    quiet = "[routing]\nlease_ms = 600000\nrenew_interval_ms = 300000\n"
    quiet += "[admin]\nwrite_timeout_ms = 1000\n"
    entry = fleet.start_entry("e-a", zone="a", extra=quiet)
    operator = Operator(entry=entry, folder=fleet.folder, token=TOKEN)
    wait_for(lambda: has_joined(entry), "the first lease is held")
    fleet.set_faults("platform", cut_instances=["e-a"])
    unknown = operator.type(
        "apply", operator.write("desk.json", {"desk": POOL}), "--repeat-for-s=0"
    )
    assert unknown.returncode == 3
    assert "desk: unknown" in unknown.stderr
    assert "sent under Idempotency-Key " in unknown.stderr


def test_status_shows_every_entry_instance(fleet: Fleet) -> None:
    fleet.start_platform()
    entries = [fleet.start_entry(f"e-{zone}", zone=zone) for zone in "ab"]
    accepted = fleet.put_entry(entries[0], "desk", POOL)
    fleet.wait_in_force(entries, json.loads(accepted.content)["offset"])
    shown = Operator(entry=entries[1], folder=fleet.folder).type("status")
    assert shown.returncode == 0
    assert shown.stdout.startswith("e-b in b: offset ")
    assert re.search(r"^e-a +a +\d+ +\d+\.\d s ago +held$", shown.stdout, re.MULTILINE)
