"""The operators' pages name every key, metric and reason that there is."""

from __future__ import annotations

import json
import re
from collections.abc import Iterator
from pathlib import Path
from typing import Any, Final, get_args, get_origin

import msgspec
from prometheus_client.parser import text_string_to_metric_families

from heatherkeel.entry.node import Node
from heatherkeel.helpers.faults import fields_by_key, is_struct, split_hint
from heatherkeel.monitoring.gauges import NodeGauges, TargetState
from heatherkeel.monitoring.metrics import Metrics
from heatherkeel.monitoring.readiness import NotReadyReason, Readiness
from heatherkeel.requests.reasons import NoRetryReason, RefusalReason, RetryReason
from heatherkeel.settings.models import EntrySettings

OPERATE: Final = Path(__file__).parents[2] / "docs" / "operate"
SMALLEST: Final = {
    "instance": {"id": "e-a", "zone": "a", "zones": ["a"]},
    "platform": {"address": "127.0.0.1:1"},
}
UNITS: Final = (
    "_ms",
    "_s",
    "_bytes",
    "_records",
    "_mib",
    "_connections",
    "_descriptors",
    "_headers",
)


def leaves(model: Any, path: str = "") -> Iterator[tuple[str, Any, Any]]:
    """Give the key path, type and default of every leaf of a settings model."""
    for key, field in fields_by_key(model).items():
        bare, _ = split_hint(field.type)
        if is_struct(bare):
            yield from leaves(bare, f"{path}{key}.")
        elif get_origin(bare) is dict:
            yield from leaves(get_args(bare)[1], f"{path}{key}.NAME.")
        else:
            made = field.default_factory
            yield f"{path}{key}", bare, field.default if made is msgspec.NODEFAULT else made()


def test_the_settings_page_has_every_key_with_its_default() -> None:
    rows = (OPERATE / "settings.md").read_text(encoding="utf-8").splitlines()
    for path, _, default in leaves(EntrySettings):
        shown = "" if default is msgspec.NODEFAULT else f"`{json.dumps(default)}` "
        assert any(row.startswith(f"| `{path}` | {shown}|") for row in rows), path


def test_numbers_name_their_unit() -> None:
    for path, bare, _ in leaves(EntrySettings):
        assert bare is not int or path.endswith(UNITS), path


def idle_gauges() -> NodeGauges:
    node = Node(settings=msgspec.convert(SMALLEST, EntrySettings))
    return NodeGauges(node=node, readiness=Readiness(node=node), in_progress=lambda: 0)


def test_the_metrics_page_has_every_metric_and_state() -> None:
    page = (OPERATE / "logs-and-metrics.md").read_text(encoding="utf-8")
    metrics = Metrics()
    metrics.register([idle_gauges()])
    families = text_string_to_metric_families(metrics.render().decode())
    ours = [family for family in families if family.name.startswith("heatherkeel_")]
    names = [f"{item.name}_total" if item.type == "counter" else item.name for item in ours]
    assert len(names) > 5
    for name in [
        *names,
        *TargetState,
        *NotReadyReason,
        *RefusalReason,
        *RetryReason,
        *NoRetryReason,
    ]:
        assert re.search(rf"`{name}`", page), name
