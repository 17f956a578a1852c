"""Sends one request and says what became of it; never sends it again."""

from __future__ import annotations

import httpcore
import trio

from . import judge
from .models import Outcome, PlannedRequest, Promise, Reply


class LoadClient:
    """One connection pool for all entry instances, without limits or retries of its own."""

    def __init__(self, *, timeout_ms: int) -> None:
        self.timeout_s = timeout_ms / 1000
        self.pool = httpcore.AsyncConnectionPool(
            max_connections=None, max_keepalive_connections=None, keepalive_expiry=30, retries=0
        )

    async def close(self) -> None:
        """Close all connections."""
        await self.pool.aclose()

    async def async_send(self, request: PlannedRequest, *, intended_s: float) -> Reply:
        """Send a request; latency counts from `intended_s` on the loop's clock.

        Counted from the real send, a generator that falls behind would hide the wait that
        callers had (coordinated omission).
        """
        late_us = _microseconds_since(intended_s)
        outcome, reason, response = await self._async_exchange(request)
        latency_us = _microseconds_since(intended_s)
        broken: tuple[Promise, ...] = ()
        if response is not None and outcome is Outcome.RAN:
            broken = judge.check_own_answer(request, response.status, response.content)
        return Reply(
            request=request,
            outcome=outcome,
            reason=reason,
            latency_us=latency_us,
            late_us=late_us,
            broken=broken,
        )

    async def _async_exchange(
        self, request: PlannedRequest
    ) -> tuple[Outcome, str, httpcore.Response | None]:
        try:
            with trio.fail_after(self.timeout_s):
                response = await self.pool.request(
                    request.method,
                    f"http://{request.entry}{request.path}",
                    headers=list(request.headers),
                    content=request.body,
                )
        except (httpcore.ConnectError, httpcore.ConnectTimeout) as err:
            return Outcome.NOT_CONNECTED, type(err).__name__, None
        except (httpcore.NetworkError, httpcore.ProtocolError) as err:
            return Outcome.NO_ANSWER, type(err).__name__, None
        except trio.TooSlowError:
            return Outcome.TIMED_OUT, "client_timeout", None
        outcome = judge.find_outcome(response.headers)
        reason = judge.find_reason(response.status, response.headers, response.content)
        return outcome, reason, response


def _microseconds_since(start_s: float) -> int:
    return max(0, int((trio.current_time() - start_s) * 1_000_000))
