"""What can be told to the stand-in of the users' platform, and what it answers."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

Name = Annotated[str, Meta(min_length=1, max_length=200)]
"""A name: at most 255 bytes fit into a key of the store."""
Cpu = Annotated[int, Meta(ge=0)]
"""Thousandths of a core."""


class MachineChange(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What the machines' list says of a machine from now on."""

    machine: Name
    pool: Name
    zone: Name
    rack: Name
    state: Literal["up", "down"]
    kind: Name = "a"


class Beat(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="camel"):
    """A worker's heartbeat; `born` is when its life began, in milliseconds since 1970."""

    id: Name
    machine: Name
    address: Name
    born: Annotated[int, Meta(gt=0)]
    state: Literal["ready", "draining"]
    remaining_ms: Annotated[int, Meta(ge=0)] | None = None
    cpu: Cpu


class BeatAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True, rename="camel"):
    """Whether the life goes on; else in which pool, and after how long, the next one begins."""

    life: Literal["go on", "end"]
    pool: str = ""
    away_ms: int | None = None


class BeginQuestion(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="camel"
):
    """Asks whether a life may begin; `is_boot` at the first one of a process."""

    machine: Name
    pool: Name
    is_boot: bool = False


class BeginAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Whether a life may begin now, and in which pool."""

    life: Literal["begin", "off"]
    pool: str


class LifeOver(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="camel"
):
    """A worker's life is over; when it is leaving, none follows."""

    id: Name
    machine: Name
    born: Annotated[int, Meta(gt=0)]
    is_leaving: bool = False


class NamedService(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A service of a configuration; its machines are off if it is on standby."""

    name: Name
    standby: bool = False


class Configuration(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A configuration as the operator writes it."""

    version: Annotated[int, Meta(gt=0)]
    routes: list[dict[str, Any]]
    services: list[Name | NamedService]
    workspaces: list[dict[str, Any]] = []


class Wave(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename="camel"):
    """A demand for maintenance of some machines."""

    wave: Annotated[int, Meta(ge=0)]
    machines: list[Name]
    duration_s: Annotated[float, Meta(gt=0)]
    max_count: Annotated[int, Meta(ge=1)]
