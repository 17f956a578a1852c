"""Stand-in for the platform: an append-only log, a lagging list of instances, operations."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

import msgspec
import trio

from heatherkeel.fleetlog.models import (
    Appended,
    AppendRequest,
    InstanceList,
    ListedInstance,
    ListedState,
    OperationRequest,
    ReadAnswer,
    StoredRecord,
)
from heatherkeel.helpers.asgi import (
    Message,
    Receive,
    Request,
    Send,
    async_respond,
    async_respond_json,
    async_run_lifespan,
    parse_request,
)

from .models import PlatformFaults
from .operations import Operations, async_tell_target
from .task_routes import TaskRoutes

MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclass(kw_only=True)
class Stream:
    """Records in memory, the first of them at offset `oldest`."""

    oldest: int = 0
    records: list[StoredRecord] = field(default_factory=list)
    grown: trio.Event = field(default_factory=trio.Event)

    @property
    def next_offset(self) -> int:
        """Return the offset that the next record gets."""
        return self.oldest + len(self.records)


def log_now_ms() -> int:
    """Return the platform's time in milliseconds."""
    return time.time_ns() // 1_000_000


class PlatformStandin:
    """Everything in memory of one process, and faults that can be set over HTTP."""

    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}
        self.instances: dict[str, ListedInstance] = {}
        self.list_versions: list[tuple[float, InstanceList]] = []
        self.started_ms = log_now_ms()
        self.operations = Operations(
            find_instance=self.instances.__getitem__, list_instance=self.list_instance
        )
        self.faults = PlatformFaults()
        self.appends = 0
        self.last_ms = 0
        self.tasks = TaskRoutes(now_ms=self.now_ms)

    def start(self, nursery: trio.Nursery) -> None:
        """Say where work goes on in the background."""
        self.operations.start(nursery)

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope."""
        if scope["type"] == "lifespan":
            return await async_run_lifespan(receive, send)
        if scope["type"] != "http":
            return None
        request = parse_request(scope, receive)
        if request.path.startswith("/standin/"):
            return await self._async_control(request, send)
        if self._is_cut(request):
            # A cut is silence, not an answer.
            await trio.sleep(3600)
            return None
        if self.faults.down:
            return await async_respond(send, status=503)
        if self.faults.delay_ms:
            await trio.sleep(self.faults.delay_ms / 1000)
        return await self._async_route(request, send)

    def _is_cut(self, request: Request) -> bool:
        if request.headers.get("x-zone") in self.faults.cut_zones:
            return True
        return request.headers.get("x-instance") in self.faults.cut_instances

    async def _async_route(self, request: Request, send: Send) -> None:
        match (request.method, request.path.strip("/").split("/")):
            case ("POST", ["streams", name, "records"]):
                await self._async_append(request, send, name)
            case ("GET", ["streams", name, "records"]):
                await self._async_read(request, send, name)
            case ("GET", ["instances"]):
                await self._async_list(request, send)
            case ("PUT", ["instances", _]):
                await self._async_put_instance(request, send)
            case ("PUT", ["instances", instance, "operations", operation_id]):
                await self._async_operate(request, send, instance, operation_id)
            case ("GET", ["instances", _, "operations", operation_id]):
                await self._async_show_operation(send, operation_id)
            case (_, ["tasks", *parts]):
                await self.tasks.async_route(request, send, parts)
            case _:
                await async_respond(send, status=404)

    async def _async_append(self, request: Request, send: Send, name: str) -> None:
        body = (await request.async_body(limit_bytes=MAX_BODY_BYTES)).unwrap()
        if self.faults.refuse_appends:
            return await async_respond(send, status=503)
        append = msgspec.json.decode(body, type=AppendRequest)
        first_offset = self.append(name, append.records)
        if self.faults.lose_append_answers > 0:
            self.faults.lose_append_answers -= 1
            await trio.sleep(3600)
        answer = Appended(first_offset=first_offset, now_ms=self.now_ms())
        return await async_respond_json(send, answer)

    def append(self, name: str, records: list[bytes]) -> int:
        """Append records and return the offset of the first."""
        stream = self.streams.setdefault(name, Stream())
        self.appends += 1
        first_offset = stream.next_offset
        at_ms = self.now_ms()
        for index, data in enumerate(records):
            stream.records.append(StoredRecord(offset=first_offset + index, at_ms=at_ms, data=data))
        self._forget(stream)
        stream.grown.set()
        stream.grown = trio.Event()
        return first_offset

    def now_ms(self) -> int:
        """Return the log's time, which never falls."""
        self.last_ms = max(self.last_ms, log_now_ms())
        return self.last_ms

    def _forget(self, stream: Stream) -> None:
        surplus = len(stream.records) - self.faults.retain_records
        if self.faults.retain_records and surplus > 0:
            del stream.records[:surplus]
            stream.oldest += surplus

    async def _async_read(self, request: Request, send: Send, name: str) -> None:
        stream = self.streams.setdefault(name, Stream())
        offset = int(request.query.get("from", "0"))
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if offset >= stream.next_offset and wait_s:
            with trio.move_on_after(wait_s):
                await stream.grown.wait()
        answer = self.read(name, offset, int(request.query.get("max", "512")))
        await async_respond_json(send, answer, status=410 if offset < stream.oldest else 200)

    def read(self, name: str, offset: int, max_records: int) -> ReadAnswer:
        """Return retained records from an offset on; none if the offset is no longer kept."""
        stream = self.streams.setdefault(name, Stream())
        start = max(0, offset - stream.oldest)
        records = stream.records[start : start + max_records] if offset >= stream.oldest else []
        return ReadAnswer(
            oldest=stream.oldest, next=stream.next_offset, now_ms=self.now_ms(), records=records
        )

    def list_instance(self, instance: ListedInstance) -> None:
        """Add or change a line of the list; readers see it after the lag."""
        self.instances[instance.id] = instance
        listed = InstanceList(instances=list(self.instances.values()))
        self.list_versions.append((trio.current_time(), listed))

    async def _async_list(self, request: Request, send: Send) -> None:
        """Answer with the list, or that the reader's copy is still the newest."""
        version = self._visible_version()
        headers = {"etag": f'"{self.started_ms}-{version}"'}
        if request.headers.get("if-none-match") == headers["etag"]:
            return await async_respond(send, status=304, headers=headers)
        listed = self.list_versions[version][1] if version >= 0 else InstanceList(instances=[])
        return await async_respond_json(send, listed, headers=headers)

    def _visible_version(self) -> int:
        """Return the number of the newest version that is as old as the lag; -1 for none."""
        seen_before = trio.current_time() - self.faults.list_lag_ms / 1000
        return sum(at <= seen_before for at, _ in self.list_versions) - 1

    async def _async_put_instance(self, request: Request, send: Send) -> None:
        body = (await request.async_body(limit_bytes=MAX_BODY_BYTES)).unwrap()
        listed = msgspec.json.decode(body, type=ListedInstance)
        self.list_instance(listed)
        if listed.state is ListedState.LEAVING:
            await async_tell_target(listed.address, "/standin/leaving", {})
        await async_respond_json(send, {"instance": listed.id})

    async def _async_operate(
        self, request: Request, send: Send, instance: str, operation_id: str
    ) -> None:
        body = (await request.async_body(limit_bytes=MAX_BODY_BYTES)).unwrap()
        if instance not in self.instances:
            return await async_respond(send, status=404)
        operation = self.operations.accept(
            operation_id,
            instance=instance,
            request=msgspec.json.decode(body, type=OperationRequest),
            faults=self.faults,
        )
        if self.faults.lose_operation_answers > 0:
            self.faults.lose_operation_answers -= 1
            await trio.sleep(3600)
        return await async_respond_json(send, operation)

    async def _async_show_operation(self, send: Send, operation_id: str) -> None:
        operation = self.operations.by_id.get(operation_id)
        if operation is None:
            return await async_respond(send, status=404)
        return await async_respond_json(send, operation)

    async def _async_control(self, request: Request, send: Send) -> None:
        if request.method == "PUT" and request.path == "/standin/faults":
            body = (await request.async_body(limit_bytes=MAX_BODY_BYTES)).unwrap()
            self.faults = msgspec.json.decode(body, type=PlatformFaults)
            return await async_respond_json(send, self.faults)
        if request.path.startswith("/standin/tasks/"):
            parts = request.path.split("/")[3:]
            return await self.tasks.async_control(request, send, parts)
        if request.path == "/standin/counts":
            counts = {"appends": self.appends, "operations": self.operations.count()}
            return await async_respond_json(send, counts)
        return await async_respond(send, status=404)
