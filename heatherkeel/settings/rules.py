"""Validation rules across several keys, in a registry that the loader runs."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any, Final, TypeVar, get_args, get_origin

import msgspec
from msgspec.structs import FieldInfo
from result import Err, Ok, Result

from heatherkeel.helpers.addresses import is_loopback
from heatherkeel.helpers.faults import (
    Fault,
    Path,
    fields_by_key,
    is_struct,
    pick_member,
    split_hint,
)
from heatherkeel.http_server.settings import ServingSettings
from heatherkeel.http_server.sizing import divide

from .const import MIN_RENEWALS_PER_LEASE
from .models import LimitSettings, TeamSettings

Check = Callable[..., Iterator[Fault]]
CheckT = TypeVar("CheckT", bound=Check)


@dataclass(frozen=True, kw_only=True, slots=True)
class Rule:
    """A check of the values at the paths `reads`; it runs only if all of them are valid."""

    reads: tuple[Path, ...]
    check: Check


RULES: Final[list[Rule]] = []


def rule(*reads: str) -> Callable[[CheckT], CheckT]:
    """Register a rule that receives the values at these key paths."""

    def register(check: CheckT) -> CheckT:
        paths = tuple(tuple(read.split(".")) for read in reads)
        RULES.append(Rule(reads=paths, check=check))
        return check

    return register


def run_rules(document: dict[str, Any], model: Any) -> list[Fault]:
    """Return the faults that the rules find; a rule that reads an invalid value is skipped."""
    found: list[Fault] = []
    for item in RULES:
        values = [_value_at(document, model, read) for read in item.reads]
        valid = [value.ok_value for value in values if isinstance(value, Ok)]
        if len(valid) == len(values):
            found += item.check(*valid)
    return found


def _value_at(raw: Any, hint: Any, path: Path) -> Result[Any, str]:
    """Decode the value at a path, or return the model's default if the key is absent."""
    if not path:
        return _decode(raw, hint)
    model = pick_member(raw, split_hint(hint)[0])
    if not is_struct(model) or not isinstance(raw, dict):
        return Err("no section")
    key = str(path[0])
    field = fields_by_key(model)[key]
    if key in raw:
        return _value_at(raw[key], field.type, path[1:])
    if field.required:
        return Err("missing")
    return Ok(_default_at(field, path[1:]))


def _default_at(field: FieldInfo, path: Path) -> Any:
    value = field.default if field.default is not msgspec.NODEFAULT else field.default_factory()
    for key in path:
        if value is None:
            return None
        value = getattr(value, str(key))
    return value


def _decode(raw: Any, hint: Any) -> Result[Any, str]:
    """Decode a value; invalid items of a map are left out, so that the others are checked."""
    bare_hint, _ = split_hint(hint)
    if get_origin(bare_hint) is dict and isinstance(raw, dict):
        item_hint = get_args(bare_hint)[1]
        items = {key: _decode(item, item_hint) for key, item in raw.items()}
        return Ok({key: item.ok_value for key, item in items.items() if isinstance(item, Ok)})
    try:
        return Ok(msgspec.convert(raw, hint))
    except msgspec.ValidationError as err:
        return Err(str(err))


@rule("instance.zone", "instance.zones")
def check_zone_is_listed(zone: str, zones: list[str]) -> Iterator[Fault]:
    """Find an instance zone that isn't listed in `zones`."""
    if zone not in zones:
        listed = ", ".join(zones)
        yield Fault(
            path=("instance", "zone"), reason=f"{zone!r} is not in instance.zones ({listed})"
        )


@rule("instance.zones")
def check_zones_differ(zones: list[str]) -> Iterator[Fault]:
    """Find availability zones that are listed twice."""
    for index, zone in enumerate(zones):
        if zone in zones[:index]:
            yield Fault(path=("instance", "zones", index), reason=f"{zone!r} is listed twice")


@rule("routing.lease_ms", "routing.renew_interval_ms")
def check_lease_outlives_renewals(lease_ms: int, renew_interval_ms: int) -> Iterator[Fault]:
    """Find a lease that would expire after one lost renewal."""
    if renew_interval_ms * MIN_RENEWALS_PER_LEASE > lease_ms:
        yield Fault(
            path=("routing", "renew_interval_ms"),
            reason=f"{renew_interval_ms} is more than half of routing.lease_ms ({lease_ms})",
        )


@rule("limits", "serving")
def check_limits_hold_together(limits: LimitSettings, serving: ServingSettings) -> Iterator[Fault]:
    """Find limits for clients that are more than this process may use, or too little to work."""
    divided = divide(limits.size(), serving)
    if isinstance(divided, Err):
        yield Fault(path=("serving",), reason=divided.err_value)


@rule("teams")
def check_tokens_differ(teams: dict[str, TeamSettings]) -> Iterator[Fault]:
    """Find a token shared by two teams: edits by the second would be attributed to the first."""
    first_with: dict[str, str] = {}
    for name, team in teams.items():
        other = first_with.setdefault(team.token, name)
        if other != name:
            yield Fault(path=("teams", name, "token"), reason=f"the same token as team {other!r}")


@rule("http.bind", "admin.bind", "peers.bind")
def check_ports_differ(http: str, admin: str, peers: str) -> Iterator[Fault]:
    """Find an address used by two servers; port 0 selects a different port each time."""
    first_with: dict[str, str] = {}
    for section, bind in (("http", http), ("admin", admin), ("peers", peers)):
        other = first_with.setdefault(bind, section)
        if other != section and not bind.endswith(":0"):
            yield Fault(path=(section, "bind"), reason=f"{bind} is already used by {other}.bind")


@rule("admin.bind", "admin.certfile", "admin.allow_plain")
def check_tokens_stay_secret(bind: str, certfile: str, allow_plain: bool) -> Iterator[Fault]:
    """Find an administration port that would send tokens over the network in plain text."""
    if not (certfile or allow_plain or is_loopback(bind)):
        yield Fault(
            path=("admin", "bind"),
            reason=f"{bind} is reached by other machines without TLS; set admin.certfile and "
            "admin.keyfile, or admin.allow_plain = true",
        )


@rule("admin.certfile", "admin.keyfile")
def check_certificate(certfile: str, keyfile: str) -> Iterator[Fault]:
    """Find a certificate without its key, and files that TLS can't use."""
    if not certfile and not keyfile:
        return
    for key, file in (("certfile", certfile), ("keyfile", keyfile)):
        if not file:
            yield Fault(path=("admin", key), reason="missing; certfile and keyfile go together")
            return
    reason = _find_certificate_fault(certfile, keyfile)
    if reason:
        yield Fault(path=("admin", "certfile"), reason=reason)


def _find_certificate_fault(certfile: str, keyfile: str) -> str:
    # Imported here because it is large and only needed with TLS.
    import ssl

    try:
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(certfile, keyfile, password="")
    except (OSError, ValueError) as err:
        return f"TLS can't use it with admin.keyfile: {err}"
    return ""
