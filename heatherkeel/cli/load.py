"""`heatherkeel load`: ask entry instances on loopback in open loop."""

from __future__ import annotations

import sys

from absl import flags
from result import Err

from heatherkeel.load.const import EXIT_BROKEN_PROMISE, EXIT_USAGE
from heatherkeel.load.errors import BadPlan
from heatherkeel.load.models import Plan, Report, Service
from heatherkeel.load.plan import check_plan, parse_service

from .registry import command


def _define(values: flags.FlagValues) -> None:
    text, whole, real = flags.DEFINE_multi_string, flags.DEFINE_integer, flags.DEFINE_float
    text("entry", [], "Entry instance as IP:PORT; several are asked in turn.", flag_values=values)
    text("target", [], "Target stand-in whose counts are compared.", flag_values=values)
    text("service", [], "PATH or PATH=WEIGHT; may be repeated.", flag_values=values)
    real("rate", 50.0, "Requests a second.", flag_values=values)
    real("duration_s", 10.0, "Seconds in which requests are sent.", flag_values=values)
    whole("max_requests", 100_000, "Most requests of the run.", flag_values=values)
    flags.DEFINE_string("arrivals", "poisson", "poisson or constant.", flag_values=values)
    whole("seed", 1, "Seed of arrivals and requests.", flag_values=values)
    real("non_idempotent_share", 0.0, "Part of requests that are POST.", flag_values=values)
    real("keyed_share", 1.0, "Part of those with an Idempotency-Key.", flag_values=values)
    whole("deadline_ms", 0, "Deadline sent with each request; 0: none.", flag_values=values)
    whole("timeout_ms", 30_000, "Longest wait for an answer.", flag_values=values)
    whole("body_bytes", 64, "Body size of non-idempotent requests.", flag_values=values)
    whole("max_in_flight", 4096, "Most requests in progress.", flag_values=values)
    flags.DEFINE_bool("json", False, "Print one JSON object.", flag_values=values)


@command(
    "load",
    help="Ask entry instances on loopback in open loop, and check every answer.",
    usage="--entry=IP:PORT --service=PATH[=WEIGHT] [flags]",
    define=_define,
)
def run_load(values: flags.FlagValues, args: list[str]) -> int:
    """Run one load; exit 1 if a promise was broken, 2 for a plan that can't be run."""
    import trio

    from heatherkeel.load.run import LoadRun

    services, faults = _parse_services(values.service)
    plan = _make_plan(values, services)
    checked = check_plan(plan)
    if isinstance(checked, Err):
        faults += checked.err_value
    if args:
        faults.append(BadPlan(flag="entry", detail=f"unexpected argument {args[0]!r}"))
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
    import msgspec

    from heatherkeel.load.report import format_table

    if as_json:
        print(msgspec.json.encode(report, order="sorted").decode())
        return
    print(format_table(report))
