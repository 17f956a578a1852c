"""Records that operators and workers write: the configuration, waves and worker entries."""

from __future__ import annotations

from functools import lru_cache
from ipaddress import AddressValueError, IPv4Address
from math import isfinite
from typing import Final

import msgspec
from result import Err, Ok, Result

from .advice import Advisor
from .connections import MAX_PORT, MAX_PORT_DIGITS
from .ranges import Count, Duration, Factor, FloatDuration, Instant, Int64, Slack

MAX_CPU: Final = 4_096_000
"""Largest CPU capacity that an entry may report, in thousandths of a core."""
MAX_MEMORY_MB: Final = 1 << 28
"""Largest memory capacity that an entry may report, in MiB."""
MAX_KNOWN_ADDRESSES: Final = 4096
"""Number of workers' addresses that are remembered as checked."""
MAX_GPU: Final = 1 << 16
READY, DRAINING = "ready", "draining"


class Queue(msgspec.Struct, frozen=True, kw_only=True):
    """A route for callers: its jobs run on the workers of one service."""

    name: str
    host: str
    path_prefix: str = msgspec.field(name="pathPrefix")
    service: str
    target_latency_ms: Duration = msgspec.field(name="targetLatencyMs", default=1000)
    """Added to the critical path times `slack_factor` in a job's latency objective."""
    priority: Count = 0
    max_failures: Count = msgspec.field(name="maxAttempts", default=1)
    """How often a task may end as failed; other outcomes don't count."""
    slack_factor: Slack = msgspec.field(name="slackFactor", default=1.0)
    advisor: Advisor | None = msgspec.field(name="placementAdvisor", default=None)
    """Set if the advisor decides which workers may run a step."""
    is_public: bool = msgspec.field(name="public", default=False)
    """Its callers need no key, and its jobs belong to no workspace."""

    def address(self) -> str:
        """Return the host and path by which callers know the queue, whatever its name is."""
        return f"{self.host}{self.path_prefix}"


class Capacity(msgspec.Struct, frozen=True, kw_only=True):
    """Resources of a machine or a task; CPU in thousandths of a core, memory in MiB."""

    cpu: Count = 0
    memory_mb: Count = msgspec.field(name="memMb", default=0)
    gpu: Count = 0


class Workspace(msgspec.Struct, frozen=True, kw_only=True):
    """A workspace: the callers that share its keys, its weight and its limit."""

    name: str
    keys: tuple[str, ...] = msgspec.field(name="apiKeys", default=())
    weight: Factor = 1.0
    """Its share when capacity is short, relative to others; also in jobs a second."""
    limit: Capacity = msgspec.field(name="maxCount", default_factory=Capacity)
    """What it may have running over all workers; an amount of 0 isn't limited."""


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A service, which is also a pool of machines."""

    name: str
    is_standby: bool = msgspec.field(name="standby", default=False)
    """Its machines are off and free of charge until they are moved to another pool."""


class RequestLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of callers' requests."""

    body_bytes: Count = msgspec.field(name="maxBodyBytes", default=262144)


class Configuration(msgspec.Struct, frozen=True, kw_only=True):
    """The operator's newest configuration, in full."""

    version: Int64
    queues: list[Queue] = msgspec.field(name="routes", default_factory=list)
    services: list[Service] = msgspec.field(default_factory=list)
    workspaces: list[Workspace] = msgspec.field(name="tenants", default_factory=list)
    limits: RequestLimits = msgspec.field(default_factory=RequestLimits)


class Wave(msgspec.Struct, frozen=True, kw_only=True):
    """Machines due for maintenance within a period, and how many may be down at once."""

    number: Int64 = msgspec.field(name="wave")
    machines: list[str]
    duration_s: FloatDuration = msgspec.field(name="durationS", default=60.0)
    max_down: Count = msgspec.field(name="maxCount", default=1)


class WorkerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A worker's entry, which it writes with each heartbeat."""

    service: str
    address: str
    zone: str = ""
    state: str = READY
    capacity: Capacity = msgspec.field(default_factory=Capacity)
    labels: list[str] = msgspec.field(default_factory=list)
    """Its kind and its rack."""
    machine: str = ""
    remaining_ms: Duration | None = msgspec.field(name="remainingMs", default=None)
    born: Instant = 0
    """Start time of this incarnation, in milliseconds since 1970; 0 if not reported."""

    def is_draining(self) -> bool:
        """Return whether the worker is about to leave."""
        return self.state != READY


