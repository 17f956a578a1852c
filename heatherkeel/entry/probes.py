"""Health probes of targets."""

from __future__ import annotations

import httpcore
import trio

from .const import HEALTH_PATH, PROBE_TIMEOUT_S


async def async_probe(address: str) -> bool:
    """Return whether the target at `host:port` passes a health check on a new connection.

    An existing connection may have been dropped while new ones work, or may still be open at a
    target that accepts no new ones.
    """
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        try:
            with trio.fail_after(PROBE_TIMEOUT_S):
                response = await pool.request("GET", f"http://{address}{HEALTH_PATH}")
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            return False
    return response.status == 200
