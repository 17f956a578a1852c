"""What an at-most-once claim adds to a request: latency, and appends to the log."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec
import trio
from absl import flags

from heatherkeel.load.models import Outcome, Plan, Report, Service
from heatherkeel.load.run import LoadRun

from .const import CLAIM_RATES, SERVICE_PATH
from .fleet import MeasuredFleet
from .processes import Child
from .registry import measurement

TARGETS = 2


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimResult:
    """One rate with or without keys; latency in milliseconds from the intended send time."""

    rate: float
    keyed: bool
    ran: int
    other: int
    p50_ms: float
    p99_ms: float
    appends_per_request: float
    breaches: int


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("duration_s", 10, "Seconds of each load.", flag_values=values)


@measurement("claims", help="Requests with and without an idempotency key.", define=_define)
def run_claims(values: flags.FlagValues) -> int:
    """Run each rate with and without keys on one fleet; exit 1 if a promise was broken."""
    fleet = MeasuredFleet()
    try:
        fleet.start_platform()
        targets = [fleet.start_target(f"t{index}", zone="a") for index in range(TARGETS)]
        entry = fleet.start_entry("entry", zone="a")
        fleet.publish_service(entry, size=TARGETS)
        results = [
            _run(fleet, entry, targets, rate, keyed, values.duration_s)
            for rate in CLAIM_RATES
            for keyed in (False, True)
        ]
    finally:
        fleet.close()
    for result in results:
        fields = msgspec.to_builtins(result)
        print("  ".join(f"{name} {value}" for name, value in fields.items()))
    return 1 if any(result.breaches for result in results) else 0


def _run(
    fleet: MeasuredFleet,
    entry: Child,
    targets: list[Child],
    rate: float,
    keyed: bool,
    duration_s: int,
) -> ClaimResult:
    plan = Plan(
        entries=(entry.http,),
        targets=tuple(target.http for target in targets),
        services=(Service(path=SERVICE_PATH),),
        rate=rate,
        duration_s=duration_s,
        max_requests=10_000,
        non_idempotent_share=1.0,
        keyed_share=1.0 if keyed else 0.0,
    )
    before = fleet.platform_appends()
    report = trio.run(LoadRun(plan=plan).async_run)
    return _summarize(rate, keyed, report, fleet.platform_appends() - before)


def _summarize(rate: float, keyed: bool, report: Report, appends: int) -> ClaimResult:
    ran = report.outcomes.get(Outcome.RAN, 0)
    latency = report.latency_ms.get(Outcome.RAN)
    return ClaimResult(
        rate=rate,
        keyed=keyed,
        ran=ran,
        other=sum(report.outcomes.values()) - ran,
        p50_ms=latency.p50 if latency else 0.0,
        p99_ms=latency.p99 if latency else 0.0,
        appends_per_request=round(appends / max(1, report.sent), 2),
        breaches=len(report.breaches),
    )
