"""The soak finds a safeguard that was taken out, within five seeds."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

MAX_SEEDS = 5


def play(patch: str, seed: int, folder: Path, flags: list[str]) -> str:
    """Play a seed with patched instances and return what was broken; empty if nothing was."""
    program = f"{sys.executable} -m tests.soak.patched {patch}"
    command = [sys.executable, "-m", "heatherkeel", "soak", f"--seed={seed}", f"--keep={folder}"]
    done = subprocess.run(
        [*command, f"--program={program}", f"--root={Path.cwd()}", *flags],
        capture_output=True,
        text=True,
        check=False,
    )
    assert done.returncode in (0, 1), done.stderr
    lines = [line for line in done.stdout.splitlines() if "broken: " in line]
    assert bool(lines) == (done.returncode == 1)
    return "\n".join(lines)


def test_a_task_given_up_after_its_first_lost_worker_is_found(tmp_path: Path) -> None:
    flags = ["--minutes=0.4", "--faults-per-s=0.3", "--only=cut-worker-at-start,kill-worker"]
    found = (play("give-up-at-once", seed, tmp_path, flags) for seed in range(1, MAX_SEEDS + 1))
    assert any("failed only with its cause" in broken for broken in found)
