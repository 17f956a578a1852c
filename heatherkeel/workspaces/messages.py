"""What the lender of limits and the owners of partitions tell each other."""

from __future__ import annotations

import msgspec

from heatherkeel.platform.ranges import Int64

from .amounts import Amount


class Grant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a partition may have running of a workspace's jobs."""

    workspace: str
    granted: Amount
    limit: Amount
    """The workspace's limit by which it was granted."""


class GrantOffer(msgspec.Struct, frozen=True, kw_only=True):
    """Grants of the lender to one owner of a partition."""

    lender: Int64
    """Fencing token of the lender; grants of an earlier lender are ignored."""
    sequence: Int64
    """Rises with each offer of a lender; an earlier offer that arrives late is ignored."""
    owner: Int64
    """Fencing token of the owner to which the grants apply; 0 if it isn't known yet."""
    since: Int64
    """Revision of that owner's accounts that the lender knows."""
    grants: list[Grant] = []
    over_part: list[str] = []
    """Workspaces that use more than their part of capacity for which others wait."""


class AccountReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A workspace's account in one partition."""

    workspace: str
    granted: Amount
    limit: Amount
    """The limit by which that was granted."""
    used: Amount
    waiting: Amount
    """What the waiting tasks need in total."""
    largest: Amount
    """The most that one waiting task needs of each resource."""
    oldest_ms: Int64
    """When the oldest waiting job was accepted, on the owner's wall clock; 0 if none waits."""

    def held(self) -> Amount:
        """Return the most that may run there: what is granted or, if that is more, what runs."""
        return self.granted.at_least(self.used)


class AccountsReport(msgspec.Struct, frozen=True, kw_only=True):
    """The accounts of one owner that have changed since a revision."""

    owner: Int64
    lender: Int64
    sequence: Int64
    """The newest offer that the owner has applied, and its lender's token."""
    revision: Int64
    accounts: list[AccountReport] = []
