"""Finds the subcommand, parses its flags, and runs it."""

from __future__ import annotations

import logging
import sys
from importlib import import_module
from typing import Final

from absl import flags

from heatherkeel.helpers.groups import find_system_error

from .const import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from .registry import COMMANDS, Command

_LOGGER = logging.getLogger(__name__)
_HELP_WORDS = ("--help", "-h", "help")
SUBCOMMANDS: Final = (
    "catalogue",
    "check",
    "entry",
    "explain",
    "machines",
    "instance",
    "job",
    "load",
    "replay",
    "soak",
    "standin",
    "version",
)
"""Each is registered by the module of its name.

Only the module of the subcommand that runs is imported. An instance on half a core took a tenth of
the time until its ports were open for modules that it never uses, after each restart.
"""


def main(argv: list[str]) -> int:
    """Run `heatherkeel` with its arguments and return the exit status."""
    if not argv:
        print(_overview(), file=sys.stderr)
        return EXIT_USAGE
    if argv[0] in _HELP_WORDS:
        print(_overview())
        return EXIT_OK
    found = _find(argv[0])
    if found is None:
        kind = "flag" if argv[0].startswith("-") else "subcommand"
        print(f"heatherkeel: unknown {kind} {argv[0]!r}; see heatherkeel --help", file=sys.stderr)
        return EXIT_USAGE
    return _parse_and_run(found, argv[1:])


def _find(name: str) -> Command | None:
    """Return a subcommand, and import the module that registers it."""
    if name in SUBCOMMANDS:
        import_module(f"{__package__}.{name}")
    return COMMANDS.get(name)


def _parse_and_run(found: Command, argv: list[str]) -> int:
    values = flags.FlagValues()  # type: ignore[no-untyped-call]
    values.set_gnu_getopt(True)
    flags.DEFINE_bool("help", False, "Show this help.", short_name="h", flag_values=values)
    found.define(values)
    try:
        args = list(values([found.name, *argv])[1:])
    except flags.Error as err:
        return _refuse(found, str(err))
    if values.help:
        print(f"usage: heatherkeel {found.name} {found.usage}\n\n{found.help}\n")
        print(values.get_help())
        return EXIT_OK
    fault = found.find_fault(values, args)
    if fault is not None:
        return _refuse(found, fault)
    return _run(found, values, args)


def _refuse(found: Command, fault: str) -> int:
    line = " ".join(fault.split())
    print(f"heatherkeel {found.name}: {line}; see heatherkeel {found.name} --help", file=sys.stderr)
    return EXIT_USAGE


def _run(found: Command, values: flags.FlagValues, args: list[str]) -> int:
    try:
        return found.run(values, args)
    except BrokenPipeError:
        raise
    except (OSError, BaseExceptionGroup) as err:
        error = find_system_error(err)
        if error is None:
            # A broken invariant keeps its traceback.
            raise
        return _fail(found, error)


def _fail(found: Command, error: OSError) -> int:
    """Say in one line what the system refused: in the log if it is set up, else plainly."""
    if logging.getLogger().handlers:
        _LOGGER.error("%s", error, extra={"event": "system_error", "command": found.name})
    else:
        print(f"heatherkeel {found.name}: {error}", file=sys.stderr)
    return EXIT_FAILED


def _overview() -> str:
    found = [command for name in SUBCOMMANDS if (command := _find(name)) is not None]
    lines = [f"  {command.name:12} {command.help.splitlines()[0]}" for command in found]
    return "usage: heatherkeel SUBCOMMAND [flags]\n\n" + "\n".join(lines)
