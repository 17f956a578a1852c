"""What the entry hop costs beside a direct call and a bare hop, side by side in one run."""

from __future__ import annotations

import statistics
import sys
from dataclasses import dataclass, field

import msgspec
import trio
from absl import flags

from .asker import Round, async_ask
from .const import HOP_MEDIAN_TARGET, HOP_RATE_TARGET
from .fleet import MeasuredFleet
from .processes import Child, read_usage
from .registry import measurement


@dataclass(kw_only=True)
class Arm:
    """One way to the same targets; `pid` is the process that the calls go through."""

    name: str
    address: str
    pid: int
    single: list[Round] = field(default_factory=list)
    full: list[Round] = field(default_factory=list)
    cpu_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ArmResult:
    """Latency in milliseconds with one caller; rate and processor time with many."""

    name: str
    median_ms: float
    p99_ms: float
    rate_per_s: float
    cpu_ms_per_request: float
    failed: int


@dataclass(frozen=True, kw_only=True, slots=True)
class HopResult:
    """The arms, and the entry hop as a multiple of the bare hop."""

    arms: list[ArmResult]
    median_ratio: float
    rate_ratio: float
    cpu_ratio: float
    median_target: float = HOP_MEDIAN_TARGET
    rate_target: float = HOP_RATE_TARGET

    @property
    def met(self) -> bool:
        """Say whether both targets are met."""
        return self.median_ratio <= self.median_target and self.rate_ratio >= self.rate_target


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("rounds", 12, "Interleaved rounds.", flag_values=values)
    flags.DEFINE_integer("requests", 150, "Requests of an arm in a round.", flag_values=values)
    flags.DEFINE_integer("callers", 8, "Callers at once for the rate.", flag_values=values)
    flags.DEFINE_integer("targets", 2, "Target stand-ins.", flag_values=values)
    flags.DEFINE_bool("json", False, "Print one JSON object.", flag_values=values)


@measurement("hop", help="Entry hop against direct call and bare hop.", define=_define)
def run_hop(values: flags.FlagValues) -> int:
    """Measure the hops; exit 1 if a target is missed."""
    fleet = MeasuredFleet()
    try:
        processes = _start(fleet, targets=values.targets)
        result = trio.run(_async_measure, processes, values.rounds, values.requests, values.callers)
    finally:
        fleet.close()
    _print(result, as_json=values.json)
    return 0 if result.met else 1


def _start(fleet: MeasuredFleet, *, targets: int) -> dict[str, Child]:
    fleet.start_platform()
    started = [fleet.start_target(f"t{index}", zone="a") for index in range(targets)]
    entry = fleet.start_entry("entry", zone="a")
    fleet.publish_service(entry, size=targets)
    addresses = [target.http for target in started]
    bare = fleet.start("bare", addresses, module="heatherkeel.measure.bare_hop")
    return {"direct": started[0], "bare": bare, "entry": entry}


async def _async_measure(
    processes: dict[str, Child], rounds: int, requests: int, callers: int
) -> HopResult:
    arms = [
        Arm(name=name, address=process.http, pid=process.popen.pid)
        for name, process in processes.items()
    ]
    for index in range(rounds):
        # The machine's noise comes and goes over seconds. Short rounds in turning order let it
        # hit every arm alike.
        turned = arms[index % len(arms) :] + arms[: index % len(arms)]
        for arm in turned:
            await _async_round(arm, requests, callers)
    return conclude({arm.name: arm for arm in arms})


async def _async_round(arm: Arm, requests: int, callers: int) -> None:
    arm.single.append(await async_ask(arm.address, requests=requests, callers=1))
    before = read_usage(arm.pid).cpu_s
    arm.full.append(await async_ask(arm.address, requests=2 * requests, callers=callers))
    arm.cpu_s += read_usage(arm.pid).cpu_s - before


def conclude(arms: dict[str, Arm]) -> HopResult:
    """Return the arms' results, and the entry hop as a multiple of the bare hop."""
    results = {name: _summarize(arm) for name, arm in arms.items()}
    bare, entry = results["bare"], results["entry"]
    return HopResult(
        arms=list(results.values()),
        median_ratio=round(entry.median_ms / bare.median_ms, 3),
        rate_ratio=round(entry.rate_per_s / bare.rate_per_s, 3),
        cpu_ratio=round(entry.cpu_ms_per_request / bare.cpu_ms_per_request, 3),
    )


def _summarize(arm: Arm) -> ArmResult:
    latencies = sorted(value for each in arm.single for value in each.latencies_ms)
    requests = sum(len(each.latencies_ms) for each in arm.full)
    rates = [len(each.latencies_ms) / each.elapsed_s for each in arm.full]
    return ArmResult(
        name=arm.name,
        median_ms=round(statistics.median(latencies), 3),
        p99_ms=round(latencies[int(len(latencies) * 0.99)], 3),
        rate_per_s=round(statistics.median(rates), 1),
        cpu_ms_per_request=round(arm.cpu_s / requests * 1000, 3),
        failed=sum(each.failed for each in arm.single + arm.full),
    )


def _print(result: HopResult, *, as_json: bool) -> None:
    if as_json:
        sys.stdout.write(msgspec.json.encode(result).decode() + "\n")
        return
    lines = [f"{'arm':>8} {'median ms':>10} {'p99 ms':>8} {'req/s':>8} {'cpu ms':>8} {'failed':>7}"]
    lines += [
        f"{arm.name:>8} {arm.median_ms:>10} {arm.p99_ms:>8} {arm.rate_per_s:>8} "
        f"{arm.cpu_ms_per_request:>8} {arm.failed:>7}"
        for arm in result.arms
    ]
    lines.append(
        f"entry / bare: median {result.median_ratio} (target at most {result.median_target}), "
        f"req/s {result.rate_ratio} (at least {result.rate_target}), cpu {result.cpu_ratio}"
    )
    sys.stdout.write("\n".join(lines) + "\n")
