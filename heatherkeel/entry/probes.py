"""Asks a target whether it answers."""

from __future__ import annotations

import httpcore
import trio

from .const import HEALTH_PATH, PROBE_TIMEOUT_S


async def async_probe(address: str) -> bool:
    """Say whether the target at `host:port` answers a health probe on a new connection.

    A connection that was open before proves nothing: it can be silent for good while new ones
    work, or still be open at a target that takes no new ones.
    """
    async with httpcore.AsyncConnectionPool(retries=0) as pool:
        try:
            with trio.fail_after(PROBE_TIMEOUT_S):
                response = await pool.request("GET", f"http://{address}{HEALTH_PATH}")
        except (httpcore.NetworkError, httpcore.ProtocolError, trio.TooSlowError):
            return False
    return response.status == 200
