"""Passes what callers have stored for a partition on to its owner, as events."""

from __future__ import annotations

from collections.abc import Callable

from heatherkeel.directory.coverage import Reading
from heatherkeel.directory.directory import Directory
from heatherkeel.directory.follower import TopicFollower, async_read_newest_with_retry
from heatherkeel.helpers.clock import monotonic_ms, wall_ms
from heatherkeel.ownership.const import JOBS_TOPIC
from heatherkeel.platform.framing import KeyedRecord
from heatherkeel.platform.store import StoreClient

from .const import FOLLOW_WAIT_MS
from .events import Event, JobArrived, JobCanceled, JobSubmitted
from .records import StoredRequest
from .recovery import StoredJobs, read_records


class JobFeed:
    """Reads the submissions and cancels of a partition: first the stored ones, then new ones."""

    def __init__(
        self,
        *,
        store: StoreClient,
        partition: int,
        directory: Directory,
        handle_event: Callable[[Event], None],
        is_dropped: Callable[[str, StoredRequest], bool],
    ) -> None:
        self.directory = directory
        self.handle_event = handle_event
        self.is_dropped = is_dropped
        """Returns whether a submission is ignored, since its caller was told that it never runs."""
        self.follower = TopicFollower(
            store=store,
            topic=JOBS_TOPIC,
            partition=partition,
            on_records=self._handle_records,
            on_keys=lambda keys: None,
            wait_ms=FOLLOW_WAIT_MS,
        )
        self.is_following = False

    async def async_read(self) -> list[KeyedRecord]:
        """Return the newest records; `async_run` continues after them."""
        sent_ms = monotonic_ms()
        read = await async_read_newest_with_retry(
            self.follower.store, JOBS_TOPIC, self.follower.partition
        )
        self.follower.begin_after(Reading(known_end=read.end, log_end=read.end, seen_ms=sent_ms))
        return read.records

    async def async_run(self) -> None:
        """Follow the records from then on."""
        self.is_following = True
        await self.follower.async_run()

    def as_of_ms(self) -> int | None:
        """Return as of when all records are known, on the monotonic clock; None before it runs."""
        return self.follower.coverage.as_of_ms if self.is_following else None

    def next_offset(self) -> int | None:
        """Return the offset up to which records are known; None before it runs."""
        return self.follower.next_offset if self.is_following else None

    def record_versions(self, stored: StoredJobs) -> None:
        """Tell the directory by which versions of the configuration others have accepted jobs."""
        versions = [request.version for request in stored.requests.values()]
        self.directory.record_named_version(max(versions, default=0))

    def submit(self, stored: StoredJobs) -> None:
        """Submit the jobs without progress, and the requests with other workspaces' job IDs.

        The latter are rejected, so that their records are deleted. What is left of a forwarded job
        is forwarded again.
        """
        for job_id, request in stored.requests.items():
            progress = stored.progress.get(job_id)
            is_arrival = request.progress is not None
            if not is_arrival and (progress is None or progress.forwarded_to is not None):
                self._submit(job_id, request)
        for job_id, duplicates in stored.duplicates.items():
            for request in duplicates:
                self._submit(job_id, request)

    def pass_arrivals(self, stored: StoredJobs) -> None:
        """Pass on the jobs that other partitions have handed over."""
        for job_id, arrival in stored.arrivals.items():
            assert arrival.progress is not None, "it was handed over"
            self.handle_event(
                JobArrived(
                    now_ms=monotonic_ms(),
                    wall_ms=wall_ms(),
                    job_id=job_id,
                    stored=arrival,
                    progress=arrival.progress,
                )
            )

    def cancel(self, stored: StoredJobs) -> None:
        """Cancel the jobs whose callers have asked for that."""
        for job_id, workspace in stored.canceled.items():
            self.handle_event(
                JobCanceled(
                    now_ms=monotonic_ms(), wall_ms=wall_ms(), job_id=job_id, workspace=workspace
                )
            )

    def _handle_records(self, records: list[KeyedRecord]) -> None:
        stored = read_records(records)
        self.record_versions(stored)
        self.submit(stored)
        self.pass_arrivals(stored)
        self.cancel(stored)

    def _submit(self, job_id: str, request: StoredRequest) -> None:
        if self.is_dropped(job_id, request):
            return
        self.handle_event(
            JobSubmitted(
                now_ms=monotonic_ms(),
                wall_ms=wall_ms(),
                job_id=job_id,
                queue=request.queue,
                service=request.service,
                request=request.request,
                accepted_wall_ms=request.accepted_wall_ms,
                workspace=request.workspace,
                partitions=len(self.directory.state.layout.partitions_of(request.service)),
                terms=request.terms,
                version=request.version,
                partition=self._find_other_partition(request),
            )
        )

    def _find_other_partition(self, request: StoredRequest) -> int | None:
        """Return the partition that runs a job; None if that is this one."""
        is_here = request.partition == self.follower.partition
        return None if is_here else request.partition
