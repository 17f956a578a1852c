"""The hop measurement: its baseline passes whole answers, its ratios are of the right arms."""

from __future__ import annotations

from typing import Any

import trio

from heatherkeel.http_server.server import HttpServer
from heatherkeel.load.models import Plan, Service
from heatherkeel.load.run import LoadRun
from heatherkeel.measure.asker import Round, async_ask
from heatherkeel.measure.bare_hop import BareHop
from heatherkeel.measure.hop import Arm, conclude
from heatherkeel.standins.target import TargetStandin


def test_bare_hop_passes_on_whole_answers() -> None:
    async def async_main() -> tuple[Round, Any]:
        target = TargetStandin(instance="t", slots=100)
        targets = HttpServer(app=target, bind="127.0.0.1:0", graceful_timeout_s=0.1)
        async with trio.open_nursery() as nursery:
            hop = BareHop(targets=[await targets.start(nursery)])
            server = HttpServer(app=hop, bind="127.0.0.1:0", graceful_timeout_s=0.1)
            address = await server.start(nursery)
            asked = await async_ask(address, requests=10, callers=2)
            plan = Plan(
                entries=(address,),
                services=(Service(path="/stock"),),
                rate=1000.0,
                duration_s=1.0,
                max_requests=5,
                non_idempotent_share=1.0,
            )
            report = await LoadRun(plan=plan).async_run()
            await hop.close()
            nursery.cancel_scope.cancel()
        return asked, report.outcomes

    asked, outcomes = trio.run(async_main)
    assert len(asked.latencies_ms) == 10 and asked.failed == 0
    assert outcomes == {"unlabelled": 5}


def test_ratios_compare_the_entry_hop_with_the_bare_hop() -> None:
    arms = {
        "direct": Arm(name="direct", address="", pid=0),
        "bare": Arm(name="bare", address="", pid=0, cpu_s=1.0),
        "entry": Arm(name="entry", address="", pid=0, cpu_s=1.5),
    }
    for arm, latency_ms in (("direct", 1.0), ("bare", 2.0), ("entry", 4.0)):
        rounds = [Round(latencies_ms=[latency_ms] * 10, elapsed_s=latency_ms)]
        arms[arm].single, arms[arm].full = rounds, rounds
    result = conclude(arms)
    assert (result.median_ratio, result.rate_ratio, result.cpu_ratio) == (2.0, 0.5, 1.5)
    assert not result.met
