"""Lends the limits of workspaces to the owners of partitions.

The lender knows an upper bound of what each partition holds of each limit: what its owner has last
reported, or what was offered since and may still arrive. A grant is raised only by what all bounds
together leave of the limit, and what is taken from a partition counts as free once its owner has
reported that. So no lost, late or repeated message, and no change of owners, lets more run than the
limit allows. Partitions that can't be reached keep what they hold and go on.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from .amounts import NOTHING, Amount
from .const import MAX_OFFERED, MIN_GRANTED_FRACTION
from .division import Demand, Divide, divide_by_demand
from .messages import AccountReport, AccountsReport, Grant, GrantOffer

_LOGGER = logging.getLogger(__name__)


@dataclass(kw_only=True, slots=True)
class Borrower:
    """What the lender knows of one partition."""

    owner: int = 0
    """The owner's fencing token; 0 until it has answered this lender."""
    revision: int = 0
    answered: int = 0
    """The newest offer that the owner is known to have applied."""
    reports: dict[str, AccountReport] = field(default_factory=dict)
    offered: dict[str, list[tuple[int, Grant]]] = field(default_factory=dict)
    """Grants offered since then, with their sequence numbers, by workspace."""

    def bound(self, workspace: str) -> Amount:
        """Return the most that may run in the partition until it is offered another grant."""
        report = self.reports.get(workspace)
        bound = report.held() if report is not None else NOTHING
        for _, grant in self.offered.get(workspace, ()):
            bound = bound.at_least(grant.granted)
        return bound

    def has_confirmed(self, grant: Grant) -> bool:
        """Return whether the owner is known to have a grant, and no other is on its way."""
        report = self.reports.get(grant.workspace)
        return (
            report is not None
            and not self.offered.get(grant.workspace)
            and (report.granted, report.limit) == (grant.granted, grant.limit)
        )

    def add_offered(self, sequence: int, grant: Grant) -> None:
        """Record a grant as offered; the same one again, if its earlier offers may be lost."""
        offered = self.offered.setdefault(grant.workspace, [])
        if offered and offered[-1][1] == grant:
            offered.pop()
        offered.append((sequence, grant))
        if len(offered) > MAX_OFFERED:
            # An owner that doesn't answer for minutes would collect one in each round.
            (_, first), (later, second) = offered[:2]
            most = first.granted.at_least(second.granted)
            offered[:2] = [(later, msgspec.structs.replace(second, granted=most))]

    def demand(self, workspace: str) -> Demand:
        """Return what the workspace uses and waits for in the partition."""
        report = self.reports.get(workspace)
        if report is None:
            return Demand()
        return Demand(
            used=report.used,
            waiting=report.waiting,
            largest=report.largest,
            oldest_ms=report.oldest_ms,
        )


