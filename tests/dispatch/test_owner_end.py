"""Tests of an owner that releases its partition."""

from __future__ import annotations

from functools import partial
from types import SimpleNamespace
from typing import Any, cast

import pytest
import trio
import trio.testing

from heatherkeel.directory.directory import Directory
from heatherkeel.dispatch.metrics import DispatchMetrics
from heatherkeel.dispatch.owner import PartitionOwner
from heatherkeel.dispatch.worker import Worker
from heatherkeel.gateway.metrics import GatewayMetrics
from heatherkeel.ownership.partition_ownership import PartitionOwnership
from heatherkeel.platform.settings import InstanceSettings, ListenAddresses, StoreSettings
from heatherkeel.platform.store import StoreClient

from .partition import make_entry

REFUSED = "127.0.0.1:1"


def make_owner() -> PartitionOwner:
    """Return an owner whose store and workers refuse all connections."""
    store = StoreClient(address=REFUSED)
    settings = InstanceSettings(
        instance="edge-0",
        ip="127.0.0.1",
        zone="a",
        internal_ports=(0, 0),
        listen=ListenAddresses(callers=REFUSED, readiness=REFUSED),
        store=StoreSettings(address=REFUSED),
    )
    return PartitionOwner(
        partition=0,
        token=1,
        settings=settings,
        store=store,
        directory=Directory(store=store, apply_ms=2000, needs_keys=False),
        ownership=PartitionOwnership(topic="work"),
        metrics=DispatchMetrics(registry=GatewayMetrics().registry),
        on_fenced=lambda: None,
    )


def test_change_of_the_directory_while_an_owner_ends_starts_nothing(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a process that ends since a worker is listed while a partition is released."""
    owner = make_owner()

    async def async_restore() -> None:
        owner.is_restored = True

    async def async_close_slowly() -> None:
        owner.state.workers["w0"] = Worker(id="w0", entry=make_entry())
        for notify in list(owner.directory.subscribers):
            notify()
        owner.handle_event(cast(Any, SimpleNamespace()))

    monkeypatch.setattr(owner, "_async_restore", async_restore)
    monkeypatch.setattr(owner.queries, "close", async_close_slowly)
    monkeypatch.setattr(owner, "handle_event", lambda event: owner.sessions.update())

    async def async_test() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(owner.async_run)
            await trio.testing.wait_all_tasks_blocked(0.02)
            owner.close()

    trio.run(partial(async_test))
    assert not owner.sessions.by_worker
    assert not owner.directory.subscribers
