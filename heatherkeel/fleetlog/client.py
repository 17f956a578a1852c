"""HTTP client of the log's platform; it never retries."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar

import httpcore
import msgspec
import trio
from result import Err, Ok, Result

from .errors import PlatformError, PlatformFailure
from .models import (
    Appended,
    AppendRequest,
    InstanceList,
    OperationRequest,
    OperationStatus,
    ReadAnswer,
)

ModelT = TypeVar("ModelT")
_ENCODER = msgspec.json.Encoder()
_STATUS_NOT_MODIFIED = 304
_STATUS_GONE = 410
_STATUS_REQUEST_TIMEOUT = 408
_REFUSED_STATUSES = (429, 503)


class PlatformClient:
    """Client of the platform."""

    def __init__(self, *, address: str, instance: str, zone: str, timeout_ms: int) -> None:
        self.base_url = f"http://{address}"
        self.headers = [("x-instance", instance), ("x-zone", zone)]
        self.timeout_s = timeout_ms / 1000
        self.listed = InstanceList(instances=[])
        self.list_etag = ""
        self.pool = httpcore.AsyncConnectionPool(max_connections=8, retries=0, http2=False)

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.aclose()

    async def async_append(
        self, stream: str, records: list[bytes]
    ) -> Result[Appended, PlatformError]:
        """Append records in order; with an UNKNOWN failure the append may have taken effect."""
        body = _ENCODER.encode(AppendRequest(records=records))
        return await self.async_call("POST", f"/streams/{stream}/records", Appended, body)

    async def async_read(
        self, stream: str, *, offset: int, max_records: int, wait_ms: int
    ) -> Result[ReadAnswer, PlatformError]:
        """Read from an offset, waiting up to `wait_ms` for the first record."""
        path = f"/streams/{stream}/records?from={offset}&max={max_records}&wait_ms={wait_ms}"
        return await self.async_call("GET", path, ReadAnswer, wait_s=wait_ms / 1000)

    async def async_list_instances(self) -> Result[InstanceList, PlatformError]:
        """Read the platform's list of instances with a conditional request.

        Every process polls the list several times a second, so an unchanged list isn't sent again
        (RFC 9110, section 13.1.2).
        """
        known = [("if-none-match", self.list_etag)] if self.list_etag else []
        exchanged = await self._async_exchange("GET", "/instances", headers=known)
        if isinstance(exchanged, Err):
            return exchanged
        response = exchanged.ok_value
        if response.status == _STATUS_NOT_MODIFIED and known:
            return Ok(self.listed)
        decoded = _decode(response, InstanceList)
        if isinstance(decoded, Ok):
            self.listed = decoded.ok_value
            self.list_etag = _find_etag(response)
        return decoded

    async def async_operate(
        self, instance: str, *, operation_id: str, request: OperationRequest
    ) -> Result[OperationStatus, PlatformError]:
        """Request an operation or read its state; a repeat with the same id has no effect."""
        path = f"/instances/{instance}/operations/{operation_id}"
        return await self.async_call("PUT", path, OperationStatus, _ENCODER.encode(request))

    async def async_call(
        self,
        method: str,
        path: str,
        model: type[ModelT],
        body: bytes | None = None,
        wait_s: float = 0.0,
    ) -> Result[ModelT, PlatformError]:
        """Make one call and decode the response as a model."""
        exchanged = await self._async_exchange(method, path, body=body, wait_s=wait_s)
        if isinstance(exchanged, Err):
            return exchanged
        return _decode(exchanged.ok_value, model)

    async def _async_exchange(
        self,
        method: str,
        path: str,
        *,
        body: bytes | None = None,
        wait_s: float = 0.0,
        headers: Sequence[tuple[str, str]] = (),
    ) -> Result[httpcore.Response, PlatformError]:
        try:
            with trio.fail_after(self.timeout_s + wait_s):
                response = await self.pool.request(
                    method, self.base_url + path, headers=[*self.headers, *headers], content=body
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as err:
            return Err(PlatformError(failure=PlatformFailure.NOT_SENT, detail=repr(err)))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as err:
            return Err(PlatformError(failure=PlatformFailure.UNKNOWN, detail=repr(err)))
        except trio.TooSlowError:
            return Err(PlatformError(failure=PlatformFailure.UNKNOWN, detail="timed out"))
        return Ok(response)


def _find_etag(response: httpcore.Response) -> str:
    """Return the response's ETag, or an empty string if there is none."""
    for name, value in response.headers:
        if name.lower() == b"etag":
            return value.decode("latin-1")
    return ""


def _decode(response: httpcore.Response, model: type[ModelT]) -> Result[ModelT, PlatformError]:
    if response.status == _STATUS_GONE:
        return Err(_decode_gone(response))
    if response.status >= 400:
        failure = _failure_of(response.status)
        return Err(PlatformError(failure=failure, detail=f"status {response.status}"))
    try:
        return Ok(msgspec.json.decode(response.content, type=model))
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        return Err(PlatformError(failure=PlatformFailure.UNKNOWN, detail=str(err)))


def _failure_of(status: int) -> PlatformFailure:
    """Return what an error status says about the call.

    A gateway may answer 500, 502 or 504 although the store behind it has stored the append. Only
    the statuses that the platform documents as refusals mean that nothing was done.
    """
    if status in _REFUSED_STATUSES:
        return PlatformFailure.REFUSED
    if status >= 500 or status == _STATUS_REQUEST_TIMEOUT:
        return PlatformFailure.UNKNOWN
    return PlatformFailure.INVALID


def _decode_gone(response: httpcore.Response) -> PlatformError:
    """Decode the oldest retained offset; a 410 from an intermediary doesn't contain it."""
    try:
        oldest = msgspec.json.decode(response.content, type=ReadAnswer).oldest
    except (msgspec.DecodeError, UnicodeDecodeError) as err:
        return PlatformError(failure=PlatformFailure.UNKNOWN, detail=f"status 410: {err}")
    return PlatformError(failure=PlatformFailure.OUT_OF_RETENTION, oldest=oldest)
