"""Finds the subcommand, parses its flags, and runs it."""

from __future__ import annotations

import logging
import sys

from absl import flags

from heatherkeel.helpers.groups import find_system_error

from . import (
    catalogue,  # noqa: F401
    check,  # noqa: F401
    entry,  # noqa: F401
    explain,  # noqa: F401
    instance,  # noqa: F401
    job,  # noqa: F401
    load,  # noqa: F401
    replay,  # noqa: F401
    standin,  # noqa: F401
    version,  # noqa: F401
)
from .const import EXIT_FAILED, EXIT_OK, EXIT_USAGE
from .registry import COMMANDS, Command

_LOGGER = logging.getLogger(__name__)
_HELP_WORDS = ("--help", "-h", "help")


def main(argv: list[str]) -> int:
    """Run `heatherkeel` with its arguments and return the exit status."""
    if not argv:
        print(_overview(), file=sys.stderr)
        return EXIT_USAGE
    if argv[0] in _HELP_WORDS:
        print(_overview())
        return EXIT_OK
    found = COMMANDS.get(argv[0])
    if found is None:
        kind = "flag" if argv[0].startswith("-") else "subcommand"
        print(f"heatherkeel: unknown {kind} {argv[0]!r}; see heatherkeel --help", file=sys.stderr)
        return EXIT_USAGE
    return _parse_and_run(found, argv[1:])


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
    lines = [f"  {name:12} {item.help.splitlines()[0]}" for name, item in sorted(COMMANDS.items())]
    return "usage: heatherkeel SUBCOMMAND [flags]\n\n" + "\n".join(lines)
