"""What a workspace has running in one partition, and may have running there."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field

from .amounts import NOTHING, Amount
from .messages import AccountReport, AccountsReport, Grant, GrantOffer
from .rates import RateBucket, full_bucket


@dataclass(frozen=True, kw_only=True, slots=True)
class Waiting:
    """What the waiting tasks of a workspace need in a partition."""

    total: Amount = NOTHING
    largest: Amount = NOTHING
    oldest_ms: int = 0
    """When the oldest of their jobs was accepted, in milliseconds since 1970."""

    def with_tasks(self, amount: Amount, count: int, *, accepted_ms: int) -> Waiting:
        """Return this with some more tasks of one step."""
        return Waiting(
            total=self.total.plus(amount.scaled(count, 1)),
            largest=self.largest.at_least(amount),
            oldest_ms=min(self.oldest_ms or accepted_ms, accepted_ms),
        )


NOTHING_WAITS = Waiting()


@dataclass(kw_only=True, slots=True, eq=False)
class Account:
    """A workspace's account in a partition; starts may use what the lender has granted to it."""

    workspace: str
    limit: Amount | None = None
    """The workspace's limit as configured; None if the configuration doesn't name it."""
    granted: Amount = NOTHING
    granted_of: Amount = NOTHING
    """The limit by which that was granted."""
    used: Amount = NOTHING
    runs: dict[Hashable, Amount] = field(default_factory=dict)
    """All runs that may exist, in the order in which they were planned."""
    report: AccountReport | None = None
    revision: int = 0
    """When the report last changed."""
    weight: float | None = None
    """Jobs per second that the workspace may submit to each service before its others come last;
    None if the configuration doesn't name it."""
    buckets: dict[str, RateBucket] = field(default_factory=dict)
    """What is left of that in this partition, by service."""
    is_over_part: bool = False
    """Whether it uses more than its part of capacity for which others wait."""

    def takes_share(self, service: str, *, partitions: int, now_ms: int) -> bool:
        """Count a job of a service, which has so many partitions; False if it exceeds the weight.

        Jobs are spread evenly over a service's partitions, so each allows its part of the rate.
        """
        if self.weight is None:
            return True
        rate = self.weight / max(1, partitions)
        bucket = self.buckets.get(service)
        if bucket is None:
            bucket = RateBucket(tokens=full_bucket(rate), filled_ms=now_ms)
            self.buckets[service] = bucket
        return bucket.take(rate=rate, now_ms=now_ms)

    def has_share(self, service: str, *, partitions: int, now_ms: int) -> bool:
        """Return whether `takes_share` would allow a job now; counts none."""
        bucket = self.buckets.get(service)
        if self.weight is None or bucket is None:
            return True
        return bucket.has_token(rate=self.weight / max(1, partitions), now_ms=now_ms)

    def add(self, run: Hashable, amount: Amount) -> None:
        """Count a run from its planning on; one that is known isn't counted twice."""
        if run not in self.runs:
            self.runs[run] = amount
            self.used = self.used.plus(amount)

    def remove(self, run: Hashable) -> None:
        """Stop counting a run that certainly no longer exists."""
        amount = self.runs.pop(run, None)
        if amount is not None:
            self.used = self.used.minus(amount)

    def is_reported(self) -> bool:
        """Return whether the last report holds, if nothing waits; the cheap check of most."""
        report = self.report
        return (
            report is not None
            and report.used is self.used
            and report.granted is self.granted
            and report.limit is self.granted_of
            and report.waiting is NOTHING
        )

    def allows(self, amount: Amount) -> bool:
        """Return whether this much more may be started."""
        if self.limit is None:
            return True
        return self.used.plus(amount).is_within(self._allowed(self.limit), self.limit)

    def is_stopped(self) -> bool:
        """Return whether nothing may be started, since the limit has fallen or nothing is left."""
        if self.limit is None:
            return False
        allowed = self._allowed(self.limit)
        return any(
            most and not part for part, most in zip(allowed, self.limit, strict=True)
        ) and any(self.used)

    def _allowed(self, limit: Amount) -> Amount:
        """Return the grant, or nothing of a resource whose limit has fallen since.

        Other partitions may run more than their part of the new limit. Only the lender knows what
        they leave of it, and offers that by the new limit.
        """
        return Amount(
            *(
                granted if granted_of <= most else 0
                for granted, granted_of, most in zip(
                    self.granted, self.granted_of, limit, strict=True
                )
            )
        )


