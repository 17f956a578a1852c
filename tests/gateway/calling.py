"""Helpers that call the ASGI application directly, without a server."""

from __future__ import annotations

from typing import Any

from heatherkeel.directory.directory import DirectoryState
from heatherkeel.directory.metrics import ConfigMetrics
from heatherkeel.gateway.app import JobApiApp
from heatherkeel.gateway.exchange import GatewayContext
from heatherkeel.gateway.lookup import Lookup
from heatherkeel.gateway.metrics import GatewayMetrics
from heatherkeel.ownership.partitions import Layout
from heatherkeel.platform.operator import Configuration, Queue
from heatherkeel.platform.store import StoreClient
from heatherkeel.questions.links import QuestionLinks

from .test_lookup import FakeHolderCache

QUEUE = Queue(name="quotes", host="a.example", path_prefix="/q/", service="portal")
JOB_PATH = "/q/00000000000000aa"


def make_app(
    store: StoreClient, links: QuestionLinks, *, accepts_callers: bool = True
) -> JobApiApp:
    """Return an application with one queue in one partition."""
    directory = DirectoryState(
        config=Configuration(version=1, queues=[QUEUE]), layout=Layout(shares={"portal": (0,)})
    )
    metrics = GatewayMetrics()
    context = GatewayContext(
        store=store,
        directory=directory,
        lookup=Lookup(store=store, holders=FakeHolderCache(store=store), links=links),
        metrics=metrics,
        config_metrics=ConfigMetrics(registry=metrics.registry, directory=directory),
        accepts_callers=lambda: accepts_callers,
    )
    return JobApiApp(context=context)


async def async_call(
    app: JobApiApp, method: str, *, deadline_ms: int, body: bytes = b""
) -> dict[str, Any]:
    """Send a request for one job; returns the start message of the response."""
    deadline = str(deadline_ms).encode()
    scope = {
        "type": "http",
        "method": method,
        "path": JOB_PATH,
        "raw_path": JOB_PATH.encode(),
        "query_string": b"",
        "headers": [(b"host", b"a.example"), (b"heatherkeel-deadline-ms", deadline)],
    }
    sent: list[dict[str, Any]] = []

    async def async_receive() -> dict[str, Any]:
        return {"type": "http.request", "body": body}

    async def async_send(message: dict[str, Any]) -> None:
        sent.append(message)

    await app(scope, async_receive, async_send)
    return sent[0]
