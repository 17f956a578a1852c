"""Models of the settings file; units are in the key names."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta
from result import Result

from heatherkeel.catalogue.const import MAX_NAME_CHARS, NAME_PATTERN
from heatherkeel.helpers.faults import SECRET
from heatherkeel.http_server.settings import ServingSettings
from heatherkeel.http_server.sizing import MIB, ProcessLimits, ProcessSize, divide

from .const import ADDRESS_PATTERN, BIND_PATTERN

BindAddress = Annotated[
    str,
    Meta(
        pattern=BIND_PATTERN,
        description="an IP number and a port, 0 for any, such as 127.0.0.1:8080",
    ),
]
HostPort = Annotated[
    str,
    Meta(
        pattern=ADDRESS_PATTERN,
        description="an IP number and a port from 1 to 65535, such as 10.0.0.1:8080",
    ),
]
ShortName = Annotated[
    str,
    Meta(
        pattern=NAME_PATTERN,
        max_length=MAX_NAME_CHARS,
        description="up to 64 lower-case letters, digits, '.', '_' or '-', with a letter or "
        "digit at both ends",
    ),
]
FilePath = Annotated[str, Meta(max_length=4096, description="the path of a file")]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]


class InstanceSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Identity of this process; `zones` lists all availability zones, including its own."""

    id: ShortName
    zone: ShortName
    zones: Annotated[list[ShortName], Meta(min_length=1, max_length=256)]


class ListenSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Bind address of a server; port 0 lets the system choose a port."""

    bind: BindAddress = "127.0.0.1:0"


class AdminSettings(ListenSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The administration port; it uses TLS if both files are set.

    Tokens are sent over this port, so a bind address other than loopback requires TLS, or
    `allow_plain` if a proxy in front of it terminates TLS.
    """

    certfile: FilePath = ""
    keyfile: FilePath = ""
    allow_plain: bool = False
    write_timeout_ms: Milliseconds = 10_000
    """How long an edit waits for the log before its outcome is reported as unknown."""


class PeersSettings(ListenSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The port for peers, and the peers to fetch a state from while the platform is down.

    `seeds` are peer addresses of entry instances in the same availability zone; while the
    platform is available, all peers are known from the log.
    """

    seeds: Annotated[list[HostPort], Meta(max_length=64)] = []


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Connection to the platform's services."""

    address: HostPort
    stream: ShortName = "fleet"
    request_timeout_ms: Milliseconds = 2_000
    poll_wait_ms: Milliseconds = 5_000
    batch_interval_ms: Annotated[int, Meta(ge=0, le=1_000)] = 5
    instances_interval_ms: Milliseconds = 500


class RoutingSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Routing lease of an entry instance and its renewal interval."""

    lease_ms: Milliseconds = 15_000
    renew_interval_ms: Milliseconds = 4_000


class SnapshotSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """When a snapshot of the state is written to the log, in records and in log time.

    The interval must be much shorter than the platform's retention. An author that hasn't
    finished after `overtake_ms` is presumed dead.
    """

    interval_records: Annotated[int, Meta(ge=1, le=10_000_000)] = 20_000
    interval_ms: Milliseconds = 600_000
    overtake_ms: Milliseconds = 60_000
    check_interval_ms: Milliseconds = 1_000


class StopSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A planned stop: how long requests are still accepted after `/readyz` returns 503.

    It must be longer than the load balancer's probe interval, or connections are refused.
    """

    readiness_wait_ms: Annotated[int, Meta(ge=0, le=600_000)] = 2_000


class LimitSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What this process may use; a part of it is left to its clients."""

    memory_mib: Annotated[int, Meta(ge=1, le=1_000_000)] = 300
    max_descriptors: Annotated[int, Meta(ge=1, le=1_000_000)] = 4100

    def size(self) -> ProcessSize:
        """Return what this process may use."""
        return ProcessSize(memory_bytes=self.memory_mib * MIB, descriptors=self.max_descriptors)


class TeamSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The token that authenticates the edits of a team's operators."""

    token: Annotated[str, Meta(min_length=8, max_length=256, extra=dict(SECRET))]


class EntrySettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of `heatherkeel entry`."""

    instance: InstanceSettings
    platform: PlatformSettings
    http: ListenSettings = ListenSettings()
    admin: AdminSettings = AdminSettings()
    peers: PeersSettings = PeersSettings()
    routing: RoutingSettings = RoutingSettings()
    snapshots: SnapshotSettings = SnapshotSettings()
    stop: StopSettings = StopSettings()
    limits: LimitSettings = LimitSettings()
    serving: ServingSettings = ServingSettings()
    teams: dict[ShortName, TeamSettings] = {}

    def divide_limits(self) -> Result[ProcessLimits, str]:
        """Return what clients may take of this process; the error says why it can't be divided."""
        return divide(self.limits.size(), self.serving)
