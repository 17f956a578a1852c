"""`heatherkeel job`: submit, look up, list, cancel and resolve jobs."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote, urlencode

from absl import flags

from .admin_port import UsageError, define_admin, read_token
from .const import EXIT_FAILED, EXIT_OK, EXIT_UNKNOWN, EXIT_USAGE
from .registry import command

ACTIONS: Final = ("submit", "get", "list", "cancel", "resolve")
_FIRST_ERROR_STATUS: Final = 400
_UNKNOWN_TYPE: Final = "urn:heatherkeel:problem:unknown"


@dataclass(frozen=True, kw_only=True, slots=True)
class _ApiCall:
    """One call to the admin port; `value` None sends no body."""

    method: str
    path: str
    value: Any = None


def _define(values: flags.FlagValues) -> None:
    define_admin(values)
    text = flags.DEFINE_string
    text("spec", "", "JSON file of the job, for submit.", flag_values=values)
    text("names-file", "", "File with a name on each line, for cancel.", flag_values=values)
    text("team", "", "Only jobs of this team, for list.", flag_values=values)
    text("status", "", "Only jobs in this status, for list.", flag_values=values)
    flags.DEFINE_enum(
        "resolution",
        "give_up",
        ["run_again", "give_up"],
        "What to do with an unknown job, for resolve.",
        flag_values=values,
    )
    flags.DEFINE_integer("version", 0, "Version that was seen, for resolve.", flag_values=values)


@command(
    "job",
    help="Submit, look up, list, cancel or resolve jobs over the admin port.\n\n"
    "Exit status: 0 done, 1 refused or not accepted, 2 wrong usage, 3 unknown outcome:\n"
    "repeat the same command, it takes effect once.",
    usage="submit|get|list|cancel|resolve [NAME] --admin=HOST:PORT [flags]",
    define=_define,
    required=("admin",),
    arguments=(ACTIONS, ()),
    optional_from=1,
)
def run_job(values: flags.FlagValues, args: list[str]) -> int:
    """Make one call and print its answer."""
    try:
        planned = _plan(values, args[0], args[1] if len(args) > 1 else "")
        token = read_token(values["token-file"].value)
    except UsageError as err:
        print(f"heatherkeel job: {err}", file=sys.stderr)
        return EXIT_USAGE
    return _call(values, token, planned)


def _plan(values: flags.FlagValues, action: str, name: str) -> _ApiCall:
    """Return the call of an action; raises `UsageError` if something is missing for it."""
    if action == "list":
        query = {"team": values.team, "status": values.status}
        wanted = urlencode({key: value for key, value in query.items() if value})
        return _ApiCall(method="GET", path=f"/jobs?{wanted}")
    if action == "cancel":
        names = [name] if name else _read(str(values["names-file"].value)).split()
        return _ApiCall(method="POST", path="/job-cancellations", value={"jobs": names})
    if not name:
        raise UsageError(f"{action} takes one NAME")
    path = f"/jobs/{quote(name, safe=':')}"
    if action == "submit":
        return _ApiCall(method="PUT", path=path, value=_read_json(values.spec))
    if action == "resolve":
        decided = {"resolution": values.resolution, "version": values.version}
        return _ApiCall(method="POST", path=f"{path}/resolution", value=decided)
    return _ApiCall(method="GET", path=path)


def _read(file: str) -> str:
    try:
        return Path(file).read_text(encoding="utf-8")
    except (OSError, ValueError) as err:
        raise UsageError(f"{file or 'no file is named'}: {err}") from err


def _read_json(file: str) -> Any:
    try:
        return json.loads(_read(file))
    except (ValueError, RecursionError) as err:
        raise UsageError(f"{file}: {err}") from err


def _call(values: flags.FlagValues, token: str, planned: _ApiCall) -> int:
    from result import Err

    from heatherkeel.admin.applying import problem_lines
    from heatherkeel.admin.client import AdminClient, CallFailure

    client = AdminClient(address=values.admin, token=token, cafile=values.cafile or "")
    try:
        called = client.call(planned.method, planned.path, value=planned.value)
    finally:
        client.close()
    if isinstance(called, Err):
        print(f"heatherkeel job: {called.err_value.detail}", file=sys.stderr)
        unknown = called.err_value.failure is CallFailure.UNKNOWN
        return EXIT_UNKNOWN if unknown else EXIT_FAILED
    answer = called.ok_value
    if answer.status < _FIRST_ERROR_STATUS:
        print(json.dumps(answer.value, indent=2))
        return EXIT_OK
    print(*problem_lines(answer), sep="\n", file=sys.stderr)
    kind = answer.value.get("type", "") if isinstance(answer.value, dict) else ""
    return EXIT_UNKNOWN if kind == _UNKNOWN_TYPE else EXIT_FAILED
