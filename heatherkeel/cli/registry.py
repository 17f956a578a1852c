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
    """One subcommand: its flags, and what it does with them; it returns the exit status.

    `required` names the flags that have to be given. `arguments` names the positional
    arguments, each with the values that it may have; an empty tuple takes any text. Those from
    `optional_from` on may be left out; with `repeats_last` the last one may come many times.
    """

    name: str
    help: str
    usage: str
    define: Define
    run: Run
    required: tuple[str, ...] = ()
    arguments: tuple[tuple[str, ...], ...] = ()
    optional_from: int | None = None
    repeats_last: bool = False

    def find_fault(self, values: flags.FlagValues, args: list[str]) -> str | None:
        """Return what is wrong with the parsed command line, if anything is."""
        missing = [name for name in self.required if values[name].value in (None, "")]
        if missing:
            return f"missing flag --{missing[0]}"
        fewest = len(self.arguments) if self.optional_from is None else self.optional_from
        if len(args) < fewest:
            return "missing argument"
        if len(args) > len(self.arguments) and not self.repeats_last:
            return f"surplus argument {args[len(self.arguments)]!r}"
        return self._find_wrong_value(args)

    def _find_wrong_value(self, args: list[str]) -> str | None:
        for given, allowed in zip(args, self.arguments, strict=False):
            if allowed and given not in allowed:
                return f"unknown argument {given!r}; one of: {', '.join(allowed)}"
        return None


COMMANDS: Final[dict[str, Command]] = {}


def command(
    name: str,
    *,
    help: str,
    usage: str = "",
    define: Define = lambda values: None,
    required: tuple[str, ...] = (),
    arguments: tuple[tuple[str, ...], ...] = (),
    optional_from: int | None = None,
    repeats_last: bool = False,
) -> Callable[[Run], Run]:
    """Register a subcommand; a module that does so imports what is large only when it runs."""

    def register(run: Run) -> Run:
        COMMANDS[name] = Command(
            name=name,
            help=help,
            usage=usage,
            define=define,
            run=run,
            required=required,
            arguments=arguments,
            optional_from=optional_from,
            repeats_last=repeats_last,
        )
        return run

    return register
