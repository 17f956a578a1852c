"""Tests for conditional requests of the instance list."""

from __future__ import annotations

import trio

from heatherkeel.fleetlog.client import PlatformClient
from heatherkeel.fleetlog.models import InstanceList, ListedInstance, ListedState
from heatherkeel.helpers.asgi import Message, Receive, Send
from heatherkeel.http_server.server import HttpServer
from heatherkeel.standins.platform import PlatformStandin


def line(name: str, *, state: ListedState = ListedState.LIVE) -> ListedInstance:
    return ListedInstance(
        id=name,
        role="worker",
        zone="a",
        rack="r",
        address="127.0.0.1:1",
        state=state,
        boot_id="1",
    )


class RecordingStandin(PlatformStandin):
    """Records the status of each response, and can omit the ETag."""

    statuses: list[int]
    with_etag = True

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        async def send_recorded(message: Message) -> None:
            if message["type"] == "http.response.start":
                self.statuses.append(message["status"])
                if not self.with_etag:
                    message["headers"] = [h for h in message["headers"] if h[0] != b"etag"]
            await send(message)

        await super().__call__(scope, receive, send_recorded)


def read_lists(*, with_etag: bool) -> tuple[list[InstanceList], list[int]]:
    """Read the list: empty, with one entry, unchanged, changed, and from a new platform."""

    async def async_main() -> tuple[list[InstanceList], list[int]]:
        standin = RecordingStandin()
        standin.statuses, standin.with_etag = [], with_etag
        server = HttpServer(app=standin, bind="127.0.0.1:0", graceful_timeout_s=0.1)
        read = []
        async with trio.open_nursery() as nursery:
            address = await server.start(nursery)
            client = PlatformClient(address=address, instance="e", zone="a", timeout_ms=20_000)
            read.append((await client.async_list_instances()).unwrap())
            standin.list_instance(line("t1"))
            read.append((await client.async_list_instances()).unwrap())
            read.append((await client.async_list_instances()).unwrap())
            standin.list_instance(line("t1", state=ListedState.LEAVING))
            read.append((await client.async_list_instances()).unwrap())
            standin.started_ms += 1
            read.append((await client.async_list_instances()).unwrap())
            await client.close()
            nursery.cancel_scope.cancel()
        return read, standin.statuses

    return trio.run(async_main)


def test_unchanged_list_is_not_sent_again() -> None:
    read, statuses = read_lists(with_etag=True)
    assert statuses == [200, 200, 304, 200, 200]
    states = [[(item.id, item.state.value) for item in listed.instances] for listed in read]
    assert states == [
        [],
        [("t1", "live")],
        [("t1", "live")],
        [("t1", "leaving")],
        [("t1", "leaving")],
    ]


def test_list_is_sent_in_full_without_etag() -> None:
    read, statuses = read_lists(with_etag=False)
    assert statuses == [200] * 5
    assert [len(listed.instances) for listed in read] == [0, 1, 1, 1, 1]
