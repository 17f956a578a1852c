"""Tests of what requests hold in memory."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from heatherkeel.http_server.budget import MemoryBudget, RequestAccount
from heatherkeel.http_server.const import FREE_BODY_BYTES

LIMIT = 100_000


def test_small_request_is_served_while_large_ones_hold_all_memory() -> None:
    budget = MemoryBudget(limit_bytes=LIMIT)
    large, small = RequestAccount(budget=budget), RequestAccount(budget=budget)
    assert large.take(LIMIT + FREE_BODY_BYTES)
    assert not large.take(1)
    assert small.take(FREE_BODY_BYTES)
    assert not small.take(1)


def test_answer_is_counted_where_there_is_no_room_for_it() -> None:
    budget = MemoryBudget(limit_bytes=LIMIT)
    answering, other = RequestAccount(budget=budget), RequestAccount(budget=budget)
    answering.take_in_any_case(2 * LIMIT)
    assert not other.take(FREE_BODY_BYTES + 1)
    answering.close()
    assert other.take(FREE_BODY_BYTES + 1)


class Accounts(RuleBasedStateMachine):
    """Requests that take memory, and end in any order."""

    accounts = Bundle("accounts")

    def __init__(self) -> None:
        super().__init__()
        self.budget = MemoryBudget(limit_bytes=LIMIT)
        self.opened: list[RequestAccount] = []

    @rule(target=accounts)
    def open(self) -> RequestAccount:
        account = RequestAccount(budget=self.budget)
        self.opened.append(account)
        return account

    @rule(account=accounts, size=st.integers(0, LIMIT))
    def take(self, account: RequestAccount, size: int) -> None:
        held = account.held_bytes
        is_taken = account.take(size)
        assert account.held_bytes == held + (size if is_taken else 0)
        assert not (is_taken and account.is_closed)

    @rule(account=accounts)
    def close(self, account: RequestAccount) -> None:
        account.close()

    @invariant()
    def never_more_than_the_limit(self) -> None:
        assert 0 <= self.budget.taken_bytes <= LIMIT

    @invariant()
    def budget_is_what_the_open_requests_have_taken(self) -> None:
        charged = sum(item.charged_bytes for item in self.opened if not item.is_closed)
        assert self.budget.taken_bytes == charged

    @invariant()
    def only_a_small_part_of_each_is_free(self) -> None:
        for account in self.opened:
            assert account.held_bytes - account.charged_bytes <= FREE_BODY_BYTES


TestAccounts = Accounts.TestCase
