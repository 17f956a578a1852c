"""Runs the admin application against an in-memory log."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, Final

import trio
from result import Err, Ok, Result

import heatherkeel.subjects  # noqa: F401
from heatherkeel.admin.app import AdminApp
from heatherkeel.entry.node import Node
from heatherkeel.fleetlog.errors import PlatformError, PlatformFailure
from heatherkeel.fleetlog.models import Appended, ReadAnswer, StoredRecord
from heatherkeel.helpers.asgi import Message
from heatherkeel.settings.models import (
    AdminSettings,
    EntrySettings,
    InstanceSettings,
    PlatformSettings,
    TeamSettings,
)

TOKENS: Final = {"sheetal": "sheetal-token", "agency": "agency-token"}


@dataclass(kw_only=True)
class MemoryLog:
    """In-memory replacement for the platform's client; if set, `failure` fails every append.

    With `lose_answers` an append takes effect before it fails.
    """

    records: list[StoredRecord] = field(default_factory=list)
    failure: PlatformFailure | None = None
    lose_answers: bool = False
    grown: trio.Event = field(default_factory=trio.Event)

    async def async_append(
        self, stream: str, records: list[bytes]
    ) -> Result[Appended, PlatformError]:
        await trio.lowlevel.checkpoint()
        first = len(self.records)
        if self.failure is None or self.lose_answers:
            self.append(*records)
        if self.failure is not None:
            return Err(PlatformError(failure=self.failure))
        return Ok(Appended(first_offset=first, now_ms=1_000))

    def append(self, *records: bytes) -> None:
        for data in records:
            self.records.append(StoredRecord(offset=len(self.records), at_ms=1_000, data=data))
        self.grown.set()
        self.grown = trio.Event()

    async def async_read(
        self, stream: str, *, offset: int, max_records: int, wait_ms: int
    ) -> Result[ReadAnswer, PlatformError]:
        await trio.lowlevel.checkpoint()
        if offset >= len(self.records) and wait_ms:
            await self.grown.wait()
        return Ok(
            ReadAnswer(
                oldest=0, next=len(self.records), now_ms=1_000, records=self.records[offset:]
            )
        )


@dataclass(frozen=True, kw_only=True)
class Response:
    """A response of the application."""

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


@dataclass(kw_only=True)
class Api:
    """Sends ASGI requests to the application."""

    app: AdminApp
    log: MemoryLog

    async def raw(
        self,
        method: str,
        path: str,
        *,
        headers: list[tuple[bytes, bytes]],
        body: bytes = b"",
        ends: bool = True,
    ) -> Response:
        """Send a request with exactly these bytes; without `ends` its body never ends."""
        parts = [body]
        messages: list[Message] = []
        path, _, query = path.partition("?")
        scope = {
            "type": "http",
            "method": method,
            "path": path,
            "raw_path": path.encode(),
            "query_string": query.encode(),
            "headers": headers,
        }

        async def async_receive() -> Message:
            if not parts:
                await trio.sleep_forever()
            return {"type": "http.request", "body": parts.pop(), "more_body": not ends}

        async def async_send(message: Message) -> None:
            messages.append(message)

        await self.app(scope, async_receive, async_send)
        start, end = messages
        answered = {name.decode(): value.decode() for name, value in start["headers"]}
        return Response(status=start["status"], headers=answered, body=end["body"])

    async def call(
        self,
        method: str,
        path: str,
        value: Any = None,
        *,
        token: str | None = TOKENS["sheetal"],
        **headers: str,
    ) -> Response:
        """Send a request with a JSON body; header names are written with underscores."""
        raw = [(name.replace("_", "-").encode(), text.encode()) for name, text in headers.items()]
        if token is not None:
            raw.append((b"authorization", f"Bearer {token}".encode()))
        body = b"" if value is None else json.dumps(value).encode()
        return await self.raw(method, path, headers=raw, body=body)


def settings(*, bind: str = "127.0.0.1:0") -> EntrySettings:
    return EntrySettings(
        instance=InstanceSettings(id="entry-a", zone="a", zones=["a"]),
        platform=PlatformSettings(address="127.0.0.1:1", batch_interval_ms=0),
        admin=AdminSettings(bind=bind),
        teams={name: TeamSettings(token=token) for name, token in TOKENS.items()},
    )


@asynccontextmanager
async def open_api(
    log: MemoryLog | None = None, *, caught_up: bool = True, bind: str = "127.0.0.1:0"
) -> AsyncIterator[Api]:
    """Run a node and its admin application on an in-memory log."""
    log = log or MemoryLog()
    node = Node(settings=settings(bind=bind))
    node.writer.client = node.follower.client = log  # type: ignore[assignment]
    async with trio.open_nursery() as nursery:
        node.writer.start(nursery)
        if caught_up:
            node.follower.start(nursery)
            await node.follower.caught_up.wait()
        yield Api(app=AdminApp(node=node), log=log)
        nursery.cancel_scope.cancel()


def run(scenario: Callable[[Api], Awaitable[None]], log: MemoryLog | None = None) -> None:
    """Run a scenario against a fresh application."""

    async def async_main() -> None:
        async with open_api(log) as api:
            await scenario(api)

    trio.run(async_main)
