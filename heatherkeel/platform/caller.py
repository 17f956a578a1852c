"""HTTP calls to one address, each with a deadline; none is ever repeated here."""

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
"""A connection is closed when its call's time is up, and then it is reset.

A plain close leaves unsent bytes with the kernel, which goes on sending them: an order given up
in a network partition reached its machine two seconds after the partition had healed, behind the
orders of the next owner. A reset drops them.
"""
_GIVE_UP_SENDING: Final = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 2000)
"""A connection whose bytes nobody has acknowledged for 2,000 ms is dead; none of our calls waits
longer for its first byte to arrive."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """An answer of any status."""

    status: int
    body: bytes


class HttpCaller:
    """A few kept connections to one address.

    Each address has a pool of its own: the library looks at every connection of a pool before
    each call, which with all workers in one pool took more time than the call itself.
    """

    def __init__(self, *, address: str, connections: int) -> None:
        self.address = address
        self.base_url = f"http://{address}"
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=connections,
            keepalive_expiry=KEEP_ALIVE_S,
            retries=0,
            http2=False,
            socket_options=[_RESET_ON_CLOSE, _GIVE_UP_SENDING],
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

        A connection that has gone silent is closed with the call that met it, and the next
        call opens a new one.
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
