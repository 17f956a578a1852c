"""What a process may believe about the partitions that it holds."""

from __future__ import annotations

from dataclasses import dataclass, field

from heatherkeel.platform.store_answers import Share

from .const import TTL_MS


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """Partitions that were lost, and those that were gained with their tokens."""

    lost: frozenset[int] = frozenset()
    gained: dict[int, int] = field(default_factory=dict)


@dataclass(kw_only=True, slots=True)
class Tenure:
    """The partitions that this process holds, each under the token that it got it with.

    The token is the group's generation at the time. The platform raises that with each change
    and gives a partition to one member in each, so no two owners of a partition share a token,
    and a later owner has the higher one, also after a restart of everything.
    """

    topic: str
    generation: int = 0
    valid_until_ms: int = 0
    tokens: dict[int, int] = field(default_factory=dict)

    def is_valid(self, now_ms: int) -> bool:
        """Say whether nobody else can have been given what this process holds."""
        return now_ms < self.valid_until_ms

    def take(self, share: Share, *, sent_ms: int, now_ms: int) -> Change:
        """Take in an answer to a renewal that was sent at `sent_ms`.

        Where the membership had run out before the answer and the generation has moved on,
        others may have held the partitions in between, so all of them are gained anew.
        """
        was_valid = self.is_valid(now_ms)
        moved_on = share.generation != self.generation
        held = share.partitions.get(self.topic, set())
        kept = set() if moved_on and not was_valid else self.tokens.keys() & held
        lost = frozenset(self.tokens.keys() - kept)
        gained = dict.fromkeys(held - kept, share.generation)
        self.tokens = {number: self.tokens[number] for number in kept} | gained
        self.generation = share.generation
        self.valid_until_ms = sent_ms + TTL_MS
        return Change(lost=lost, gained=gained)

    def drop(self) -> Change:
        """Give everything up, as at a stop or when somebody else has proved to be the owner."""
        lost = frozenset(self.tokens)
        self.tokens = {}
        self.generation = 0
        self.valid_until_ms = 0
        return Change(lost=lost)
