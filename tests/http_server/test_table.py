"""Tests of which connections a full server closes."""

from __future__ import annotations

from collections.abc import Callable

import pytest
import trio
import trio.testing
from hypothesis import given
from hypothesis import strategies as st
from prometheus_client import CollectorRegistry

from heatherkeel.http_server.budget import RequestAccount
from heatherkeel.http_server.const import (
    FREE_BODY_BYTES,
    GRACE_S,
    IDLE_GRACE_S,
    LEAST_BYTES_PER_S,
    READ_TIMEOUT_S,
)
from heatherkeel.http_server.metrics import ServerMetrics
from heatherkeel.http_server.models import Phase, ServerLimits
from heatherkeel.http_server.table import ConnectionTable, OpenConnection

LIMITS = ServerLimits(connections=8, body_bytes=1000)


def make_table(limits: ServerLimits = LIMITS) -> ConnectionTable:
    metrics = ServerMetrics(registry=CollectorRegistry())
    return ConnectionTable(limits=limits, metrics=metrics, name="callers")


def make_connection(
    phase: Phase = Phase.NEW, *, began_s: float = 0.0, moved_s: float = 0.0, **fields: int
) -> OpenConnection:
    connection = OpenConnection(peer="", phase=phase, began_s=began_s, moved_s=moved_s)
    for name, value in fields.items():
        setattr(connection, name, value)
    return connection


def run(check: Callable[[], None], *, at_s: float) -> None:
    """Run a check at a time of the server's clock."""

    async def async_run() -> None:
        await trio.sleep_until(at_s)
        check()

    trio.run(async_run, clock=trio.testing.MockClock(autojump_threshold=0))


@pytest.mark.parametrize("phase", [Phase.NEW, Phase.HEAD, Phase.BODY, Phase.CLOSING])
def test_request_within_its_grace_is_kept(phase: Phase) -> None:
    connection = make_connection(phase)
    assert not connection.is_dispensable(GRACE_S - 0.1, grace_s=GRACE_S)
    assert connection.is_dispensable(GRACE_S, grace_s=GRACE_S)


def test_idle_connection_goes_soon_but_not_while_its_next_request_is_in_transit() -> None:
    connection = make_connection(Phase.IDLE)
    assert not connection.is_dispensable(IDLE_GRACE_S - 0.01, grace_s=GRACE_S)
    assert connection.is_dispensable(IDLE_GRACE_S, grace_s=GRACE_S)


def test_body_that_moves_is_kept_and_one_that_drips_is_not() -> None:
    age_s = 2 * GRACE_S
    enough = round(LEAST_BYTES_PER_S * age_s)
    moving = make_connection(Phase.BODY, moved_s=age_s - 0.1, moved_bytes=enough)
    dripping = make_connection(Phase.BODY, moved_s=age_s - 0.1, moved_bytes=enough // 2)
    assert not moving.is_dispensable(age_s, grace_s=GRACE_S)
    assert dripping.is_dispensable(age_s, grace_s=GRACE_S)


@given(age_s=st.floats(0, 3600), still_s=st.floats(0, 3600))
def test_request_that_runs_is_never_closed_for_room(age_s: float, still_s: float) -> None:
    """Guards against a job whose append is under way and whose caller gets no answer."""
    connection = make_connection(Phase.RUNNING, began_s=-age_s, moved_s=-still_s)
    assert not connection.is_dispensable(0.0, grace_s=GRACE_S)
    assert not connection.is_overdue(0.0, read_timeout_s=READ_TIMEOUT_S)


def test_client_that_does_not_read_its_answer_gives_way() -> None:
    connection = make_connection(Phase.RUNNING, is_sending=True)
    assert connection.is_dispensable(GRACE_S, grace_s=GRACE_S)


def test_connection_that_holds_most_is_closed_before_the_one_that_stood_still_longest() -> None:
    table = make_table()
    still = make_connection(Phase.HEAD)
    holding = make_connection(Phase.BODY, moved_s=5.0)
    holding.account = table.open_account()
    assert holding.account.take(FREE_BODY_BYTES + 10)
    for connection in (still, holding):
        table.add(connection)
    for _ in range(LIMITS.connections - 2):
        table.add(make_connection(Phase.RUNNING))
    closed: list[OpenConnection] = []
    still.abort = lambda: closed.append(still)
    holding.abort = lambda: closed.append(holding)

    async def async_run() -> None:
        await trio.sleep_until(20.0)
        await table.async_make_room()
        table.add(make_connection(Phase.RUNNING))
        await table.async_make_room()

    trio.run(async_run, clock=trio.testing.MockClock(autojump_threshold=0))
    assert closed == [holding, still]
    assert table.budget.taken_bytes == 0


def test_full_server_waits_while_all_requests_run() -> None:
    """Guards against a reset of sound clients that are only too many."""
    table = make_table()
    running = [make_connection(Phase.RUNNING) for _ in range(LIMITS.connections)]
    for connection in running:
        table.add(connection)

    async def async_run() -> float:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(table.async_make_room)
            await trio.sleep(30.0)
            table.remove(running[0])
        return trio.current_time()

    trio.run(async_run, clock=trio.testing.MockClock(autojump_threshold=0))
    assert len(table.connections) == LIMITS.connections - 1


def test_memory_is_taken_from_bodies_that_stand_still_only() -> None:
    table = make_table()
    accounts: list[RequestAccount] = []
    for moved_s in (0.0, 19.9):
        connection = make_connection(
            Phase.BODY, moved_s=moved_s, moved_bytes=round(100 * LEAST_BYTES_PER_S)
        )
        connection.account = table.open_account()
        assert connection.account.take(FREE_BODY_BYTES + 500)
        accounts.append(connection.account)
        table.add(connection)
    newcomer = table.open_account()

    def check() -> None:
        assert newcomer.take(FREE_BODY_BYTES + 500)
        assert not newcomer.take(500)

    run(check, at_s=20.0)
    assert [account.is_closed for account in accounts] == [True, False]


def test_requests_beyond_the_limit_are_refused_unless_one_stands_still() -> None:
    table = make_table()
    connection = make_connection(Phase.BODY)
    table.add(connection)
    table.requests = LIMITS.requests()
    run(lambda: expect(not table.has_room_for_request()), at_s=GRACE_S - 0.1)
    run(lambda: expect(table.has_room_for_request()), at_s=GRACE_S)
    assert connection not in table.connections


def expect(condition: bool) -> None:
    assert condition
