"""Checks a plan, and settles every request of it before the first one is sent."""

from __future__ import annotations

import hashlib
import ipaddress
import itertools
import random
from collections.abc import Callable, Iterator

from result import Err, Ok, Result

from heatherkeel.entry.const import DEADLINE_HEADER, KEY_HEADER, REQUEST_ID_HEADER

from .arrivals import ARRIVALS
from .const import (
    MAX_BODY_BYTES,
    MAX_DURATION_S,
    MAX_RATE,
    MAX_REQUESTS,
)
from .errors import BadPlan
from .models import Plan, PlannedRequest, Service


def check_plan(plan: Plan) -> Result[Plan, list[BadPlan]]:
    """Return the plan, or every fault of it."""
    faults = [
        *_check_addresses("entry", plan.entries),
        *_check_addresses("target", plan.targets),
        *_check_bounds(plan),
    ]
    if not plan.entries:
        faults.append(BadPlan(flag="entry", detail="at least one address is needed"))
    if not plan.services:
        faults.append(BadPlan(flag="service", detail="at least one path is needed"))
    faults += [fault for service in plan.services for fault in _check_service(service)]
    if plan.arrivals not in ARRIVALS:
        known = ", ".join(sorted(ARRIVALS))
        faults.append(BadPlan(flag="arrivals", detail=f"{plan.arrivals!r} is none of {known}"))
    return Err(faults) if faults else Ok(plan)


def _check_addresses(flag: str, addresses: tuple[str, ...]) -> Iterator[BadPlan]:
    for address in addresses:
        fault = find_address_fault(address)
        if fault:
            yield BadPlan(flag=flag, detail=f"{address!r} {fault}")


def find_address_fault(address: str) -> str:
    """Say why an address may not be asked, or return an empty string.

    Load that left the machine could stop somebody else's service. Names are refused too: what
    they resolve to can change between this check and the first connection.
    """
    host, _, port = address.rpartition(":")
    if not port.isdigit() or not 0 < int(port) < 65_536:
        return "is not HOST:PORT with a port from 1 to 65535"
    try:
        parsed = ipaddress.ip_address(host)
    except ValueError:
        return "has no IP number as its host"
    return "" if parsed.is_loopback else "is not on loopback; load goes to this machine only"


def _check_bounds(plan: Plan) -> Iterator[BadPlan]:
    bounds: list[tuple[str, float, float, float]] = [
        ("rate", plan.rate, 0.001, MAX_RATE),
        ("duration_s", plan.duration_s, 0.001, MAX_DURATION_S),
        ("max_requests", plan.max_requests, 1, MAX_REQUESTS),
        ("non_idempotent_share", plan.non_idempotent_share, 0, 1),
        ("keyed_share", plan.keyed_share, 0, 1),
        ("deadline_ms", plan.deadline_ms, 0, 3_600_000),
        ("timeout_ms", plan.timeout_ms, 1, 3_600_000),
        ("body_bytes", plan.body_bytes, 0, MAX_BODY_BYTES),
        ("max_in_flight", plan.max_in_flight, 1, 65_536),
    ]
    for flag, value, low, high in bounds:
        if not low <= value <= high:
            yield BadPlan(flag=flag, detail=f"{value} is not between {low} and {high}")


def _check_service(service: Service) -> Iterator[BadPlan]:
    if not service.path.startswith("/"):
        yield BadPlan(flag="service", detail=f"{service.path!r} does not start with /")
    if not service.weight > 0:
        yield BadPlan(flag="service", detail=f"weight {service.weight} is not above 0")


def parse_service(text: str) -> Result[Service, BadPlan]:
    """Read `PATH` or `PATH=WEIGHT`."""
    path, separator, weight = text.partition("=")
    if not separator:
        return Ok(Service(path=path))
    try:
        return Ok(Service(path=path, weight=float(weight)))
    except ValueError:
        return Err(BadPlan(flag="service", detail=f"{weight!r} is not a weight"))


def plan_requests(plan: Plan, *, run_id: str) -> list[PlannedRequest]:
    """Return all requests of a run in order of arrival; the same seed gives the same ones.

    Ids and keys begin with `run_id`, which has to be new for each run: targets still count the
    ids of an earlier run, and entry instances would answer its keys with its outcomes.
    """
    source = random.Random(plan.seed)
    arrivals = ARRIVALS[plan.arrivals](plan.rate, random.Random(plan.seed + 1))
    in_time = itertools.takewhile(lambda at_s: at_s < plan.duration_s, arrivals)
    make = _request_maker(plan, source, run_id)
    return [make(index, at_s) for index, at_s in enumerate(_first(in_time, plan.max_requests))]


def _first(times: Iterator[float], count: int) -> Iterator[float]:
    return itertools.islice(times, count)


def _request_maker(
    plan: Plan, source: random.Random, run_id: str
) -> Callable[[int, float], PlannedRequest]:
    weights = [service.weight for service in plan.services]

    def make(index: int, at_s: float) -> PlannedRequest:
        service = source.choices(plan.services, weights)[0]
        idempotent = source.random() >= plan.non_idempotent_share
        keyed = not idempotent and source.random() < plan.keyed_share
        body = b"" if idempotent else source.randbytes(plan.body_bytes)
        request_id = f"{run_id}-{index}"
        return PlannedRequest(
            id=request_id,
            at_s=at_s,
            entry=plan.entries[index % len(plan.entries)],
            method="GET" if idempotent else "POST",
            path=f"{service.path.rstrip('/')}/{index}",
            body=body,
            body_sha256=hashlib.sha256(body).hexdigest(),
            idempotent=idempotent,
            headers=_headers(plan, request_id, keyed=keyed),
        )

    return make


def _headers(plan: Plan, request_id: str, *, keyed: bool) -> tuple[tuple[str, str], ...]:
    headers = [(REQUEST_ID_HEADER, request_id)]
    if keyed:
        headers.append((KEY_HEADER, f"key-{request_id}"))
    if plan.deadline_ms:
        headers.append((DEADLINE_HEADER, str(plan.deadline_ms)))
    return tuple(headers)
