"""HTTP calls to one address, each with a deadline and without retries."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import h11
import trio
from result import Err, Ok, Result

from .connections import ConnectionLostError, ConnectionPool, NoConnectionError, make_request
from .errors import CallError, Failure
from .transfer import Transfer, begin_transfer


@dataclass(frozen=True, kw_only=True, slots=True)
class Reply:
    """An HTTP response with any status."""

    status: int
    body: bytes


class HttpCaller:
    """A small pool of persistent connections to one address."""

    def __init__(self, *, address: str, connections: int) -> None:
        self.address = address
        self.pool = ConnectionPool(address=address, connections=connections)

    async def close(self) -> None:
        """Close all connections."""
        self.pool.close()

    async def async_call(
        self,
        method: str,
        target: str,
        *,
        body: bytes | None = None,
        headers: Sequence[tuple[str, str]] = (),
        timeout_s: float,
        transfer: Transfer | None = None,
    ) -> Result[Reply, CallError]:
        """Make one call; errors are REFUSED (never sent) or UNKNOWN (sent, not answered).

        A call that times out closes its connection, and the next call opens a new one. A response
        whose bytes keep arriving is awaited beyond `timeout_s`: on a small link, a large one takes
        longer, and would never arrive however often it is requested.
        """
        transfer = transfer or begin_transfer()
        transfer.is_complete = False
        sent = [("content-type", "application/json"), *headers] if body is not None else headers
        try:
            request = make_request(method, target, host=self.address, headers=sent, body=body)
            with trio.move_on_after(timeout_s) as scope:
                transfer.listeners.append(lambda: _extend(scope, transfer))
                response = await self.pool.async_request(request, body, transfer)
                return Ok(Reply(status=response.status, body=response.body))
        except NoConnectionError as err:
            return Err(CallError(failure=Failure.REFUSED, detail=str(err)))
        except (ConnectionLostError, h11.ProtocolError) as err:
            return Err(CallError(failure=Failure.UNKNOWN, detail=str(err) or type(err).__name__))
        finally:
            transfer.is_complete = True
        return Err(CallError(failure=Failure.UNKNOWN, detail="no answer in time", is_timeout=True))


def _extend(scope: trio.CancelScope, transfer: Transfer) -> None:
    scope.deadline = max(scope.deadline, transfer.deadline_s())
