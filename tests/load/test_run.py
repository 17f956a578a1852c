"""Load runs against stand-ins in the same loop."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, Final

import trio

from heatherkeel.helpers.asgi import App, Message, Receive, Send, async_respond_problem
from heatherkeel.http_server.server import HttpServer
from heatherkeel.load.models import Plan, Promise, Report, Service
from heatherkeel.load.report import format_table
from heatherkeel.load.run import LoadRun
from heatherkeel.standins.target import TargetStandin

PLAN: Final = Plan(
    entries=(),
    services=(Service(path="/stock"),),
    rate=200.0,
    duration_s=5.0,
    max_requests=30,
    non_idempotent_share=0.5,
    timeout_ms=20_000,
)


def labelled(app: App, *, change: Callable[[bytes], bytes] = lambda body: body) -> App:
    """Let a target's answers say `ran`, as an entry instance does, with a changed body."""

    async def call(scope: Message, receive: Receive, send: Send) -> None:
        async def send_labelled(message: Message) -> None:
            if message["type"] == "http.response.start":
                message["headers"] = [*message["headers"], (b"heatherkeel-outcome", b"ran")]
            if message["type"] == "http.response.body":
                message["body"] = change(message["body"])
            await send(message)

        is_count = scope["type"] == "http" and scope["path"].startswith("/standin/")
        await app(scope, receive, send if is_count or scope["type"] != "http" else send_labelled)

    return call


def run(app: App, plan: Plan = PLAN, *, compare: bool = False) -> Report:
    async def async_main() -> Report:
        server = HttpServer(app=app, bind="127.0.0.1:0", graceful_timeout_s=0.1)
        async with trio.open_nursery() as nursery:
            address = await server.start(nursery)
            targets = (address,) if compare else ()
            report = await LoadRun(
                plan=replace(plan, entries=(address,), targets=targets)
            ).async_run()
            nursery.cancel_scope.cancel()
        return report

    return trio.run(async_main)


def broken(report: Report) -> set[Promise]:
    return {breach.promise for breach in report.breaches}


def test_own_whole_answers_are_counted_as_ran() -> None:
    report = run(labelled(TargetStandin(instance="t", slots=100)), compare=True)
    assert report.outcomes == {"ran": 30}
    assert report.breaches == []
    assert report.latency_ms["ran"].count == 30
    assert report.checked_targets == 1
    assert "none broken" in format_table(report)


def test_a_second_run_with_the_same_seed_is_not_taken_for_doubled_requests() -> None:
    # The same targets are asked twice with one seed. Were the ids the same, their counts of the
    # first run would make every request of the second look doubled.
    target = TargetStandin(instance="t", slots=100)
    assert [broken(run(labelled(target), compare=True)) for _ in range(2)] == [set(), set()]


def test_answer_of_another_request_is_found() -> None:
    # The caller gets a well-formed answer that a target gave to somebody else's request.
    other = labelled(
        TargetStandin(instance="t", slots=100), change=lambda body: body.replace(b"-1", b"-2")
    )
    assert broken(run(other)) == {Promise.OWN_ANSWER}


def test_answer_that_is_not_whole_is_found() -> None:
    # The entry instance passes on half an answer under a length that fits the half.
    app = TargetStandin(instance="t", slots=100)

    async def cut(scope: Message, receive: Receive, send: Send) -> None:
        async def send_cut(message: Message) -> None:
            if message["type"] == "http.response.start":
                message["headers"] = [(b"heatherkeel-outcome", b"ran")]
            if message["type"] == "http.response.body":
                message["body"] = message["body"][:20]
            await send(message)

        await app(scope, receive, send_cut if scope["type"] == "http" else send)

    assert broken(run(cut)) == {Promise.WHOLE_ANSWER}


def test_false_not_run_is_found_at_the_target() -> None:
    # The target runs each request, but its caller is told that it did not run.
    target = TargetStandin(instance="t", slots=100)

    async def lie(scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] != "http" or scope["path"].startswith("/standin/"):
            return await target(scope, receive, send)
        headers = dict(scope["headers"])
        target.runs[headers[b"x-request-id"].decode()] += 1
        return await async_respond_problem(
            send,
            status=503,
            kind="no_target",
            title="No",
            headers={"heatherkeel-outcome": "not_run"},
        )

    report = run(lie, compare=True)
    assert broken(report) == {Promise.NOT_RUN_IS_TRUE}
    assert report.reasons == {"not_run: no_target": 30}


def test_doubled_request_is_found_at_the_target() -> None:
    # A non-idempotent request is sent to a target twice; its caller sees one good answer.
    target = TargetStandin(instance="t", slots=100)

    async def double(scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] == "http" and scope["method"] == "POST":
            target.runs[dict(scope["headers"])[b"x-request-id"].decode()] += 1
        await labelled(target)(scope, receive, send)

    report = run(double, compare=True)
    assert broken(report) == {Promise.AT_MOST_ONCE}


def test_a_slow_system_is_not_asked_less() -> None:
    # Every answer waits until the last request has come in. A closed loop would never send it.
    arrived: list[str] = []
    everybody = trio.Event()
    target = TargetStandin(instance="t", slots=100)

    async def hold(scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] == "http":
            arrived.append(scope["path"])
            if len(arrived) == PLAN.max_requests:
                everybody.set()
            await everybody.wait()
        await labelled(target)(scope, receive, send)

    assert run(hold).outcomes == {"ran": 30}


def test_generator_says_when_it_is_the_limit() -> None:
    # More requests are in progress than the generator may hold: it must not look like a
    # system that answered them.
    never = trio.Event()

    async def silent(scope: Message, receive: Receive, send: Send) -> None:
        if scope["type"] != "http":
            return await TargetStandin(instance="t", slots=1)(scope, receive, send)
        return await _wait(never.wait)

    report = run(silent, replace(PLAN, max_in_flight=10, timeout_ms=3000, rate=10_000.0))
    assert report.outcomes == {"timed_out": 10, "not_sent": 20}


async def _wait(waiter: Callable[[], Awaitable[Any]]) -> None:
    await waiter()


def test_nobody_listens() -> None:
    async def async_main() -> Report:
        plan = replace(PLAN, entries=("127.0.0.1:1",), max_requests=3)
        return await LoadRun(plan=plan).async_run()

    report = trio.run(async_main)
    assert report.outcomes == {"not_connected": 3}
    assert report.answered == 0
