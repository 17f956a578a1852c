"""Readiness as the platform's probe sees it."""

from __future__ import annotations

from typing import Any

import trio

from heatherkeel.directory.const import DEFAULT_APPLY_MS
from heatherkeel.directory.directory import DirectoryState
from heatherkeel.gateway.metrics import GatewayMetrics
from heatherkeel.helpers.clock import monotonic_ms
from heatherkeel.instance.status import STORE_ANSWER_MAX_AGE_MS, StatusApp
from heatherkeel.ownership.partitions import Layout
from heatherkeel.platform.operator import Configuration

from .site import open_site


def make_status(*, store_answered_ms: int, config_age_ms: int = 0) -> StatusApp:
    """Return the status of a process that has a configuration."""
    directory = DirectoryState(
        config=Configuration(version=1), layout=Layout(shares={"portal": (0,)})
    )
    directory.operator_records.confirm(end=1, as_of_ms=monotonic_ms() - config_age_ms)
    return StatusApp(
        directory=directory,
        metrics=GatewayMetrics(),
        store_answered_ms=lambda: store_answered_ms,
    )


def test_process_without_the_store_is_not_ready() -> None:
    """Guards against routing callers to a zone that is cut off from the store."""
    assert make_status(store_answered_ms=monotonic_ms()).is_ready()
    assert not make_status(store_answered_ms=monotonic_ms() - STORE_ANSWER_MAX_AGE_MS).is_ready()


def test_process_with_an_old_configuration_is_not_ready() -> None:
    """Guards against taking the store's answer to any call for the age of the configuration."""
    status = make_status(store_answered_ms=monotonic_ms(), config_age_ms=DEFAULT_APPLY_MS)
    assert not status.is_ready()


def test_stopping_process_is_not_ready() -> None:
    status = make_status(store_answered_ms=monotonic_ms())
    status.is_stopping = True
    assert not status.is_ready()


def test_probe_and_metrics_are_answered_over_http() -> None:
    async def async_test() -> None:
        async with open_site(processes=1) as site:
            address = site.processes[0].probes.address

            async def async_get(path: str) -> Any:
                return await site.http.request("GET", f"http://{address}{path}")

            assert (await async_get("/heatherkeel/readyz")).status == 200
            assert (await async_get("/elsewhere")).status == 404
            metrics = (await async_get("/metrics")).content.decode()
            assert 'heatherkeel_job_refusals_total{reason="store_away"} 0.0' in metrics

    trio.run(async_test)
