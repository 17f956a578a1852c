"""Goodput and refusals when callers ask for a multiple of what the targets can do."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
import trio
from absl import flags

from heatherkeel.load.models import Outcome, Plan, Report, Service
from heatherkeel.load.run import LoadRun

from .const import LOCAL_ZONES, OVERLOAD_FACTORS, SERVICE_PATH, SLOTS_PER_TARGET
from .fleet import MeasuredFleet
from .processes import Child, call
from .registry import measurement


@dataclass(frozen=True, kw_only=True, slots=True)
class OverloadResult:
    """One load; rates a second, latencies in milliseconds from the intended send time."""

    factor: float
    offered_per_s: float
    ran_per_s: float
    ran_p50_ms: float
    ran_p99_ms: float
    refused: int
    refused_p50_ms: float
    refused_p99_ms: float
    other: int
    late_p99_ms: float
    breaches: int


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("work_ms", 600, "How long a target works.", flag_values=values)
    flags.DEFINE_integer("duration_s", 10, "Seconds of each load.", flag_values=values)
    flags.DEFINE_bool("json", False, "Print one JSON object.", flag_values=values)


@measurement("overload", help="Goodput and refusals from half to 4 times capacity.", define=_define)
def run_overload(values: flags.FlagValues) -> int:
    """Run each load on one fleet; exit 1 if a promise was broken."""
    fleet = MeasuredFleet()
    try:
        entries, targets = _start(fleet, work_ms=values.work_ms)
        capacity = len(targets) * SLOTS_PER_TARGET * 1000 / values.work_ms
        results = [
            _run(entries, targets, factor, capacity, values.duration_s)
            for factor in OVERLOAD_FACTORS
        ]
    finally:
        fleet.close()
    _print(results, capacity, as_json=values.json)
    return 1 if any(result.breaches for result in results) else 0


def _start(fleet: MeasuredFleet, *, work_ms: int) -> tuple[list[Child], list[Child]]:
    fleet.start_platform()
    targets = [fleet.start_target(f"{zone}{n}", zone=zone) for zone in LOCAL_ZONES for n in (0, 1)]
    for target in targets:
        faults = msgspec.json.encode({"work_ms": work_ms})
        call("PUT", target.http, "/standin/faults", body=faults)
    entries = [fleet.start_entry(f"entry-{zone}", zone=zone) for zone in LOCAL_ZONES]
    fleet.publish_service(entries[0], size=len(targets))
    return entries, targets


def _run(
    entries: list[Child], targets: list[Child], factor: float, capacity: float, duration_s: int
) -> OverloadResult:
    plan = Plan(
        entries=tuple(entry.http for entry in entries),
        targets=tuple(target.http for target in targets),
        services=(Service(path=SERVICE_PATH),),
        rate=factor * capacity,
        duration_s=duration_s,
        max_requests=100_000,
    )
    return summarize(factor, trio.run(LoadRun(plan=plan).async_run))


def summarize(factor: float, report: Report) -> OverloadResult:
    """Return what one load's report says about goodput and refusals."""
    ran = report.latency_ms.get(Outcome.RAN)
    refused = report.latency_ms.get(Outcome.NOT_RUN)
    late = report.generator_late_ms
    told = report.outcomes.get(Outcome.RAN, 0) + report.outcomes.get(Outcome.NOT_RUN, 0)
    return OverloadResult(
        factor=factor,
        offered_per_s=report.offered_per_s,
        ran_per_s=report.ran_per_s,
        ran_p50_ms=ran.p50 if ran else 0.0,
        ran_p99_ms=ran.p99 if ran else 0.0,
        refused=report.outcomes.get(Outcome.NOT_RUN, 0),
        refused_p50_ms=refused.p50 if refused else 0.0,
        refused_p99_ms=refused.p99 if refused else 0.0,
        other=sum(report.outcomes.values()) - told,
        late_p99_ms=late.p99 if late else 0.0,
        breaches=len(report.breaches),
    )


def _print(results: list[OverloadResult], capacity: float, *, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(results).decode())
        return
    print(f"capacity {capacity:.0f} requests a second")
    for result in results:
        fields = msgspec.to_builtins(result)
        print("  ".join(f"{name} {value}" for name, value in fields.items()))
