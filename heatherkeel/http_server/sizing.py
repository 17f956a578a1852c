"""Divides the memory and the descriptors of a process between itself and its clients."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from result import Err, Ok, Result

from .const import CONNECTION_BYTES, SOCKET_BUFFER_BYTES
from .models import ServerLimits
from .settings import ServingSettings

MB: Final = 1_000_000
MIB: Final = 1 << 20
OWN_MEMORY_BYTES: Final = 64 * MB
"""Memory of a process with its libraries and without any work."""
MEMORY_PARTS: Final = 3
"""What is left is divided equally: clients, large jobs, and the process's other work."""
FILE_DESCRIPTORS: Final = 200
"""Descriptors that the platform keeps for files."""
OWN_DESCRIPTORS_DIVISOR: Final = 2
"""One in so many of the others is kept for the store, the workers and the instances asked."""
CALLER_DESCRIPTORS_DIVISOR: Final = 4
PEER_DESCRIPTORS_DIVISOR: Final = 8
READINESS_DESCRIPTORS_DIVISOR: Final = 16
READINESS_CONNECTIONS: Final = 32
"""Connections for readiness and metrics, which few clients read."""
READINESS_GRACE_S: Final = 0.5
"""How long a connection for readiness may stand still while there is no room, in seconds: a load
balancer gives up after a second or two."""
READINESS_BODY_BYTES: Final = 1 * MB
"""Memory of the answers of metrics that are being sent, in bytes."""
MIN_CONNECTIONS: Final = 8
LARGEST_REQUEST_BYTES: Final = 5 * MB
"""Memory of the largest job while it is read and stored, in bytes."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessSize:
    """What a process may use."""

    memory_bytes: int
    descriptors: int


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessLimits:
    """The limits of a process's servers and of what it keeps for callers."""

    callers: ServerLimits
    readiness: ServerLimits
    peer_connections: int
    job_bytes: int
    """Most memory of large jobs in all partitions together."""


def divide(size: ProcessSize, settings: ServingSettings) -> Result[ProcessLimits, str]:
    """Return the limits of a process; the error says which settings can't hold together."""
    free_bytes = max(0, size.memory_bytes - OWN_MEMORY_BYTES)
    sockets = max(0, size.descriptors - FILE_DESCRIPTORS)
    client_bytes = free_bytes // MEMORY_PARTS
    readiness = settings.readiness_connections or min(
        READINESS_CONNECTIONS, sockets // READINESS_DESCRIPTORS_DIVISOR
    )
    readiness_bytes = readiness * CONNECTION_BYTES + READINESS_BODY_BYTES
    caller_bytes = max(0, client_bytes - readiness_bytes)
    callers = settings.caller_connections or min(
        sockets // CALLER_DESCRIPTORS_DIVISOR, caller_bytes // 2 // CONNECTION_BYTES
    )
    peers = settings.peer_connections or sockets // PEER_DESCRIPTORS_DIVISOR
    request_bytes = settings.request_memory_mib * MIB or caller_bytes // 2
    limits = ProcessLimits(
        callers=_make_limits(settings, connections=callers, body_bytes=request_bytes),
        readiness=ServerLimits(
            connections=readiness,
            body_bytes=READINESS_BODY_BYTES,
            fields=settings.max_headers,
            grace_s=min(READINESS_GRACE_S, settings.grace_ms / 1000),
            read_timeout_s=settings.read_timeout_ms / 1000,
            socket_buffer_bytes=SOCKET_BUFFER_BYTES,
        ),
        peer_connections=peers,
        job_bytes=settings.job_memory_mib * MIB or free_bytes // MEMORY_PARTS,
    )
    fault = (
        _find_small_part(size, limits)
        or _find_memory_fault(size, limits, free_bytes=free_bytes)
        or _find_descriptor_fault(size, limits, sockets=sockets)
        or _find_time_fault(settings)
    )
    return Err(fault) if fault else Ok(limits)


def _make_limits(settings: ServingSettings, *, connections: int, body_bytes: int) -> ServerLimits:
    return ServerLimits(
        connections=connections,
        body_bytes=body_bytes,
        fields=settings.max_headers,
        grace_s=settings.grace_ms / 1000,
        read_timeout_s=settings.read_timeout_ms / 1000,
        socket_buffer_bytes=SOCKET_BUFFER_BYTES,
    )


def _find_small_part(size: ProcessSize, limits: ProcessLimits) -> str | None:
    """Find a part that is too small for a single ordinary client."""
    of_size = f"with {size.memory_bytes / MB:.0f} MB and {size.descriptors} descriptors"
    fewest = min(limits.callers.connections, limits.readiness.connections, limits.peer_connections)
    if fewest < MIN_CONNECTIONS:
        return f"{of_size}, only {fewest} connections are left; {MIN_CONNECTIONS} are needed"
    if limits.callers.body_bytes < LARGEST_REQUEST_BYTES:
        return (
            f"{of_size}, {limits.callers.body_bytes / MB:.1f} MB are left for requests; "
            f"the largest one takes {LARGEST_REQUEST_BYTES / MB:.1f}"
        )
    return None


def _find_memory_fault(size: ProcessSize, limits: ProcessLimits, *, free_bytes: int) -> str | None:
    connections = limits.callers.connections + limits.readiness.connections
    taken = connections * CONNECTION_BYTES + limits.callers.body_bytes
    taken += limits.readiness.body_bytes + limits.job_bytes
    most = free_bytes * (MEMORY_PARTS - 1) // MEMORY_PARTS
    if taken <= most + MB:
        return None
    return (
        f"connections, requests and large jobs take {taken / MB:.0f} MB; of "
        f"{size.memory_bytes / MB:.0f} MB "
        f"they may take {most / MB:.0f}"
    )


def _find_descriptor_fault(size: ProcessSize, limits: ProcessLimits, *, sockets: int) -> str | None:
    taken = limits.callers.connections + limits.readiness.connections + limits.peer_connections
    most = sockets - sockets // OWN_DESCRIPTORS_DIVISOR
    if taken <= most:
        return None
    return (
        f"clients may open {taken} connections; of {size.descriptors} descriptors "
        f"they may take {most}"
    )


def _find_time_fault(settings: ServingSettings) -> str | None:
    if settings.grace_ms <= settings.read_timeout_ms:
        return None
    return (
        f"grace_ms is {settings.grace_ms}, more than read_timeout_ms ({settings.read_timeout_ms})"
    )
