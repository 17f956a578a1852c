"""The calls behind `heatherkeel job`."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final
from urllib.parse import quote, urlencode

import httpcore
from absl import flags

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_USAGE: Final = 2
TIMEOUT_S: Final = 30.0
_FIRST_ERROR_STATUS: Final = 400


@dataclass(frozen=True, kw_only=True, slots=True)
class ApiCall:
    """One call to the admin port; `body` None sends none."""

    method: str
    path: str
    body: Any = None


def run_job_command(values: flags.FlagValues, action: str, name: str) -> int:
    """Make the call of one action, print the answer, and return the exit status."""
    try:
        planned = _plan(values, action, name)
    except (OSError, ValueError) as err:
        return _refuse(str(err))
    if isinstance(planned, str):
        return _refuse(planned)
    try:
        response = _send(values, planned)
    except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as err:
        return _fail(f"no answer from {values.admin}: {err!r}; the same call may be repeated")
    text = response.content.decode()
    if response.status >= _FIRST_ERROR_STATUS:
        return _fail(text)
    print(text)
    return EXIT_OK


def _plan(values: flags.FlagValues, action: str, name: str) -> ApiCall | str:
    """Return the call of an action, or what is missing for it."""
    path = f"/jobs/{quote(name, safe=':')}"
    match action:
        case "list":
            query = {"team": values.team, "status": values.status}
            wanted = urlencode({key: value for key, value in query.items() if value})
            return ApiCall(method="GET", path=f"/jobs?{wanted}")
        case "cancel":
            names = [name] if name else _read_lines(values.names_file)
            return ApiCall(method="POST", path="/job-cancellations", body={"jobs": names})
        case _ if not name:
            return f"{action}: missing NAME"
        case "submit":
            spec = json.loads(Path(values.spec).read_text(encoding="utf-8"))
            return ApiCall(method="PUT", path=path, body=spec)
        case "resolve":
            decided = {"resolution": values.resolution, "version": values.version}
            return ApiCall(method="POST", path=f"{path}/resolution", body=decided)
    return ApiCall(method="GET", path=path)


def _read_lines(file: str) -> list[str]:
    lines = Path(file).read_text(encoding="utf-8").splitlines()
    return [line.strip() for line in lines if line.strip()]


def _send(values: flags.FlagValues, planned: ApiCall) -> httpcore.Response:
    headers = [("content-type", "application/json")]
    if values.token_file:
        token = Path(values.token_file).read_text(encoding="utf-8").strip()
        headers.append(("authorization", f"Bearer {token}"))
    content = b"" if planned.body is None else json.dumps(planned.body).encode()
    timeout = dict.fromkeys(("connect", "read", "write", "pool"), TIMEOUT_S)
    with httpcore.ConnectionPool(retries=0) as pool:
        return pool.request(
            planned.method,
            f"http://{values.admin}{planned.path}",
            headers=headers,
            content=content,
            extensions={"timeout": timeout},
        )


def _refuse(fault: str) -> int:
    print(f"heatherkeel job: {fault}; see heatherkeel job --help", file=sys.stderr)
    return EXIT_USAGE


def _fail(text: str) -> int:
    print(text, file=sys.stderr)
    return EXIT_FAILED
