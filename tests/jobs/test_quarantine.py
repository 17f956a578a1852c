"""Quarantine of workers that fail all jobs, without counting jobs that fail everywhere."""

from __future__ import annotations

from heatherkeel.core.models import RejectReason
from heatherkeel.jobs.const import QUARANTINE_MS
from heatherkeel.jobs.quarantine import is_quarantined
from heatherkeel.jobs.records import TaskExit

from .conftest import Fleet, spec_of


def fail(fleet: Fleet, job_id: str, worker: str) -> None:
    fleet.end(fleet.run(worker, job_id, spec_of(idempotent=True)), TaskExit.FAILED)


def test_three_different_jobs_quarantine_a_worker(fleet: Fleet) -> None:
    # A faulty worker fails each job at once, so it is always free and would attract all jobs.
    fail(fleet, "sheetal:a", "w0")
    fail(fleet, "sheetal:a", "w0")
    fail(fleet, "sheetal:b", "w0")
    assert not is_quarantined(fleet.state, "w0")
    fail(fleet, "sheetal:c", "w0")
    fleet.submit("sheetal:d")
    assert fleet.refuse(fleet.placement("w0", "sheetal:d")) is RejectReason.IN_USE
    fleet.now_ms += QUARANTINE_MS
    fleet.place("w0", "sheetal:d")


def test_a_success_clears_a_worker(fleet: Fleet) -> None:
    task = fleet.run("w0", "sheetal:good")
    for name in ("sheetal:a", "sheetal:b", "sheetal:c"):
        fail(fleet, name, "w0")
    assert is_quarantined(fleet.state, "w0")
    fleet.end(task)
    assert not is_quarantined(fleet.state, "w0")


def test_jobs_that_fail_everywhere_release_the_workers(fleet: Fleet) -> None:
    # The jobs of a broken release fail on every worker. The first failures look like a faulty
    # worker; retries on other workers show that the jobs are at fault.
    for name in ("sheetal:a", "sheetal:b", "sheetal:c"):
        fail(fleet, name, "w0")
    assert is_quarantined(fleet.state, "w0")
    fail(fleet, "sheetal:a", "w1")
    assert not is_quarantined(fleet.state, "w0")
    assert fleet.state.jobs.workers.get("w1") is None


def test_quarantine_is_limited_to_a_part_of_a_pool(fleet: Fleet) -> None:
    # If a shared dependency fails on every worker, most of the pool must stay in service.
    for worker in ("w0", "w1", "w2"):
        for number in range(3):
            fail(fleet, f"sheetal:{worker}-{number}", worker)
    quarantined = [name for name in ("w0", "w1", "w2") if is_quarantined(fleet.state, name)]
    assert quarantined == ["w0"]
