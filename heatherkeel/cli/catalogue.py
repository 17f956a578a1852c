"""`heatherkeel catalogue`: list, read and apply catalogue entries, and show the status."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

from absl import flags

from heatherkeel.admin.const import REPEAT_FOR_S

from .admin_port import TOKEN_VARIABLE, UsageError, define_admin, read_token
from .const import EXIT_FAILED, EXIT_OK, EXIT_UNKNOWN, EXIT_USAGE
from .registry import command

if TYPE_CHECKING:
    from heatherkeel.admin.applying import ApplyResult
    from heatherkeel.admin.client import AdminClient, ApiAnswer

LIST, GET, APPLY, STATUS = "list", "get", "apply", "status"


def _define(values: flags.FlagValues) -> None:
    define_admin(values)
    flags.DEFINE_float(
        "repeat-for-s",
        REPEAT_FOR_S,
        "How long an edit of unknown outcome is repeated, in seconds.",
        lower_bound=0.0,
        upper_bound=3600.0,
        flag_values=values,
    )


@command(
    "catalogue",
    help="List, read and apply catalogue entries, and show the status.\n\n"
    "FILE holds a JSON object from entry names to entries, applied in the order of the file;\n"
    "null deletes an entry. Exit status: 0 done, 1 refused or not accepted, 2 wrong usage,\n"
    "3 unknown outcome.",
    usage="list | get NAME | apply FILE... | status  --admin=HOST:PORT [flags]",
    define=_define,
    required=("admin",),
    arguments=((LIST, GET, APPLY, STATUS), ()),
    optional_from=1,
    repeats_last=True,
)
def run_catalogue(values: flags.FlagValues, args: list[str]) -> int:
    """Run one of the catalogue's actions."""
    try:
        return _run(values, args[0], args[1:])
    except UsageError as err:
        print(f"heatherkeel catalogue: {err}", file=sys.stderr)
        return EXIT_USAGE


def _run(values: flags.FlagValues, action: str, args: list[str]) -> int:
    from heatherkeel.admin.client import AdminClient

    _check_arguments(action, args)
    entries = _read_files(args) if action == APPLY else {}
    token = read_token(values["token-file"].value)
    if action == APPLY and not token:
        raise UsageError(f"a token is needed: --token-file or {TOKEN_VARIABLE}")
    client = AdminClient(address=values.admin, token=token, cafile=values.cafile or "")
    try:
        if action == APPLY:
            return _apply(client, entries, float(values["repeat-for-s"].value or 0))
        return _show(client, action, args)
    finally:
        client.close()


def _check_arguments(action: str, args: list[str]) -> None:
    if action == GET and len(args) != 1:
        raise UsageError("get takes one NAME")
    if action == APPLY and not args:
        raise UsageError("apply takes at least one FILE")
    if action in (LIST, STATUS) and args:
        raise UsageError(f"{action} takes no argument, got {args[0]!r}")


def _read_files(files: list[str]) -> dict[str, Any]:
    """Return the entries of all files in their order; a name may stand in one file only."""
    import msgspec

    entries: dict[str, Any] = {}
    for file in files:
        try:
            document = msgspec.json.decode(Path(file).read_bytes(), type=dict[str, Any])
        except (OSError, ValueError, RecursionError) as err:
            raise UsageError(f"{file}: {err}") from err
        twice = sorted(set(document) & set(entries))
        if twice:
            raise UsageError(f"{file}: {twice[0]} stands in an earlier file too")
        entries |= document
    return entries


def _apply(client: AdminClient, entries: dict[str, Any], repeat_for_s: float) -> int:
    from heatherkeel.admin.applying import SUCCESSFUL_OUTCOMES, Applier, ApplyOutcome

    applier = Applier(client=client, repeat_for_s=repeat_for_s)
    names = list(entries)
    for index, name in enumerate(names):
        applied = applier.apply(name, entries[name])
        _print_applied(applied, done=applied.outcome in SUCCESSFUL_OUTCOMES)
        if applied.outcome not in SUCCESSFUL_OUTCOMES:
            # Later entries may need this one, as a service needs its pool.
            if names[index + 1 :]:
                print(f"not sent: {', '.join(names[index + 1 :])}", file=sys.stderr)
            return EXIT_UNKNOWN if applied.outcome is ApplyOutcome.UNKNOWN else EXIT_FAILED
    return EXIT_OK


def _print_applied(applied: ApplyResult, *, done: bool) -> None:
    stream = sys.stdout if done else sys.stderr
    where = f", version {applied.version} at offset {applied.offset}" if applied.version else ""
    print(f"{applied.name}: {applied.outcome}{where}", file=stream)
    for line in applied.lines:
        print(f"  {line}", file=stream)


def _show(client: AdminClient, action: str, args: list[str]) -> int:
    from result import Err

    from heatherkeel.admin.applying import problem_lines

    path = {LIST: "/catalogue", STATUS: "/status"}.get(action) or f"/catalogue/{args[0]}"
    called = client.call("GET", path)
    if isinstance(called, Err):
        print(f"heatherkeel catalogue: {called.err_value.detail}", file=sys.stderr)
        return EXIT_FAILED
    if called.ok_value.status != 200:
        print(*problem_lines(called.ok_value), sep="\n", file=sys.stderr)
        return EXIT_FAILED
    print(*_lines(action, called.ok_value), sep="\n")
    return EXIT_OK


def _lines(action: str, answer: ApiAnswer) -> list[str]:
    import msgspec

    from heatherkeel.admin.formatting import format_entries, format_status

    if action == LIST:
        return format_entries(answer.value)
    if action == STATUS:
        return format_status(answer.value)
    return [msgspec.json.format(msgspec.json.encode(answer.value), indent=2).decode()]
