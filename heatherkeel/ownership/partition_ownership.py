"""Tracks the partitions that this process owns and for how long they are certainly its own."""

from __future__ import annotations

from dataclasses import dataclass, field

from heatherkeel.platform.store_answers import GroupAssignment

from .const import TTL_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class OwnershipChange:
    """Partitions that were lost, and those that were gained with their fencing tokens."""

    lost: frozenset[int] = frozenset()
    gained: dict[int, int] = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class PartitionOwnership:
    """The partitions that this process owns, each with its fencing token.

    The token is the group's generation when the partition was gained. The platform raises the
    generation with each change and assigns a partition to one member in each, so no two owners
    have the same token and a later owner has the higher one, also after a restart of everything.
    """

    topic: str
    generation: int = 0
    valid_until_ms: int = 0
    tokens: dict[int, int] = field(default_factory=dict)

    def is_valid(self, now_ms: int) -> bool:
        """Return whether no other process can own the partitions yet."""
        return now_ms < self.valid_until_ms

    def apply_renewal(
        self, assignment: GroupAssignment, *, sent_ms: int, now_ms: int
    ) -> OwnershipChange:
        """Apply the answer to a renewal that was sent at `sent_ms`.

        If the membership expired before the answer and the generation has changed, others may
        have owned the partitions in between, so all of them are lost and gained anew.
        """
        was_valid = self.is_valid(now_ms)
        is_new_generation = assignment.generation != self.generation
        held = assignment.partitions.get(self.topic, set())
        kept = set() if is_new_generation and not was_valid else self.tokens.keys() & held
        lost = frozenset(self.tokens.keys() - kept)
        gained = dict.fromkeys(held - kept, assignment.generation)
        self.tokens = {number: self.tokens[number] for number in kept} | gained
        self.generation = assignment.generation
        self.valid_until_ms = sent_ms + TTL_MS
        return OwnershipChange(lost=lost, gained=gained)

    def release_all(self) -> OwnershipChange:
        """Give up all partitions, as at a stop or after another process has fenced this one."""
        lost = frozenset(self.tokens)
        self.tokens = {}
        self.generation = 0
        self.valid_until_ms = 0
        return OwnershipChange(lost=lost)
