"""Counts effects; the registry says which counter an effect belongs to."""

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
CountEffect = Callable[[Metrics, EffectT], None]
COUNTED: Final[dict[type[Effect], CountEffect[Any]]] = {}


def counts(kind: type[EffectT]) -> Callable[[CountEffect[EffectT]], CountEffect[EffectT]]:
    """Register how an effect is counted."""

    def register(count: CountEffect[EffectT]) -> CountEffect[EffectT]:
        if kind in COUNTED:
            raise RegistrationError(f"{kind.__name__} is counted twice")
        COUNTED[kind] = count
        return count

    return register


def count_effects(node: Node, metrics: Metrics) -> None:
    """Count the effects of a node from now on."""
    for kind, count in COUNTED.items():
        node.subscribe(kind, partial(count, metrics))


@counts(Refuse)
def count_refusal(metrics: Metrics, effect: Refuse) -> None:
    """Count a final answer that no target gave."""
    metrics.count_refusal(effect.reason)


@counts(AbortAnswer)
def count_abort(metrics: Metrics, effect: AbortAnswer) -> None:
    """Count an answer that broke off: its caller got no whole answer either."""
    metrics.count_refusal(effect.reason)


@counts(Retried)
def count_retry(metrics: Metrics, effect: Retried) -> None:
    """Count an attempt after a failed one."""
    metrics.retries.labels(effect.reason.value).inc()


@counts(NotRetried)
def count_no_retry(metrics: Metrics, effect: NotRetried) -> None:
    """Count a failed attempt that was the last."""
    metrics.not_retried.labels(effect.reason.value).inc()


@counts(TargetEjected)
def count_ejection(metrics: Metrics, effect: TargetEjected) -> None:
    """Count an ejected target."""
    metrics.ejections.inc()


@counts(Settled)
def count_settled(metrics: Metrics, effect: Settled) -> None:
    """Count a record that the fold refused."""
    if isinstance(effect.outcome, Rejected):
        metrics.rejected_records.labels(effect.outcome.reason.value).inc()


@counts(Skipped)
def count_skipped(metrics: Metrics, effect: Skipped) -> None:
    """Count a record that nobody can read."""
    metrics.skipped_records.labels(effect.reason.value).inc()


@counts(Duplicate)
def count_duplicate(metrics: Metrics, effect: Duplicate) -> None:
    """Count a second copy of a record."""
    metrics.duplicate_records.inc()
