"""Registry that maps effects to metrics."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Final, TypeVar

from heatherkeel.core.errors import RegistrationError
from heatherkeel.core.models import Duplicate, Effect, Rejected, Settled, Skipped
from heatherkeel.entry.node import Node
from heatherkeel.requests.effects import (
    AbortAnswer,
    NotRetried,
    Refuse,
    Retried,
    TargetEjected,
)

from .metrics import Metrics

EffectT = TypeVar("EffectT", bound=Effect)
EffectCounter = Callable[[Metrics, EffectT], None]
EFFECT_COUNTERS: Final[dict[type[Effect], EffectCounter[Any]]] = {}


def counts_effect(
    kind: type[EffectT],
) -> Callable[[EffectCounter[EffectT]], EffectCounter[EffectT]]:
    """Register the function that counts effects of a type."""

    def register(count: EffectCounter[EffectT]) -> EffectCounter[EffectT]:
        if kind in EFFECT_COUNTERS:
            raise RegistrationError(f"{kind.__name__} is counted twice")
        EFFECT_COUNTERS[kind] = count
        return count

    return register


def count_effects(node: Node, metrics: Metrics) -> None:
    """Subscribe the counters to the effects of a node."""
    for kind, count in EFFECT_COUNTERS.items():
        node.subscribe(kind, partial(count, metrics))


@counts_effect(Refuse)
def count_refusal(metrics: Metrics, effect: Refuse) -> None:
    """Count a final response that did not come from a target."""
    metrics.count_refusal(effect.reason)


@counts_effect(AbortAnswer)
def count_abort(metrics: Metrics, effect: AbortAnswer) -> None:
    """Count a response that was aborted before its end."""
    metrics.count_refusal(effect.reason)


@counts_effect(Retried)
def count_retry(metrics: Metrics, effect: Retried) -> None:
    """Count a retry."""
    metrics.retries.labels(effect.reason.value).inc()


@counts_effect(NotRetried)
def count_no_retry(metrics: Metrics, effect: NotRetried) -> None:
    """Count a failed attempt that was not retried."""
    metrics.not_retried.labels(effect.reason.value).inc()


@counts_effect(TargetEjected)
def count_ejection(metrics: Metrics, effect: TargetEjected) -> None:
    """Count an ejected target."""
    metrics.ejections.inc()


@counts_effect(Settled)
def count_settled(metrics: Metrics, effect: Settled) -> None:
    """Count a record that the fold rejected."""
    if isinstance(effect.outcome, Rejected):
        metrics.rejected_records.labels(effect.outcome.reason.value).inc()


@counts_effect(Skipped)
def count_skipped(metrics: Metrics, effect: Skipped) -> None:
    """Count a record that can't be decoded."""
    metrics.skipped_records.labels(effect.reason.value).inc()


@counts_effect(Duplicate)
def count_duplicate(metrics: Metrics, effect: Duplicate) -> None:
    """Count a duplicate record."""
    metrics.duplicate_records.inc()
