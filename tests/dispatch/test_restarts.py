"""Workers start again under the ids that they had; pure decisions."""

from __future__ import annotations

from heatherkeel.dispatch.const import LEASE_MS

from .partition import Partition
from .test_losses import start_on


def test_lease_of_a_worker_that_started_again_lapses_by_its_new_clock() -> None:
    """Guards against tasks that wait for good, since a lease counts by the earlier life's clock."""
    partition = Partition(workers=1)
    start_on(partition, "w0")
    partition.effects.clear()
    partition.restart("w0")
    for _ in range(2):
        partition.list_exactly("w0")
    (again,) = partition.start_all()
    worker = partition.state.workers["w0"]
    worker.lease_until_ms = max(worker.lease_until_ms, worker.clock_at(partition.now_ms) + LEASE_MS)
    partition.fail("w0")
    partition.tick(LEASE_MS * 2)
    assert again.task.is_waiting()
