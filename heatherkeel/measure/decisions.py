"""What the decisions on one request cost: its arrival and its end through the reducer."""

from __future__ import annotations

import statistics
import sys
import time
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Final

import msgspec
from absl import flags

from heatherkeel.catalogue.models import Budget, EntryPut, PoolEntry, RequestLimits, ServiceEntry
from heatherkeel.core.envelopes import encode, seal
from heatherkeel.core.models import LogRecord, RecordBody
from heatherkeel.core.node import LocalState, NodeState, reduce
from heatherkeel.membership.models import EntryJoin
from heatherkeel.pools.models import InstanceAdmit
from heatherkeel.requests.effects import Queued, Send
from heatherkeel.requests.events import AttemptEnded, AttemptResult, RequestArrived

from .registry import measurement

TARGETS: Final = (6, 60, 600)
ZONES: Final = ("a", "b", "c")
LEASE_MS: Final = 1_000_000
RUNS: Final = 5


@dataclass(frozen=True, kw_only=True, slots=True)
class DecisionCost:
    """Time for one request, arrival and end together, the median of `RUNS` runs."""

    targets: int
    in_progress: int
    queued: int
    us_per_request: float


class Decider:
    """One entry instance with all slots of its targets, and requests that come and end."""

    def __init__(self, *, targets: int) -> None:
        self.node = NodeState(local=LocalState(instance="e1", zone="a", incarnation="1"))
        self.node.local.lease.valid_until_ms = LEASE_MS
        self.sent: deque[tuple[str, str]] = deque()
        self.queued = 0
        self.asked = 0
        for body in _records(targets):
            self._fold(body)

    def _fold(self, body: RecordBody) -> None:
        data = encode(seal(body, author="e1", now_ms=1))
        record = LogRecord(offset=self.node.fleet.next_offset, at_ms=1, data=data)
        reduce(self.node, record)

    def arrive(self) -> None:
        """Let one request arrive."""
        self.asked += 1
        event = RequestArrived(
            now_ms=1, request_id=str(self.asked), path="/stock/1", idempotent=True
        )
        for effect in reduce(self.node, event):
            self._note(effect)

    def _note(self, effect: object) -> None:
        if isinstance(effect, Send):
            self.sent.append((effect.request_id, effect.target))
        self.queued += isinstance(effect, Queued)

    def end(self) -> None:
        """Let the request that was sent first end with a whole answer."""
        request_id, target = self.sent.popleft()
        event = AttemptEnded(
            now_ms=1,
            request_id=request_id,
            target=target,
            result=AttemptResult.WHOLE_ANSWER,
            latency_ms=5,
        )
        for effect in reduce(self.node, event):
            self._note(effect)


def _records(targets: int) -> Iterator[RecordBody]:
    yield EntryPut(
        name="desk", expected_version=0, team="t", entry=PoolEntry(owner="t", size=targets)
    )
    service = ServiceEntry(
        owner="t",
        pool="desk",
        path_prefix="/stock",
        budget=Budget(min_serving=1),
        limits=RequestLimits(max_queued=1_000),
    )
    yield EntryPut(name="stock", expected_version=0, team="t", entry=service)
    for number in range(targets):
        zone = ZONES[number % len(ZONES)]
        yield InstanceAdmit(
            instance=f"t{number:04d}",
            boot_id="1",
            zone=zone,
            rack=f"{zone}{number // 4}",
            address=f"127.0.0.1:{10_000 + number}",
            pool="desk",
        )
    yield EntryJoin(
        instance="e1", incarnation="1", zone="a", peer_address="127.0.0.1:1", lease_ms=LEASE_MS
    )


def measure_cost(*, targets: int, in_progress: int, requests: int) -> DecisionCost:
    """Time requests while `in_progress` others are at the targets or wait for a slot."""
    decider = Decider(targets=targets)
    for _ in range(in_progress):
        decider.arrive()
    times: list[float] = []
    for _ in range(RUNS):
        started = time.perf_counter()
        for _ in range(requests):
            decider.arrive()
            decider.end()
        times.append((time.perf_counter() - started) / requests * 1e6)
    return DecisionCost(
        targets=targets,
        in_progress=in_progress,
        queued=decider.queued,
        us_per_request=round(statistics.median(times), 1),
    )


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("requests", 2_000, "Requests in each run.", flag_values=values)
    flags.DEFINE_bool("json", False, "Print one JSON line for each figure.", flag_values=values)


@measurement("decisions", help="Time of the decisions on one request.", define=_define)
def run_decisions(values: flags.FlagValues) -> int:
    """Print the cost with the targets half busy, and with all slots taken and a queue."""
    for targets in TARGETS:
        slots = targets * 8
        for in_progress in (slots // 2, slots + 100):
            cost = measure_cost(targets=targets, in_progress=in_progress, requests=values.requests)
            if values.json:
                sys.stdout.write(msgspec.json.encode(cost).decode() + "\n")
            else:
                sys.stdout.write(
                    f"{cost.targets:4d} targets, {cost.in_progress:5d} in progress: "
                    f"{cost.us_per_request:7.1f} us a request\n"
                )
    return 0
