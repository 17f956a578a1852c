"""Plans of load runs: bounds, loopback only, and the same requests from the same seed."""

from __future__ import annotations

import itertools
from dataclasses import replace
from random import Random
from typing import Any, Final

import pytest
from result import Err, Ok

from heatherkeel.cli.main import main
from heatherkeel.load.arrivals import ARRIVALS
from heatherkeel.load.const import TURN_PEAK_FRACTION, TURN_PERIOD_S
from heatherkeel.load.models import Plan, Service
from heatherkeel.load.plan import check_plan, find_address_fault, parse_service, plan_requests

PLAN: Final = Plan(
    entries=("127.0.0.1:8001", "127.0.0.1:8002"),
    services=(Service(path="/stock"), Service(path="/quotes", weight=3.0)),
    rate=200.0,
    duration_s=10.0,
    max_requests=10_000,
    non_idempotent_share=0.5,
    keyed_share=0.5,
)


def test_poisson_arrivals_keep_the_rate_and_repeat_with_the_seed() -> None:
    requests = plan_requests(PLAN, run_id="r")
    assert 1850 < len(requests) < 2150
    assert requests == plan_requests(PLAN, run_id="r")
    assert requests != plan_requests(replace(PLAN, seed=2), run_id="r")
    gaps = [b.at_s - a.at_s for a, b in itertools.pairwise(requests)]
    mean = sum(gaps) / len(gaps)
    variance = sum((gap - mean) ** 2 for gap in gaps) / len(gaps)
    assert 0.85 < variance / mean**2 < 1.15  # exponential gaps: variance is the mean squared


def test_turns_keep_the_rate_and_bring_most_requests_in_their_peaks() -> None:
    times = list(itertools.takewhile(lambda at_s: at_s < 180, ARRIVALS["turns"](50, Random(7))))
    assert 8_500 < len(times) < 9_500
    in_peaks = sum(at_s % TURN_PERIOD_S < TURN_PERIOD_S * TURN_PEAK_FRACTION for at_s in times)
    assert in_peaks > 0.9 * len(times)


def test_constant_arrivals_are_evenly_spaced() -> None:
    requests = plan_requests(
        replace(PLAN, arrivals="constant", rate=4.0, duration_s=1.0), run_id="r"
    )
    assert [request.at_s for request in requests] == [0.0, 0.25, 0.5, 0.75]


def test_count_bounds_the_run() -> None:
    assert len(plan_requests(replace(PLAN, max_requests=7), run_id="r")) == 7


def test_shares_of_services_and_of_keys() -> None:
    requests = plan_requests(PLAN, run_id="r")
    posts = [request for request in requests if not request.idempotent]
    keyed = [request for request in posts if "idempotency-key" in dict(request.headers)]
    quotes = [request for request in requests if request.path.startswith("/quotes/")]
    assert 0.45 < len(posts) / len(requests) < 0.55
    assert 0.43 < len(keyed) / len(posts) < 0.57
    assert 0.70 < len(quotes) / len(requests) < 0.80
    assert all(not request.body for request in requests if request.idempotent)
    assert len({request.id for request in requests}) == len(requests)


@pytest.mark.parametrize("address", ["127.0.0.1:80", "127.8.9.1:65535"])
def test_loopback_may_be_asked(address: str) -> None:
    assert find_address_fault(address) == ""


@pytest.mark.parametrize(
    "address",
    ["10.0.0.1:80", "192.168.1.1:80", "8.8.8.8:53", "0.0.0.0:80", "localhost:80", "127.0.0.1"],
)
def test_load_never_leaves_the_machine(address: str) -> None:
    # An operator mistypes an address, or gives a name. Load sent there could stop somebody
    # else's service, so the run is refused before its first request.
    assert find_address_fault(address)
    assert isinstance(check_plan(replace(PLAN, entries=(address,))), Err)
    assert isinstance(check_plan(replace(PLAN, targets=(address,))), Err)


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("rate", 0.0),
        ("rate", float("nan")),
        ("duration_s", 1e9),
        ("max_requests", 0),
        ("non_idempotent_share", 1.1),
        ("arrivals", "bursty"),
        ("services", ()),
        ("services", (Service(path="stock"),)),
    ],
)
def test_unbounded_plans_are_refused(field: str, value: Any) -> None:
    assert isinstance(check_plan(replace(PLAN, **{field: value})), Err)
    assert check_plan(PLAN) == Ok(PLAN)


def test_services_are_parsed() -> None:
    assert parse_service("/a") == Ok(Service(path="/a"))
    assert parse_service("/a=2.5") == Ok(Service(path="/a", weight=2.5))
    assert isinstance(parse_service("/a=x"), Err)


def test_command_names_every_fault(capsys: pytest.CaptureFixture[str]) -> None:
    status = main(["load", "--entry=10.1.1.1:80", "--service=x", "--rate=0", "--service=/a=b"])
    printed = capsys.readouterr().err
    assert status == 2
    assert "--entry: '10.1.1.1:80' is not on loopback" in printed
    assert "--rate: 0.0 is not between" in printed
    assert "--service: 'x' does not start with /" in printed
    assert "--service: 'b' is not a weight" in printed
