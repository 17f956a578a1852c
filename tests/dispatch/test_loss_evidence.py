"""What the log tells about a lost run, from which its cause can be found."""

from __future__ import annotations

import logging

import pytest

from heatherkeel.dispatch.const import LEASE_MS, MIN_UNRESPONSIVE_MS
from heatherkeel.dispatch.events import IncarnationsListed

from .partition import Partition, make_entry, make_step


def test_log_tells_a_silent_worker_from_one_that_has_crashed(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    partition = Partition(workers=2)
    partition.submit(make_step(count=2, cpu=5000))
    silent, crashed = partition.start_planned_runs()
    partition.tick(100)
    partition.list_known_runs(silent.worker_id)
    for run in (silent, crashed):
        worker = partition.state.workers[run.worker_id]
        worker.lease_until_ms = worker.clock_at(partition.now_ms) + LEASE_MS
        partition.fail_listing(run.worker_id)
    partition.tick(MIN_UNRESPONSIVE_MS)
    partition.entries["w9"] = make_entry()
    partition.list_workers()
    named = frozenset({silent.worker_id, "w9"})
    partition.apply(IncarnationsListed(**partition.event_times(), worker_ids=named))
    partition.tick(2 * LEASE_MS)
    lines = [vars(record) for record in caplog.records if record.message == "run lost"]
    found = {line["worker"]: line for line in lines}
    assert found[silent.worker_id]["why"] == "lease lapsed"
    assert found[silent.worker_id]["heard_ms"] > 0
    assert found[silent.worker_id]["named_ms"] > MIN_UNRESPONSIVE_MS
    assert found[crashed.worker_id]["why"] == "its machine is in another life"
    assert found[crashed.worker_id]["is_confirmed"] is True
    assert found[crashed.worker_id]["heard_ms"] < 0
    assert found[crashed.worker_id]["named_ms"] is None
    assert found[crashed.worker_id]["silent_workers"] == 1
