"""Handlers for jobs: submit, look up, list, cancel and resolve jobs."""

from __future__ import annotations

from typing import Any, Final, TypeVar

import msgspec
from result import Err, Ok, Result

from heatherkeel.core.models import Accepted, RecordBody, Rejected, RejectReason
from heatherkeel.fleetlog.writer import WriteFailure
from heatherkeel.helpers.faults import collect_faults, format_path
from heatherkeel.jobs.const import MAX_BATCH
from heatherkeel.jobs.models import FinishedJob, Job, JobSpec, JobStatus, Resources, job_team
from heatherkeel.jobs.records import JobCancel, JobResolve, JobSubmit, Resolution

from .bodies import async_read_body, invalid_body
from .const import MAX_JOBS_BODY_BYTES, MAX_JOBS_LISTED, RETRY_AFTER_S
from .models import Access, Answer, Call, FieldFault, Problem, Reply
from .reasons import ApiRefusal
from .routes import route

STATUS_OF_REASON: Final = {
    RejectReason.ALREADY_EXISTS: 409,
    RejectReason.CONFLICT: 409,
    RejectReason.EXPIRED: 409,
    RejectReason.NOT_FOUND: 404,
    RejectReason.NOT_OWNER: 403,
    RejectReason.QUOTA: 429,
    RejectReason.STALE_VERSION: 412,
    RejectReason.WRONG_STATE: 409,
}
DEFAULT_STATUS: Final = 422
ModelT = TypeVar("ModelT")


class JobView(msgspec.Struct, frozen=True, kw_only=True):
    """A job as shown by the API; times in log milliseconds."""

    job: str
    status: JobStatus
    version: int
    attempt: int
    reason: str = ""
    instance: str = ""
    failures: int = 0
    submitted_ms: int = 0
    changed_ms: int = 0
    not_before_ms: int = 0
    held: Resources | None = None
    spec: JobSpec | None = None


class JobList(msgspec.Struct, frozen=True, kw_only=True):
    """Jobs in force at `offset`, by id; `more` is true if the list was truncated."""

    offset: int
    more: bool
    jobs: list[JobView]


