"""Measures what a repeated job costs its owner, by the number of its occurrences.

`script/measure repeated_jobs` prints one line of JSON for each number. All occurrences are due,
some tasks run, and one after the other ends. Times are of one process on one core, without any I/O.
"""

from __future__ import annotations

import sys
from time import perf_counter
from typing import Any, Final

import msgspec
from absl import flags

from heatherkeel.dispatch.events import (
    JobCanceled,
    JobSubmitted,
    StartAnswered,
    Tick,
    WorkerAnswered,
)
from heatherkeel.dispatch.load import measure_pools
from heatherkeel.dispatch.records import (
    PROGRESS_PREFIX,
    REQUEST_PREFIX,
    StoredRequest,
    encode_progress,
    encode_request,
)
from heatherkeel.dispatch.recovery import read_records, restore_jobs
from heatherkeel.dispatch.state import PartitionState
from heatherkeel.platform.callers import JobRequest, StepRequest
from heatherkeel.platform.framing import KeyedRecord

from .dispatching import SERVICE, Bench, Size
from .registry import measurement

TIMES: Final = (100, 1000, 20_000, 1_000_000)
MAX_ENDS: Final = 5000
TICK_ENDS: Final = 50
"""Ends between two ticks, with which further occurrences begin."""
MAX_S: Final = 30.0
"""Longest time for the ends of one number, in seconds."""
JOB: Final = f"{1:016x}"
INTERVAL_MS: Final = 60_000


class Measured(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the result; `us` are microseconds of wall time."""

    occurrences: int
    submit_us: float
    ends: int
    """Tasks that ended before the rest was measured."""
    listing_us: float
    """One listing with an end, and the start that follows."""
    load_us: float
    """One load report of the partition."""
    encode_us: float
    record_bytes: int
    restore_us: float
    cancel_us: float


class RepeatedBench(Bench):
    """A partition with one repeated job whose occurrences are all due."""

    def __init__(self, times: int) -> None:
        super().__init__(Size(name="repeated", workers=2, waiting=0))
        self.now_ms = 60_000 + times * INTERVAL_MS
        step = StepRequest(count=1, cpu=8000, memory_mb=100, estimated_ms=500)
        self.request = JobRequest(
            spec="s", steps=(step,), repeat_count=times, interval_ms=INTERVAL_MS
        )

    def submit_repeated(self) -> None:
        """Submit the job."""
        self.give(
            JobSubmitted(
                **self.at(),
                job_id=JOB,
                queue="q",
                service=SERVICE,
                request=self.request,
                accepted_wall_ms=self.now_ms,
            )
        )

    def answer_starts(self) -> None:
        """Answer all starts that are planned."""
        planned, self.planned = self.planned, []
        for run in planned:
            self.give(StartAnswered(**self.at(), run=run, error=None))

    def end_one(self) -> bool:
        """Let the run end that was started first; returns whether there was one."""
        self.answer_starts()
        runs = [run for worker in self.state.workers.values() for run in worker.runs.values()]
        if runs:
            self.list_ends(runs[0].worker_id, runs[:1])
        return bool(runs)

    def restore(self, progress: bytes) -> None:
        """Restore the job as a next owner does."""
        stored = StoredRequest(
            queue="q", service=SERVICE, accepted_wall_ms=self.now_ms, request=self.request
        )
        values = {REQUEST_PREFIX: encode_request(stored), PROGRESS_PREFIX: progress}
        records = [
            KeyedRecord(key=f"{prefix}{JOB}", value=value, offset=offset)
            for offset, (prefix, value) in enumerate(values.items())
        ]
        state = PartitionState(token=2, lease_ms=6000, status_ms=1000)
        state.now_ms = state.wall_ms = self.now_ms
        restore_jobs(state, read_records(records))


def measure(times: int) -> Measured:
    """Measure one number of occurrences."""
    bench = RepeatedBench(times)
    submit_us = _time_us(bench.submit_repeated)
    began_s = perf_counter()
    ends = 0
    while ends < min(times - 1, MAX_ENDS) and perf_counter() - began_s < MAX_S and bench.end_one():
        ends += 1
        if ends % TICK_ENDS == 0:
            bench.give(Tick(**bench.at()))
    spent = bench.spent[WorkerAnswered][2:]
    job = bench.state.find_job(JOB)
    assert job is not None, "not all occurrences have ended"
    progress = encode_progress(job)
    return Measured(
        occurrences=times,
        submit_us=submit_us,
        ends=ends,
        listing_us=round(1e6 * sum(spent) / max(1, len(spent)), 1),
        load_us=_time_us(lambda: measure_pools(bench.state)),
        encode_us=_time_us(lambda: encode_progress(job)),
        record_bytes=len(progress),
        restore_us=_time_us(lambda: bench.restore(progress)),
        cancel_us=_time_us(lambda: bench.give(JobCanceled(**bench.at(), job_id=JOB))),
    )


def _time_us(call: Any) -> float:
    began_s = perf_counter()
    call()
    return round(1e6 * (perf_counter() - began_s), 1)


@measurement(
    "repeated_jobs",
    help="What a repeated job costs its owner, by the number of its occurrences.",
    define=lambda values: None,
)
def run_repeated_jobs(values: flags.FlagValues) -> int:
    """Measure every number."""
    for times in TIMES:
        sys.stdout.write(msgspec.json.encode(measure(times)).decode() + "\n")
        sys.stdout.flush()
    return 0
