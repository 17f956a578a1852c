"""HTTP calls to one address, each with a deadline and without retries."""

from __future__ import annotations

import socket
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

import httpcore
import trio
from result import Err, Ok, Result

from .const import CONNECT_TIMEOUT_S, KEEP_ALIVE_S
from .errors import CallError, Failure

_TIMEOUTS = {"connect": CONNECT_TIMEOUT_S}

_RESET_ON_CLOSE: Final = (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
"""Resets a connection when it is closed, which drops its unsent bytes.

After a plain close the kernel continues to send the unsent bytes, so an order that timed out in a
network partition could reach its machine later than the orders of the next owner.
"""
_ACKNOWLEDGEMENT_TIMEOUT: Final = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000)
"""Closes a connection whose bytes have not been acknowledged for 2,000 ms."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """An HTTP response with any status."""

    status: int
    body: bytes


class HttpCaller:
    """A small pool of persistent connections to one address.

    Each address has its own pool, because httpcore scans all connections of a pool on each call.
    """

    def __init__(self, *, address: str, connections: int) -> None:
        self.address = address
        self.base_url = f"http://{address}"
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=connections,
            keepalive_expiry=KEEP_ALIVE_S,
            retries=0,
            http2=False,
            socket_options=[_RESET_ON_CLOSE, _ACKNOWLEDGEMENT_TIMEOUT],
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.aclose()

    async def async_call(
        self,
        method: str,
        target: str,
        *,
        body: bytes | None = None,
        headers: Sequence[tuple[str, str]] = (),
        timeout_s: float,
    ) -> Result[Reply, CallError]:
        """Make one call; errors are REFUSED (never sent) or UNKNOWN (sent, not answered).

        A call that times out closes its connection, and the next call opens a new one.
        """
        sent = [("content-type", "application/json"), *headers] if body is not None else headers
        try:
            with trio.fail_after(timeout_s):
                response = await self.pool.request(
                    method,
                    self.base_url + target,
                    headers=list(sent),
                    content=body,
                    extensions={"timeout": _TIMEOUTS},
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as err:
            return Err(CallError(failure=Failure.REFUSED, detail=type(err).__name__))
        except (httpcore.NetworkError, httpcore.ProtocolError, httpcore.TimeoutException) as err:
            return Err(CallError(failure=Failure.UNKNOWN, detail=type(err).__name__))
        except trio.TooSlowError:
            return Err(CallError(failure=Failure.UNKNOWN, detail="no answer in time"))
        return Ok(Reply(status=response.status, body=response.content))
