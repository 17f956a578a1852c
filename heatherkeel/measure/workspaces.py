"""Measures what keys and limits of workspaces cost at several sizes, without a network."""

from __future__ import annotations

import sys
import time
import tracemalloc
from dataclasses import dataclass

import msgspec
from absl import flags

from heatherkeel.platform.operator import Workspace
from heatherkeel.workspaces.access import build_key_table
from heatherkeel.workspaces.account import AccountBook, Waiting
from heatherkeel.workspaces.amounts import Amount
from heatherkeel.workspaces.lending import Lender

from .registry import measurement

LOOKUPS = 20_000
ROUNDS = 20
LIMIT = Amount(240_000, 444_000)
TASK = Amount(6_200, 11_000)


@dataclass(frozen=True, kw_only=True)
class KeyCost:
    """Cost of a table of keys."""

    keys: int
    lookup_us: float
    table_kb: float


@dataclass(frozen=True, kw_only=True)
class LendingCost:
    """Cost of one round of offers and reports, in which some workspaces have changed."""

    workspaces: int
    partitions: int
    busy: int
    round_ms: float
    bytes_per_partition: float


def measure_keys(keys: int, workspaces: int) -> KeyCost:
    """Measure looking up a key, and the memory of the table."""
    per_workspace = max(1, keys // workspaces)
    configured = [
        Workspace(
            name=f"w{number}",
            keys=tuple(f"{number:010d}{index:010d}" for index in range(per_workspace)),
        )
        for number in range(workspaces)
    ]
    tracemalloc.start()
    table = build_key_table(configured)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began_s = time.perf_counter()
    for number in range(LOOKUPS):
        table.find_caller(f"{number % workspaces:010d}{0:010d}")
    lookup_us = (time.perf_counter() - began_s) / LOOKUPS * 1e6
    return KeyCost(keys=len(table.names), lookup_us=lookup_us, table_kb=size / 1024)


def measure_lending(workspaces: int, partitions: int, *, busy: int) -> LendingCost:
    """Measure rounds in which `busy` workspaces wait for another amount in each round."""
    names = [f"w{number}" for number in range(workspaces)]
    limits = dict.fromkeys(names, LIMIT)
    books = {number: AccountBook(owner=number + 1) for number in range(partitions)}
    for book in books.values():
        book.apply_limits(limits)
    lender = Lender(token=1)
    sent = 0

    def exchange(turn: int) -> None:
        nonlocal sent
        waiting = {
            name: Waiting().with_tasks(TASK, 1 + turn % 7, accepted_ms=turn)
            for name in names[:busy]
        }
        for number, offer in lender.make_offers(
            list(books), limits, are_limits_recent=True
        ).items():
            book = books[number]
            book.apply_offer(offer)
            book.update_reports(waiting)
            report = book.make_report(offer.since if offer.owner == book.owner else 0)
            lender.record(number, report)
            sent += len(msgspec.json.encode(offer)) + len(msgspec.json.encode(report))

    for turn in range(5):
        exchange(turn)
    sent = 0
    began_s = time.perf_counter()
    for turn in range(ROUNDS):
        exchange(turn)
    round_ms = (time.perf_counter() - began_s) / ROUNDS * 1000
    return LendingCost(
        workspaces=workspaces,
        partitions=partitions,
        busy=busy,
        round_ms=round_ms,
        bytes_per_partition=sent / ROUNDS / partitions,
    )


def _define(values: flags.FlagValues) -> None:
    flags.DEFINE_integer("keys", 10_000, "Keys of all workspaces.", flag_values=values)
    flags.DEFINE_integer("workspaces", 560, "Workspaces.", flag_values=values)


@measurement("workspaces", help="What keys and limits of workspaces cost.", define=_define)
def run_workspaces(values: flags.FlagValues) -> int:
    """Measure a few sizes up to the ones given."""
    rows: list[KeyCost | LendingCost] = [
        measure_keys(100, 20),
        measure_keys(values.keys, values.workspaces),
        measure_lending(20, 8, busy=20),
        measure_lending(values.workspaces, 8, busy=0),
        measure_lending(values.workspaces, 8, busy=20),
        measure_lending(values.workspaces, 23, busy=20),
    ]
    for row in rows:
        sys.stdout.write(msgspec.json.encode(row).decode() + "\n")
    return 0
