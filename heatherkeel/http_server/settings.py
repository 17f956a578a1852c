"""Settings by which a process limits what its clients may make it hold."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from .const import GRACE_S, MAX_FIELDS, READ_TIMEOUT_S

Count = Annotated[int, Meta(ge=0, le=1_000_000)]
Mebibytes = Annotated[int, Meta(ge=0, le=1_000_000)]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]


class ServingSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits for clients; 0 means that the process's memory and descriptors decide."""

    caller_connections: Count = 0
    """Most open connections of callers."""
    readiness_connections: Count = 0
    """Most open connections to the address for readiness and metrics."""
    peer_connections: Count = 0
    """Most open connections to the port for other instances."""
    request_memory_mib: Mebibytes = 0
    """Most memory of callers' requests in progress, in MiB."""
    job_memory_mib: Mebibytes = 0
    """Most memory of large jobs in all partitions together, in MiB."""
    max_headers: Annotated[int, Meta(ge=8, le=4096)] = MAX_FIELDS
    """Most headers of a request."""
    grace_ms: Milliseconds = round(1000 * GRACE_S)
    """How long a connection may stand still while there is no room for others."""
    read_timeout_ms: Milliseconds = round(1000 * READ_TIMEOUT_S)
    """Timeout for a request's head."""
