"""Border models of the settings; units are in the key names."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta

from heatherkeel.catalogue.const import MAX_NAME_CHARS, NAME_PATTERN
from heatherkeel.helpers.faults import SECRET

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
    """Who this process is; `zones` lists every availability zone, its own among them."""

    id: ShortName
    zone: ShortName
    zones: Annotated[list[ShortName], Meta(min_length=1, max_length=256)]


class ListenSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Where a port is opened; port 0 lets the system choose."""

    bind: BindAddress = "127.0.0.1:0"


class AdminSettings(ListenSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The administration port; with both files it speaks TLS.

    Tokens go over this port, so an address that other machines reach needs TLS, or
    `allow_plain` where something in front of it does that.
    """

    certfile: FilePath = ""
    keyfile: FilePath = ""
    allow_plain: bool = False
    write_timeout_ms: Milliseconds = 10_000
    """How long an edit waits for the log before its outcome is called unknown."""


class PeersSettings(ListenSettings, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The port for peers, and whom to ask for a state while the platform is down.

    `seeds` are peer addresses of entry instances in the own availability zone; while the
    platform answers, all peers are known from the log.
    """

    seeds: Annotated[list[HostPort], Meta(max_length=64)] = []


class PlatformSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """How the platform's services are reached."""

    address: HostPort
    stream: ShortName = "fleet"
    request_timeout_ms: Milliseconds = 2_000
    poll_wait_ms: Milliseconds = 5_000
    batch_interval_ms: Annotated[int, Meta(ge=0, le=1_000)] = 5
    instances_interval_ms: Milliseconds = 500


class RoutingSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Routing lease of an entry instance, and how often it is renewed."""

    lease_ms: Milliseconds = 15_000
    renew_interval_ms: Milliseconds = 4_000


class SnapshotSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """When the state is written back into the log, in records and in log time.

    The interval must be a small part of the platform's retention. An author that has not
    finished after `overtake_ms` is taken for dead.
    """

    interval_records: Annotated[int, Meta(ge=1, le=10_000_000)] = 20_000
    interval_ms: Milliseconds = 600_000
    overtake_ms: Milliseconds = 60_000
    check_interval_ms: Milliseconds = 1_000


class StopSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A planned stop: how long callers are still taken after `/readyz` says 503.

    It has to be longer than the balancer's probe interval, or a caller meets a closed port.
    """

    readiness_wait_ms: Annotated[int, Meta(ge=0, le=600_000)] = 2_000


class TeamSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The token with which a team's operators sign their edits."""

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
    teams: dict[ShortName, TeamSettings] = {}
