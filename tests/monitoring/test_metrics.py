"""Tests of metrics and readiness."""

from __future__ import annotations

from enum import StrEnum

import pytest
from prometheus_client.parser import text_string_to_metric_families

from heatherkeel.core.models import Accepted, Duplicate, Effect, Rejected, RejectReason, Settled
from heatherkeel.entry.node import Node
from heatherkeel.membership.const import MAX_ACK_TIMEOUT_MS
from heatherkeel.membership.local import PeerView
from heatherkeel.membership.models import EntryInstance
from heatherkeel.monitoring.app import find_outcome
from heatherkeel.monitoring.counting import EFFECT_COUNTERS
from heatherkeel.monitoring.gauges import (
    NodeGauges,
    TargetState,
    count_leases,
    count_live_peers,
    count_targets,
)
from heatherkeel.monitoring.metrics import Metrics
from heatherkeel.monitoring.readiness import NotReadyReason, Readiness
from heatherkeel.pools.models import Instance, InstanceStatus
from heatherkeel.requests.effects import Refuse, Retried
from heatherkeel.requests.local import TargetView
from heatherkeel.requests.reasons import NoRetryReason, Outcome, RefusalReason, RetryReason
from heatherkeel.settings.loader import parse_settings

SETTINGS = """
[instance]
id = "e-a"
zone = "a"
zones = ["a", "b"]
[platform]
address = "127.0.0.1:1"
"""


def node() -> Node:
    return Node(settings=parse_settings(SETTINGS).unwrap())


def samples(metrics: Metrics) -> dict[tuple[str, str], float]:
    text = metrics.render().decode()
    return {
        (sample.name, next(iter(sample.labels.values()), "")): sample.value
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    }


@pytest.mark.parametrize(
    ("name", "reasons"),
    [
        ("heatherkeel_refusals_total", RefusalReason),
        ("heatherkeel_retries_total", RetryReason),
        ("heatherkeel_not_retried_total", NoRetryReason),
        ("heatherkeel_rejected_records_total", RejectReason),
        ("heatherkeel_skipped_records_total", RejectReason),
        ("heatherkeel_request_duration_seconds_count", Outcome),
    ],
)
def test_every_label_starts_at_zero(name: str, reasons: type[StrEnum]) -> None:
    shown = samples(Metrics())
    assert {shown[name, reason.value] for reason in reasons} == {0.0}


def test_effects_are_counted_by_reason() -> None:
    metrics = Metrics()
    rejected = Rejected(reason=RejectReason.STALE_VERSION, detail="", version=2)
    effects: list[Effect] = [
        Refuse(request_id="r", outcome=Outcome.NOT_RUN, reason=RefusalReason.QUEUE_FULL),
        Retried(request_id="r", reason=RetryReason.TIMED_OUT),
        Duplicate(record_id="x", offset=1),
        Settled(record_id="x", kind="k", author="a", offset=1, outcome=rejected),
        Settled(record_id="y", kind="k", author="a", offset=2, outcome=Accepted(version=1)),
    ]
    for effect in effects:
        EFFECT_COUNTERS[type(effect)](metrics, effect)
    shown = {key: value for key, value in samples(metrics).items() if value == 1.0}
    assert shown.keys() >= {
        ("heatherkeel_refusals_total", "queue_full"),
        ("heatherkeel_retries_total", "timed_out"),
        ("heatherkeel_duplicate_records_total", ""),
        ("heatherkeel_rejected_records_total", "stale_version"),
    }


def instance(status: InstanceStatus = InstanceStatus.SERVING) -> Instance:
    return Instance(zone="a", rack="r", address="1.1.1.1:1", boot_id="1", pool="p", status=status)


def test_targets_are_counted_by_state() -> None:
    state = node().state
    views = {
        "leaving": TargetView(address="", zone="a", pool="p", leaving=True),
        "gone": TargetView(address="", zone="a", pool="p", gone=True),
        "ejected": TargetView(address="", zone="a", pool="p", ejected_until_ms=11),
        "back": TargetView(address="", zone="a", pool="p", ejected_until_ms=10),
    }
    state.local.routing.targets = views
    state.fleet.pools.instances = {name: instance() for name in [*views, "unseen"]}
    state.fleet.pools.instances["stopped"] = instance(InstanceStatus.STOPPED)
    counted = count_targets(state, now_ms=10)
    assert counted == dict.fromkeys(TargetState, 0) | {
        TargetState.LEAVING: 1,
        TargetState.GONE: 1,
        TargetState.EJECTED: 1,
        TargetState.SERVING: 2,
        TargetState.STOPPED: 1,
    }
    assert {kind.value for kind in TargetState} >= {status.value for status in InstanceStatus}


def test_entry_instance_with_expired_lease_is_not_counted() -> None:
    fleet = node().state.fleet
    fleet.now_ms = 10
    for name, until_ms in (("e-a", 20), ("e-b", 10), ("e-c", 9)):
        fleet.membership.entries[name] = EntryInstance(
            instance=name,
            incarnation="i",
            zone="a",
            peer_address="",
            lease_ms=5,
            lease_until_ms=until_ms,
        )
    assert count_leases(fleet) == 2


def test_unresponsive_peer_is_not_live() -> None:
    # Without the platform leases don't expire, so lost peers are detected by their heartbeats.
    peers = node().state.local.peers
    for name, last_heartbeat_ms in (("e-b", 10_000), ("e-c", 9_999)):
        peers.peers[name] = PeerView(
            incarnation="i",
            zone="a",
            address="",
            last_heartbeat_ms=last_heartbeat_ms,
            offset_in_force=0,
            log_age_ms=0,
        )
    assert count_live_peers(peers, now_ms=10_000 + MAX_ACK_TIMEOUT_MS) == 1


def test_gauges_show_the_state_at_the_time_of_the_scrape() -> None:
    shown = node()
    metrics = Metrics()
    gauges = NodeGauges(node=shown, readiness=Readiness(node=shown), in_progress=lambda: 3)
    metrics.register([gauges])
    shown.state.fleet.next_offset = 8
    found = samples(metrics)
    assert found["heatherkeel_offset_in_force", ""] == 7
    assert found["heatherkeel_requests_in_progress", ""] == 3
    assert found["heatherkeel_ready", ""] == 0
    assert found["heatherkeel_targets", "serving"] == 0


def test_process_is_ready_only_with_configuration_and_no_stop() -> None:
    # A process that has not read the log would answer 404, and one that stops would drop requests.
    starting = node()
    readiness = Readiness(node=starting)
    assert readiness.find_reasons() == [NotReadyReason.STARTING]
    readiness.start()
    assert readiness.find_reasons() == [NotReadyReason.NO_CATALOGUE_ENTRY]
    readiness.stop()
    assert readiness.find_reasons()[0] is NotReadyReason.STOPPING


def test_unknown_outcome_header_is_ignored() -> None:
    assert find_outcome([(b"heatherkeel-outcome", b"ran")]) is Outcome.RAN
    assert find_outcome([(b"heatherkeel-outcome", b"odd")]) is None
    assert find_outcome([]) is None
