"""The ASGI application on the admin port."""

from __future__ import annotations

import msgspec
from result import Err, Ok

from heatherkeel.catalogue.models import CatalogueEntry, EntryPut
from heatherkeel.core.models import Accepted, Rejected, RejectReason
from heatherkeel.entry.const import ADMIN_WRITE_TIMEOUT_S, MAX_ADMIN_BODY_BYTES
from heatherkeel.entry.node import Node
from heatherkeel.helpers.asgi import (
    Message,
    Receive,
    Request,
    Send,
    async_respond_json,
    async_respond_problem,
    async_run_lifespan,
    parse_request,
)
from heatherkeel.platform.writer import WriteFailure

_STATUS_OF_REASON = {
    RejectReason.STALE_VERSION: 412,
    RejectReason.NOT_FOUND: 404,
    RejectReason.NOT_OWNER: 403,
}


class AdminApp:
    """Reads and edits catalogue entries; shows the status of this instance."""

    def __init__(self, *, node: Node) -> None:
        self.node = node

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            return await async_run_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        return await self._async_route(parse_request(scope, receive), send)

    async def _async_route(self, request: Request, send: Send) -> None:
        match (request.method, request.path.strip("/").split("/")):
            case ("GET", ["catalogue", name]):
                await self._async_get(send, name)
            case ("PUT", ["catalogue", name]):
                await self._async_put(request, send, name)
            case ("GET", ["status"]):
                await self._async_status(send)
            case _:
                await async_respond_problem(
                    send, status=404, kind="no_such_path", title="No such path"
                )

    async def _async_status(self, send: Send) -> None:
        fleet = self.node.state.fleet
        entries = {name: entry.offset_in_force for name, entry in fleet.membership.entries.items()}
        status = {
            "instance": self.node.settings.instance.id,
            "offset_in_force": fleet.next_offset - 1,
            "entry_instances": entries,
        }
        await async_respond_json(send, status)

    async def _async_get(self, send: Send, name: str) -> None:
        stored = self.node.state.fleet.catalogue.entries.get(name)
        if stored is None:
            return await async_respond_problem(
                send, status=404, kind="not_found", title="No such entry", detail=name
            )
        return await async_respond_json(send, stored.entry, headers={"etag": f'"{stored.version}"'})

    async def _async_put(self, request: Request, send: Send, name: str) -> None:
        body = (await request.async_body(limit_bytes=MAX_ADMIN_BODY_BYTES)).unwrap()
        expected = int(request.headers.get("if-match", '"0"').strip('"'))
        entry: CatalogueEntry = msgspec.json.decode(body, type=CatalogueEntry)
        edit = EntryPut(name=name, expected_version=expected, team=entry.owner, entry=entry)
        outcome = await self.node.writer.async_write(edit, timeout_s=ADMIN_WRITE_TIMEOUT_S)
        match outcome:
            case Ok(settled):
                await _async_tell_decision(send, settled.offset, settled.outcome)
            case Err(failure):
                await _async_tell_failure(send, failure)


async def _async_tell_decision(send: Send, offset: int, outcome: Accepted | Rejected) -> None:
    if isinstance(outcome, Accepted):
        headers = {"etag": f'"{outcome.version}"'}
        answer = {"offset": offset, "version": outcome.version}
        return await async_respond_json(send, answer, headers=headers)
    return await async_respond_problem(
        send,
        status=_STATUS_OF_REASON.get(outcome.reason, 422),
        kind=outcome.reason,
        title="The edit was refused",
        detail=outcome.detail,
        extra={"version": outcome.version},
    )


async def _async_tell_failure(send: Send, failure: WriteFailure) -> None:
    detail = (
        "The edit may have been accepted: read the entry before you repeat it."
        if failure is WriteFailure.UNKNOWN
        else "The edit was not accepted."
    )
    await async_respond_problem(
        send,
        status=503,
        kind=failure,
        title="The platform's log did not answer",
        detail=detail,
        headers={"retry-after": "5"},
    )
