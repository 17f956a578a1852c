"""HTTP client of the administration API, for the command line."""

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
"""Longer than an entry instance waits for the log, so that its error response arrives."""


class CallFailure(StrEnum):
    """Whether a call without a response can have taken effect."""

    NOT_SENT = "not_sent"
    """No connection: the call had no effect."""
    UNKNOWN = "unknown"
    """Sent, but no complete response: the call may have taken effect."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CallError:
    """A call without a response."""

    failure: CallFailure
    detail: str


@dataclass(frozen=True, kw_only=True, slots=True)
class ApiAnswer:
    """A response of the API; `value` is its decoded JSON, or None."""

    status: int
    headers: dict[str, str]
    value: Any


class AdminClient:
    """Client of one admin port; does not retry."""

    def __init__(self, *, address: str, token: str, cafile: str = "") -> None:
        scheme = "https" if cafile else "http"
        self.base_url = f"{scheme}://{address}"
        self.token = token
        context = ssl.create_default_context(cafile=cafile) if cafile else None
        self.pool = httpcore.ConnectionPool(retries=0, ssl_context=context)

    def close(self) -> None:
        """Close the connection pool."""
        self.pool.close()

    def call(
        self, method: str, path: str, *, value: Any = None, headers: dict[str, str] | None = None
    ) -> Result[ApiAnswer, CallError]:
        """Send one request; a value is sent as JSON."""
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
        return Ok(_parse_response(response))


def _parse_response(response: httpcore.Response) -> ApiAnswer:
    headers = {
        name.decode("latin-1").lower(): value.decode("latin-1") for name, value in response.headers
    }
    try:
        value = msgspec.json.decode(response.content)
    except (msgspec.DecodeError, UnicodeDecodeError):
        value = None
    return ApiAnswer(status=response.status, headers=headers, value=value)
