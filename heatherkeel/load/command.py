"""Makes a plan from the flags, runs it, and prints its report."""

from __future__ import annotations

import sys

import msgspec
import trio
from absl import flags
from result import Err

from .const import EXIT_BROKEN_PROMISE, EXIT_USAGE
from .errors import BadPlan
from .models import Plan, Report, Service
from .plan import check_plan, parse_service
from .report import format_table
from .run import LoadRun


def run_load(values: flags.FlagValues) -> int:
    """Run one load; return 1 if a promise was broken, 2 for a plan that can't be run."""
    services, faults = _parse_services(values.service)
    plan = _make_plan(values, services)
    checked = check_plan(plan)
    if isinstance(checked, Err):
        faults += checked.err_value
    if faults:
        print("\n".join(f"heatherkeel load: {fault}" for fault in faults), file=sys.stderr)
        return EXIT_USAGE
    report = trio.run(LoadRun(plan=plan).async_run)
    _print(report, as_json=values.json)
    return EXIT_BROKEN_PROMISE if report.breaches else 0


def _parse_services(texts: list[str]) -> tuple[list[Service], list[BadPlan]]:
    parsed = [parse_service(text) for text in texts]
    services = [item.ok_value for item in parsed if not isinstance(item, Err)]
    return services, [item.err_value for item in parsed if isinstance(item, Err)]


def _make_plan(values: flags.FlagValues, services: list[Service]) -> Plan:
    return Plan(
        entries=tuple(values.entry),
        services=tuple(services),
        targets=tuple(values.target),
        rate=values.rate,
        duration_s=values.duration_s,
        max_requests=values.max_requests,
        arrivals=values.arrivals,
        seed=values.seed,
        non_idempotent_share=values.non_idempotent_share,
        keyed_share=values.keyed_share,
        deadline_ms=values.deadline_ms,
        timeout_ms=values.timeout_ms,
        body_bytes=values.body_bytes,
        max_in_flight=values.max_in_flight,
    )


def _print(report: Report, *, as_json: bool) -> None:
    if as_json:
        print(msgspec.json.encode(report, order="sorted").decode())
        return
    print(format_table(report))