@dataclass(kw_only=True, slots=True)
class AccountBook:
    """The accounts of a partition under one owner."""

    owner: int
    """The owner's fencing token."""
    accounts: dict[str, Account] = field(default_factory=dict)
    are_limits_recent: bool = True
    """Whether no limit can have fallen unnoticed for longer than a change may take."""
    lender: int = 0
    sequence: int = 0
    """The newest offer that was applied."""
    over_part: frozenset[str] = frozenset()
    """The workspaces above their part, as the lender last told."""
    over_part_ms: int = 0
    """When it told that."""
    is_known_to_lender: bool = False
    """Whether a lender has made an offer to this owner."""
    revision: int = 0

    def find(self, workspace: str) -> Account | None:
        """Return a workspace's account; None for jobs without a workspace."""
        if not workspace:
            return None
        account = self.accounts.get(workspace)
        if account is None:
            account = self.accounts[workspace] = Account(workspace=workspace)
        return account

    def allows(self, account: Account, amount: Amount) -> bool:
        """Return whether a workspace may start this much more."""
        return self.are_limits_recent and account.allows(amount)

    def apply_limits(
        self, limits: Mapping[str, Amount], weights: Mapping[str, float] | None = None
    ) -> None:
        """Apply the configured limits and weights, by workspace."""
        for workspace, limit in limits.items():
            account = self.find(workspace)
            assert account is not None, "a workspace has a name"
            account.limit = limit
            account.weight = (weights or {}).get(workspace)

    def apply_offer(self, offer: GrantOffer) -> bool:
        """Apply grants, unless they are outdated or meant for another owner."""
        if (offer.lender, offer.sequence) <= (self.lender, self.sequence):
            return False
        self.lender, self.sequence = offer.lender, offer.sequence
        if offer.owner != self.owner:
            return False
        self.is_known_to_lender = True
        for grant in offer.grants:
            self._apply_grant(grant)
        return bool(offer.grants)

    def is_newest(self, offer: GrantOffer) -> bool:
        """Return whether no later offer was applied."""
        return (offer.lender, offer.sequence) == (self.lender, self.sequence)

    def set_over_part(self, workspaces: frozenset[str], *, now_ms: int) -> frozenset[str]:
        """Set the workspaces above their part; return those for which that changed."""
        changed = workspaces ^ self.over_part
        self.over_part, self.over_part_ms = workspaces, now_ms
        for workspace in changed:
            account = self.find(workspace)
            if account is not None:
                account.is_over_part = workspace in workspaces
        return changed

    def _apply_grant(self, grant: Grant) -> None:
        account = self.find(grant.workspace)
        if account is not None:
            account.granted, account.granted_of = grant.granted, grant.limit

    def update_reports(self, waiting: Mapping[str, Waiting]) -> None:
        """Update the accounts' reports by what waits, by workspace."""
        for account in self.accounts.values():
            waits = waiting.get(account.workspace, NOTHING_WAITS)
            if waits is NOTHING_WAITS and account.is_reported():
                continue
            report = AccountReport(
                workspace=account.workspace,
                granted=account.granted,
                limit=account.granted_of,
                used=account.used,
                waiting=waits.total,
                largest=waits.largest,
                oldest_ms=waits.oldest_ms,
            )
            if report != account.report:
                self.revision += 1
                account.report, account.revision = report, self.revision

    def make_report(self, since: int) -> AccountsReport:
        """Return the accounts that have changed since a revision."""
        return AccountsReport(
            owner=self.owner,
            lender=self.lender,
            sequence=self.sequence,
            revision=self.revision,
            accounts=[
                account.report
                for account in self.accounts.values()
                if account.report is not None and account.revision > since
            ],
        )
