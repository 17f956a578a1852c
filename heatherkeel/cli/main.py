"""Finds the subcommand, parses its flags, and runs it."""

from __future__ import annotations

import sys
from typing import Final

from absl import flags

from . import entry, load, standin  # noqa: F401
from .registry import COMMANDS, Command

EXIT_USAGE: Final = 2


def main(argv: list[str]) -> int:
    """Run `heatherkeel` with its arguments and return the exit status."""
    if not argv or argv[0] in ("--help", "help"):
        print(_overview())
        return 0 if argv else EXIT_USAGE
    found = COMMANDS.get(argv[0])
    if found is None:
        print(f"heatherkeel: unknown subcommand {argv[0]!r}; see --help", file=sys.stderr)
        return EXIT_USAGE
    return _run(found, argv[1:])


def _run(found: Command, argv: list[str]) -> int:
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    flags.DEFINE_bool("help", False, "Show this help.", flag_values=values)
    found.define(values)
    try:
        args = values([found.name, *argv])[1:]
    except flags.Error as err:
        print(f"heatherkeel {found.name}: {err}", file=sys.stderr)
        return EXIT_USAGE
    if values.help:
        print(f"usage: heatherkeel {found.name} {found.usage}\n\n{found.help}\n")
        print(values.main_module_help() or values.get_help())
        return 0
    return found.run(values, list(args))


def _overview() -> str:
    lines = [f"  {name:12} {item.help}" for name, item in sorted(COMMANDS.items())]
    return "usage: heatherkeel SUBCOMMAND [flags]\n\n" + "\n".join(lines)
