"""Metrics of the configuration that this process knows."""

from __future__ import annotations

import math
from enum import StrEnum
from typing import Final

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from heatherkeel.platform.store_answers import ReadRecords
from heatherkeel.platform.transfer import Transfer

from .directory import DirectoryState

AGE_BUCKETS_S: Final = (0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0)


class PeerAnswer(StrEnum):
    """How another process answered a question about the operator's records."""

    RECORDS = "records"
    """With records that were unknown."""
    NOTHING_NEW = "nothing_new"
    SILENT = "silent"
    """Not in time."""


class ConfigMetrics:
    """Version and age of the configuration, its age at requests, and how its records arrive."""

    def __init__(self, *, registry: CollectorRegistry, directory: DirectoryState) -> None:
        self.version = Gauge(
            "heatherkeel_config_version",
            "Version of the configuration in force; 0 before the first.",
            registry=registry,
        )
        self.version.set_function(directory.config_version)
        self.age = Gauge(
            "heatherkeel_config_age_seconds",
            "Time since the configuration was known to be the newest; NaN before the first.",
            registry=registry,
        )
        self.age.set_function(lambda: _to_seconds(directory.config_age_ms()))
        self.age_at_request = Histogram(
            "heatherkeel_config_age_at_request_seconds",
            "Age of the configuration by which a request was answered.",
            buckets=AGE_BUCKETS_S,
            registry=registry,
        )

        self.store_bytes = Counter(
            "heatherkeel_operator_records_bytes",
            "Bytes of the store's answers that held records of the operator.",
            registry=registry,
        )
        self.cut_answers = Counter(
            "heatherkeel_operator_records_cut",
            "Such answers that the store cut, so that there were more records.",
            registry=registry,
        )
        self.given_up = Counter(
            "heatherkeel_transfers_given_up",
            "Answers of the store that were given up while they were arriving.",
            registry=registry,
        )
        self.given_up_bytes = Counter(
            "heatherkeel_transfers_given_up_bytes",
            "Bytes of these answers that had arrived.",
            registry=registry,
        )
        self.peer_questions = Counter(
            "heatherkeel_operator_questions",
            "Questions to other processes about the operator's records, by answer.",
            ["answer"],
            registry=registry,
        )
        for answer in PeerAnswer:
            self.peer_questions.labels(answer.value)

    def observe_answer(self, answer: ReadRecords) -> None:
        """Record an answer of the store that holds records of the operator."""
        self.store_bytes.inc(answer.size)
        if not answer.is_whole():
            self.cut_answers.inc()

    def observe_given_up(self, transfer: Transfer) -> None:
        """Record an answer that was given up while it was arriving."""
        self.given_up.inc()
        self.given_up_bytes.inc(transfer.received_bytes)

    def count_question(self, answer: PeerAnswer) -> None:
        """Count a question to another process."""
        self.peer_questions.labels(answer.value).inc()

    def observe_request(self, age_ms: int | None) -> None:
        """Record the age of the configuration at a request, in milliseconds."""
        if age_ms is not None:
            self.age_at_request.observe(_to_seconds(age_ms))


def _to_seconds(age_ms: int | None) -> float:
    return math.nan if age_ms is None else age_ms / 1000
