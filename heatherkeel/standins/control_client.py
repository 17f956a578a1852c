"""Calls of a worker's process to the control address of its platform."""

from __future__ import annotations

import logging
from typing import Final, TypeVar

import httpcore
import msgspec
from result import Err, Ok, Result

from .control_models import Beat, BeatAnswer, BeginAnswer, BeginQuestion, LifeOver

_LOGGER = logging.getLogger(__name__)
CALL_TIMEOUT_S: Final = 0.5
"""Longest wait for an answer, in seconds; then another call is made."""

AnswerT = TypeVar("AnswerT")


class ControlClient:
    """Makes calls on kept connections; a call without an answer gives its fault."""

    def __init__(self, *, address: str) -> None:
        self.address = address
        self.is_unheard = False
        self.http = httpcore.AsyncConnectionPool(retries=0)

    async def close(self) -> None:
        """Close all connections."""
        await self.http.aclose()

    async def async_begin(self, question: BeginQuestion) -> Result[BeginAnswer, str]:
        """Ask whether a life may begin."""
        return await self._async_call("/begin", question, BeginAnswer)

    async def async_beat(self, beat: Beat) -> Result[BeatAnswer, str]:
        """Send a heartbeat."""
        return await self._async_call("/beat", beat, BeatAnswer)

    async def async_end(self, over: LifeOver) -> Result[dict[str, str], str]:
        """Tell that a life is over."""
        return await self._async_call("/end", over, dict[str, str])

    async def _async_call(
        self, path: str, body: msgspec.Struct, kind: type[AnswerT]
    ) -> Result[AnswerT, str]:
        """Make one call, and log when calls begin to fail and when they succeed again."""
        answer = await self._async_try(path, body, kind)
        match answer:
            case Err(fault) if not self.is_unheard:
                _LOGGER.warning("%s", fault, extra={"event": "control_unheard", "path": path})
            case Ok(_) if self.is_unheard:
                _LOGGER.info("heard again", extra={"event": "control_heard", "path": path})
        self.is_unheard = isinstance(answer, Err)
        return answer

    async def _async_try(
        self, path: str, body: msgspec.Struct, kind: type[AnswerT]
    ) -> Result[AnswerT, str]:
        timeout = dict.fromkeys(("connect", "read", "write", "pool"), CALL_TIMEOUT_S)
        try:
            response = await self.http.request(
                "POST",
                f"http://{self.address}{path}",
                content=msgspec.json.encode(body),
                extensions={"timeout": timeout},
            )
        except (
            httpcore.NetworkError,
            httpcore.ProtocolError,
            httpcore.TimeoutException,
        ) as err:
            return Err(type(err).__name__)
        if response.status != 200:
            return Err(f"{path} got {response.status}: {response.content.decode(errors='replace')}")
        try:
            return Ok(msgspec.json.decode(response.content, type=kind))
        except msgspec.DecodeError as err:
            return Err(f"{path}: {err}")