class _WrittenCapacity(Capacity, frozen=True, kw_only=True):
    cpu: Count
    memory_mb: Count = msgspec.field(name="memMb")


class _WrittenEntry(WorkerEntry, frozen=True, kw_only=True):
    """The fields that every worker writes; an entry without one of them is rejected."""

    zone: str
    state: str
    capacity: _WrittenCapacity
    labels: list[str]


class _UnusedFields(msgspec.Struct, kw_only=True):
    """Further fields of an entry; they decide nothing, but show whether a worker wrote it."""

    version: str = ""
    slots: float = 0
    cold_remaining_ms: float = msgspec.field(name="coldRemainingMs", default=0)
    sequence: float = 0


def decode_configuration(value: bytes) -> Result[Configuration, str]:
    """Decode and validate the operator's configuration; the error contains no key."""
    decoded = _decode(value, Configuration)
    if isinstance(decoded, Err):
        return decoded
    fault = _find_workspace_fault(decoded.ok_value.workspaces)
    return Err(fault) if fault else decoded


def _find_workspace_fault(workspaces: list[Workspace]) -> str | None:
    names: set[str] = set()
    owners: dict[str, str] = {}
    for workspace in workspaces:
        name, limit = workspace.name, workspace.limit
        if not name or name in names:
            return f"workspace {name!r} has no name, or is listed twice"
        names.add(name)
        if min(limit.cpu, limit.memory_mb, limit.gpu) < 0:
            return f"workspace {name!r} has a negative limit"
        if not (workspace.weight >= 0 and isfinite(workspace.weight)):
            return f"workspace {name!r} has an invalid weight"
        for key in workspace.keys:
            if not key:
                return f"workspace {name!r} has an empty key"
            if owners.setdefault(key, name) != name:
                return f"workspaces {owners[key]!r} and {name!r} have the same key"
    return None


def decode_wave(value: bytes) -> Result[Wave, str]:
    """Decode one wave of maintenance."""
    return _decode(value, Wave)


def decode_worker(value: bytes) -> Result[WorkerEntry, str]:
    """Decode and validate a worker's entry; the error says why it can't be used.

    Other writers can add entries. An address that can't be dialled would end the calling process,
    an unknown state would take tasks off a healthy worker, and an implausible capacity would
    attract the jobs of a whole pool.
    """
    decoded = _decode(value, _WrittenEntry)
    if isinstance(decoded, Err):
        return decoded
    unused = _decode(value, _UnusedFields)
    if isinstance(unused, Err):
        return unused
    fault = _find_fault(decoded.ok_value)
    return Err(fault) if fault else decoded


def _find_fault(entry: WorkerEntry) -> str | None:
    if entry.state not in (READY, DRAINING):
        return f"state {entry.state!r} isn't known"
    if not _is_address(entry.address):
        return f"address {entry.address!r} isn't an IPv4 address and a port"
    capacity = entry.capacity
    if not (0 <= capacity.cpu <= MAX_CPU and 0 <= capacity.memory_mb <= MAX_MEMORY_MB):
        return "its capacity can't be that of a machine"
    if not 0 <= capacity.gpu <= MAX_GPU:
        return "its accelerators can't be those of a machine"
    return None


@lru_cache(maxsize=MAX_KNOWN_ADDRESSES)
def _is_address(address: str) -> bool:
    """Return whether an address can be dialled; workers repeat theirs with each heartbeat."""
    host, _, port = address.rpartition(":")
    try:
        IPv4Address(host)
    except AddressValueError:
        return False
    # The length comes first: int() raises above thousands of digits, and the first few of them say
    # nothing where the port begins with zeros.
    if len(port) > MAX_PORT_DIGITS or not (port.isdecimal() and port.isascii()):
        return False
    return 0 < int(port) <= MAX_PORT


def encode_wave_status(*, is_complete: bool) -> bytes:
    """Encode the value stored as a wave's status."""
    return msgspec.json.encode({"state": "complete" if is_complete else "active"})


def _decode(value: bytes, model: type) -> Result:  # type: ignore[type-arg]
    try:
        return Ok(msgspec.json.decode(value, type=model))
    except (ValueError, RecursionError) as err:
        return Err(str(err))