class Lender:
    """Divides each workspace's limit between the partitions, as their demand changes."""

    def __init__(self, *, token: int, divide: Divide = divide_by_demand) -> None:
        self.token = token
        self.divide = divide
        self.sequence = 0
        self.borrowers: dict[int, Borrower] = {}
        self.limits: dict[str, Amount] = {}
        self.is_ready = False
        """Whether every partition has answered this lender."""
        self.unsettled: set[str] = set()
        """Workspaces of which something has changed since their limit was last found well divided;
        the others cost nothing."""

    def make_offers(
        self,
        partitions: Sequence[int],
        limits: Mapping[str, Amount],
        *,
        are_limits_recent: bool,
        over_part: Sequence[str] = (),
    ) -> dict[int, GrantOffer]:
        """Return an offer to the owner of each partition; most contain no grants.

        Nothing is granted until every partition has answered this lender, since an earlier one may
        have lent it any part of a limit.
        """
        if limits != self.limits or partitions != list(self.borrowers):
            self.limits = dict(limits)
            self.borrowers = {
                partition: self.borrowers.get(partition, Borrower()) for partition in partitions
            }
            self._unsettle_all()
        self.sequence += 1
        grants: dict[int, list[Grant]] = {partition: [] for partition in partitions}
        self._update_ready()
        if are_limits_recent and self.is_ready:
            for workspace in sorted(self.unsettled):
                self._grant(workspace, self.limits[workspace], grants)
        return {
            partition: GrantOffer(
                lender=self.token,
                sequence=self.sequence,
                owner=borrower.owner,
                since=borrower.revision,
                grants=grants[partition],
                over_part=list(over_part),
            )
            for partition, borrower in self.borrowers.items()
        }

    def _unsettle_all(self) -> None:
        self.unsettled = {name for name, limit in self.limits.items() if any(limit)}

    def _update_ready(self) -> None:
        """Update and log whether anything may be granted; not before services are laid out."""
        unheard = [number for number, borrower in self.borrowers.items() if not borrower.owner]
        is_ready = bool(self.borrowers) and not unheard
        if is_ready == self.is_ready:
            return
        self.is_ready = is_ready
        _LOGGER.info(
            "limits of workspaces can%s be lent",
            "" if is_ready else "'t",
            extra={
                "event": "lending",
                "is_ready": is_ready,
                "unheard": unheard,
                "workspaces": len(self.unsettled),
            },
        )

    def record(self, partition: int, report: AccountsReport) -> None:
        """Record an owner's report."""
        borrower = self.borrowers.get(partition)
        if borrower is None or report.owner < borrower.owner:
            return
        if report.lender != self.token:
            # Another lender has been there since, or this one hasn't been heard yet.
            return
        if report.owner > borrower.owner:
            # Offers to the earlier owner are ignored by this one.
            borrower = self.borrowers[partition] = Borrower(owner=report.owner)
            self._unsettle_all()
        elif report.sequence < borrower.answered:
            return
        borrower.answered = report.sequence
        borrower.revision = max(borrower.revision, report.revision)
        for account in report.accounts:
            borrower.reports[account.workspace] = account
            if any(self.limits.get(account.workspace, NOTHING)):
                self.unsettled.add(account.workspace)
        borrower.offered = {
            workspace: left
            for workspace, offered in borrower.offered.items()
            if (left := [entry for entry in offered if entry[0] > report.sequence])
        }

    def _grant(self, workspace: str, limit: Amount, grants: dict[int, list[Grant]]) -> None:
        """Add grants of one workspace's limit, where its division should change."""
        borrowers = list(self.borrowers.items())
        bounds = [borrower.bound(workspace) for _, borrower in borrowers]
        demands = [borrower.demand(workspace) for _, borrower in borrowers]
        total = NOTHING
        for bound in bounds:
            total = total.plus(bound)
        if not self._is_due(limit, total, bounds, demands):
            if not any(borrower.offered.get(workspace) for _, borrower in borrowers):
                self.unsettled.discard(workspace)
            return
        left = limit.minus(total)
        parts = self.divide(limit, demands)
        for (partition, borrower), bound, part in zip(borrowers, bounds, parts, strict=True):
            raised = part.minus(bound).at_most(left)
            left = left.minus(raised)
            # If more is held than the limit allows, only what the others' bounds leave of it.
            most = bound.plus(raised).at_most(limit.minus(total.minus(bound)).plus(raised))
            granted = part.at_most(most)
            grant = Grant(workspace=workspace, granted=granted, limit=limit)
            if not borrower.has_confirmed(grant):
                borrower.add_offered(self.sequence, grant)
                grants[partition].append(grant)

    def _is_due(
        self, limit: Amount, total: Amount, bounds: Sequence[Amount], demands: Sequence[Demand]
    ) -> bool:
        """Return whether a limit has to be divided anew.

        That is if more is held than the limit allows, if much of it isn't granted, or if tasks wait
        for more than their partition holds.
        """
        if not total.is_within(limit, limit):
            return True
        if any(held < MIN_GRANTED_FRACTION * most for held, most in zip(total, limit, strict=True)):
            return True
        return any(
            not demand.used.plus(demand.waiting).is_within(bound, limit)
            for bound, demand in zip(bounds, demands, strict=True)
        )