class Cancellation(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The jobs to cancel."""

    jobs: list[str]


class ResolutionRequest(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The owner's decision about a job of unknown outcome, as read at `version`."""

    resolution: Resolution
    version: int


@route("PUT", "/jobs/{name}", access=Access.EDIT)
async def async_submit_job(call: Call) -> Reply:
    """Submit a job; submitting the same job again doesn't run it twice."""
    spec = await _async_read(call, JobSpec)
    if isinstance(spec, Err):
        return Err(spec.err_value)
    job_id = _full_id(call, call.params["name"])
    written = await _async_write(call, JobSubmit(job=job_id, team=call.team, spec=spec.ok_value))
    if isinstance(written, Err):
        return Err(written.err_value)
    return _show(call, job_id)


@route("GET", "/jobs/{name}", access=Access.READ)
async def async_get_job(call: Call) -> Reply:
    """Look up one job; a job of another team needs its full id."""
    return _show(call, _full_id(call, call.params["name"]))


@route("GET", "/jobs", access=Access.READ)
async def async_list_jobs(call: Call) -> Reply:
    """List jobs, filtered by `team` and `status` in the query."""
    fleet = call.node.state.fleet
    known: dict[str, Job | FinishedJob] = {**fleet.jobs.finished, **fleet.jobs.live}
    wanted = [
        _view(job_id, known[job_id])
        for job_id in sorted(known)
        if _matches_query(job_id, known[job_id], call.request.query)
    ]
    listed = JobList(
        offset=fleet.next_offset - 1,
        more=len(wanted) > MAX_JOBS_LISTED,
        jobs=wanted[:MAX_JOBS_LISTED],
    )
    return Ok(Answer(value=listed))


@route("POST", "/job-cancellations", access=Access.EDIT)
async def async_cancel_jobs(call: Call) -> Reply:
    """Cancel jobs in batches; each batch is one record and is decided as a whole."""
    requested = await _async_read(call, Cancellation)
    if isinstance(requested, Err):
        return Err(requested.err_value)
    job_ids = [_full_id(call, name) for name in requested.ok_value.jobs]
    for start in range(0, len(job_ids), MAX_BATCH):
        body = JobCancel(jobs=tuple(job_ids[start : start + MAX_BATCH]), team=call.team)
        written = await _async_write(call, body)
        if isinstance(written, Err):
            return Err(written.err_value)
    return Ok(Answer(value={job_id: _status_of(call, job_id) for job_id in job_ids}))


@route("POST", "/jobs/{name}/resolution", access=Access.EDIT)
async def async_resolve_job(call: Call) -> Reply:
    """Resolve a job whose outcome is unknown."""
    requested = await _async_read(call, ResolutionRequest)
    if isinstance(requested, Err):
        return Err(requested.err_value)
    job_id = _full_id(call, call.params["name"])
    body = JobResolve(
        job=job_id,
        team=call.team,
        expected_version=requested.ok_value.version,
        resolution=requested.ok_value.resolution,
    )
    written = await _async_write(call, body)
    return Err(written.err_value) if isinstance(written, Err) else _show(call, job_id)


def _full_id(call: Call, name: str) -> str:
    """Return `team:name`; a bare name belongs to the caller's team."""
    return name if ":" in name else f"{call.team}:{name}"


async def _async_read(call: Call, model: type[ModelT]) -> Result[ModelT, Problem]:
    read = await async_read_body(call.request, limit_bytes=MAX_JOBS_BODY_BYTES)
    if isinstance(read, Err):
        return read
    try:
        document: Any = msgspec.json.decode(read.ok_value)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as err:
        return Err(_invalid([FieldFault(field="body", reason=f"not JSON: {err}")]))
    faults = [
        FieldFault(field=format_path(fault.path), reason=fault.reason)
        for fault in collect_faults(document, model)
    ]
    return Err(_invalid(faults)) if faults else Ok(msgspec.convert(document, model))


async def _async_write(call: Call, body: RecordBody) -> Result[Accepted, Problem]:
    """Append a record and wait until the fold here has decided it.

    Job records are idempotent: a submission, cancellation or resolution that was accepted
    before changes nothing when it is sent again.
    """
    written = await call.node.writer.async_write(
        body, timeout_s=call.node.settings.admin.write_timeout_ms / 1000
    )
    match written:
        case Err(failure):
            return Err(_not_written(failure))
        case Ok(settled) if isinstance(settled.outcome, Rejected):
            return Err(_refused(settled.outcome))
        case Ok(settled):
            return Ok(settled.outcome)


def _refused(outcome: Rejected) -> Problem:
    status = STATUS_OF_REASON.get(outcome.reason, DEFAULT_STATUS)
    return _problem(status, outcome.reason, "The log's rules refused it", outcome.detail)


def _not_written(failure: WriteFailure) -> Problem:
    if failure is WriteFailure.TOO_LARGE:
        return _problem(413, failure, "The record is too large")
    detail = (
        "It may have been accepted: send the same again, it is taken once at most."
        if failure is WriteFailure.UNKNOWN
        else "It was not accepted, and will not be later."
    )
    return Problem(
        status=503,
        kind=failure,
        title="The platform's log did not confirm it",
        detail=detail,
        headers={"retry-after": str(RETRY_AFTER_S)},
    )


def _show(call: Call, job_id: str) -> Reply:
    jobs = call.node.state.fleet.jobs
    job = jobs.live.get(job_id) or jobs.finished.get(job_id)
    if job is None:
        detail = f"{job_id}: never submitted, or forgotten a day after its end"
        return Err(_problem(404, ApiRefusal.NOT_FOUND, "No such job", detail))
    return Ok(Answer(value=_view(job_id, job), headers={"etag": f'"{job.version}"'}))


def _view(job_id: str, job: Job | FinishedJob) -> JobView:
    if isinstance(job, FinishedJob):
        return JobView(
            job=job_id,
            status=job.status,
            version=job.version,
            attempt=job.attempt,
            reason=job.reason,
            changed_ms=job.ended_ms,
        )
    return JobView(
        job=job_id,
        status=job.status,
        version=job.version,
        attempt=job.attempt,
        reason="being cancelled" if job.cancelling else job.reason,
        instance=job.instance,
        failures=job.failures,
        submitted_ms=job.submitted_ms,
        changed_ms=job.changed_ms,
        not_before_ms=job.not_before_ms,
        held=job.reserved,
        spec=job.spec,
    )


def _status_of(call: Call, job_id: str) -> str:
    jobs = call.node.state.fleet.jobs
    job = jobs.live.get(job_id)
    if job is not None:
        return "cancelling" if job.cancelling else job.status
    finished = jobs.finished.get(job_id)
    return "not_found" if finished is None else finished.status


def _matches_query(job_id: str, job: Job | FinishedJob, query: dict[str, str]) -> bool:
    team_matches = query.get("team", job_team(job_id)) == job_team(job_id)
    return team_matches and query.get("status", job.status) == job.status


def _invalid(faults: list[FieldFault]) -> Problem:
    return invalid_body(faults, title="The body is not valid")


def _problem(status: int, kind: str, title: str, detail: str = "") -> Problem:
    return Problem(status=status, kind=kind, title=title, detail=detail)
