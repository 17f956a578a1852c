"""Stand-in for a target: answers requests, counts what it ran, and fails when told to."""

from __future__ import annotations

import hashlib
import math
from collections import Counter
from typing import Any

import msgspec
import trio

from heatherkeel.entry.const import HEALTH_PATH
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

from .models import Reboot, TargetFaults

MAX_BODY_BYTES = 64 * 1024 * 1024


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
        self.boot_id = "1"
        self.cut = 0
        self.after_leaving = 0
        self.refused = 0
        self.leaving_since_s = math.inf
        self.reboot: Reboot | None = None
        self.reboot_asked = trio.Event()

    def go_away(self) -> Reboot:
        """Count what the end of this boot cuts, and return how it comes back."""
        assert self.reboot is not None
        self.cut += self.in_progress
        return self.reboot

    def come_back(self, reboot: Reboot) -> None:
        """Begin a new boot."""
        self.boot_id = reboot.boot_id
        self.faults = msgspec.structs.replace(self.faults, fail=reboot.failing)
        self.leaving_since_s = math.inf
        self.reboot_asked = trio.Event()

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            return await async_run_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        request = parse_request(scope, receive)
        if request.path.startswith("/standin/"):
            return await self._async_control(request, send)
        if request.path == HEALTH_PATH:
            return await async_respond(send, status=503 if self.faults.fail else 200)
        self._note_late(trio.current_time())
        if self._refuses():
            return await self._async_refuse(send)
        return await self._async_run(request, send)

    def _note_late(self, now_s: float) -> None:
        """Count new work that comes long after this target was listed as leaving."""
        if now_s > self.leaving_since_s + self.faults.leaving_grace_ms / 1000:
            self.after_leaving += 1

    def _refuses(self) -> bool:
        leaves = self.faults.refuse_when_leaving and self.leaving_since_s < math.inf
        return self.in_progress >= self.slots or self.faults.refuse or leaves

    async def _async_refuse(self, send: Send) -> None:
        self.refused += 1
        headers = {"heatherkeel-outcome": "not_run"}
        if self.leaving_since_s < math.inf:
            headers["connection"] = "close"
        await async_respond(send, status=503, headers=headers)

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
        match (request.method, request.path):
            case ("PUT", "/standin/faults"):
                body = (await request.async_body(limit_bytes=MAX_BODY_BYTES)).unwrap()
                self.faults = msgspec.json.decode(body, type=TargetFaults)
                await async_respond_json(send, self.faults)
            case ("PUT", "/standin/leaving"):
                self.leaving_since_s = min(self.leaving_since_s, trio.current_time())
                await async_respond_json(send, {"leaving": True})
            case ("PUT", "/standin/reboot"):
                body = (await request.async_body(limit_bytes=MAX_BODY_BYTES)).unwrap()
                self.reboot = msgspec.json.decode(body, type=Reboot)
                await async_respond_json(send, self.reboot)
                self.reboot_asked.set()
            case ("GET", "/standin/counts"):
                await async_respond_json(send, self._counts())
            case _:
                await async_respond(send, status=404)

    def _counts(self) -> dict[str, Any]:
        return {
            "served": self.served,
            "in_progress": self.in_progress,
            "most_in_progress": self.most_in_progress,
            "runs": self.runs,
            "boot_id": self.boot_id,
            "cut": self.cut,
            "after_leaving": self.after_leaving,
            "refused": self.refused,
        }
