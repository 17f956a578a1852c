"""Stand-in for a target: answers requests, counts what it ran, and fails when told to."""

from __future__ import annotations

import hashlib
from collections import Counter

import msgspec
import trio

from heatherkeel.helpers.asgi import (
    ClientGoneError,
    Message,
    Receive,
    Request,
    Send,
    async_respond,
    async_respond_json,
    async_run_lifespan,
    parse_request,
)

MAX_BODY_BYTES = 64 * 1024 * 1024


class TargetFaults(msgspec.Struct, kw_only=True):
    """What is wrong with the target now; `work_ms` is how long a request takes."""

    work_ms: int = 1
    silent: bool = False
    fail: bool = False
    half_answer: bool = False
    refuse: bool = False


class TargetStandin:
    """Runs requests in up to `slots` slots and refuses what is more."""

    def __init__(self, *, instance: str, slots: int) -> None:
        self.instance = instance
        self.slots = slots
        self.faults = TargetFaults()
        self.in_progress = 0
        self.most_in_progress = 0
        self.runs: Counter[str] = Counter()
        self.served = 0

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            return await async_run_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        request = parse_request(scope, receive)
        if request.path.startswith("/standin/"):
            return await self._async_control(request, send)
        if self.in_progress >= self.slots or self.faults.refuse:
            return await async_respond(send, status=503, headers={"heatherkeel-outcome": "not_run"})
        return await self._async_run(request, send)

    async def _async_run(self, request: Request, send: Send) -> None:
        self.in_progress += 1
        self.most_in_progress = max(self.most_in_progress, self.in_progress)
        try:
            body = (await request.async_body(limit_bytes=MAX_BODY_BYTES)).unwrap()
            await self._async_answer(request, send, body)
        except ClientGoneError:
            return
        finally:
            self.in_progress -= 1

    async def _async_answer(self, request: Request, send: Send, body: bytes) -> None:
        request_id = request.headers.get("x-request-id", "")
        self.runs[request_id] += 1
        if self.faults.silent:
            await trio.sleep(3600)
        await trio.sleep(self.faults.work_ms / 1000)
        if self.faults.fail:
            return await async_respond(send, status=500)
        if self.faults.half_answer:
            return await self._async_half_answer(send)
        self.served += 1
        answer = {
            "instance": self.instance,
            "request_id": request_id,
            "target": request.raw_target.decode("latin-1"),
            "body_sha256": hashlib.sha256(body).hexdigest(),
        }
        return await async_respond_json(send, answer)

    async def _async_half_answer(self, send: Send) -> None:
        headers = [(b"content-length", b"1000")]
        await send({"type": "http.response.start", "status": 200, "headers": headers})
        await send({"type": "http.response.body", "body": b"half", "more_body": False})

    async def _async_control(self, request: Request, send: Send) -> None:
        if request.method == "PUT" and request.path == "/standin/faults":
            body = (await request.async_body(limit_bytes=MAX_BODY_BYTES)).unwrap()
            self.faults = msgspec.json.decode(body, type=TargetFaults)
            return await async_respond_json(send, self.faults)
        if request.path == "/standin/counts":
            counts = {
                "served": self.served,
                "in_progress": self.in_progress,
                "most_in_progress": self.most_in_progress,
                "runs": self.runs,
            }
            return await async_respond_json(send, counts)
        return await async_respond(send, status=404)
