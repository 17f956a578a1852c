"""Calls the administration API over HTTP, for the command line."""

from __future__ import annotations

import ssl
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, Final

import httpcore
import msgspec
from result import Err, Ok, Result

from heatherkeel.helpers.asgi import JSON_TYPE

CALL_TIMEOUT_S: Final = 30.0
"""Longer than an entry instance waits for the log, so that its own words come through."""


class CallFailure(StrEnum):
    """What is known about a call without an answer."""

    NOT_SENT = "not_sent"
    """No connection: the call surely had no effect."""
    UNKNOWN = "unknown"
    """Sent, but no whole answer: it may have taken effect."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallError:
    """A call without an answer."""

    failure: CallFailure
    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ApiAnswer:
    """An answer of the API; `value` is its decoded JSON, None if it has none."""

    status: int
    headers: dict[str, str]
    value: Any


class AdminClient:
    """One operator's way to one admin port; repeats nothing by itself."""

    def __init__(self, *, address: str, token: str, cafile: str = "") -> None:
        scheme = "https" if cafile else "http"
        self.base_url = f"{scheme}://{address}"
        self.token = token
        context = ssl.create_default_context(cafile=cafile) if cafile else None
        self.pool = httpcore.ConnectionPool(retries=0, ssl_context=context)

    def close(self) -> None:
        """Close the connection."""
        self.pool.close()

    def call(
        self, method: str, path: str, *, value: Any = None, headers: dict[str, str] | None = None
    ) -> Result[ApiAnswer, CallError]:
        """Make one call; a value is sent as JSON."""
        sent = {"content-type": JSON_TYPE, "accept-encoding": "identity", **(headers or {})}
        if self.token:
            sent["authorization"] = f"Bearer {self.token}"
        body = b"" if value is None else msgspec.json.encode(value)
        timeouts = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_S)
        try:
            response = self.pool.request(
                method,
                self.base_url + path,
                headers=list(sent.items()),
                content=body,
                extensions={"timeout": timeouts},
            )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as err:
            return Err(CallError(failure=CallFailure.NOT_SENT, detail=str(err) or repr(err)))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as err:
            return Err(CallError(failure=CallFailure.UNKNOWN, detail=str(err) or repr(err)))
        return Ok(_read(response))


def _read(response: httpcore.Response) -> ApiAnswer:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in response.headers
    }
    try:
        value = msgspec.json.decode(response.content)
    except (msgspec.DecodeError, UnicodeDecodeError):
        value = None
    return ApiAnswer(status=response.status, headers=headers, value=value)
