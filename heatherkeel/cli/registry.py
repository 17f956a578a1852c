"""The registry of subcommands."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Final

from absl import flags

Run = Callable[[flags.FlagValues, list[str]], int]
Define = Callable[[flags.FlagValues], None]


@dataclass(frozen=True, kw_only=True, slots=True)
class Command:
    """One subcommand: its flags, and what it does with them; it returns the exit status."""

    name: str
    help: str
    usage: str
    define: Define
    run: Run


COMMANDS: Final[dict[str, Command]] = {}


def command(
    name: str, *, help: str, usage: str = "", define: Define = lambda values: None
) -> Callable[[Run], Run]:
    """Register a subcommand."""

    def register(run: Run) -> Run:
        COMMANDS[name] = Command(name=name, help=help, usage=usage, define=define, run=run)
        return run

    return register
