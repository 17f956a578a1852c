"""A stand-in for the platform's store: keyed topics, producers, and groups of members.

It follows the published protocol and knows nothing of what the product decides. Retention isn't
modelled but by `forget`, and times run on the steady clock.
"""

from __future__ import annotations

import time
from base64 import b64encode
from dataclasses import dataclass, field
from typing import Any, Final

import msgspec

PAGE_ITEMS: Final = 500
REPEATS: Final = 5
"""Number of a producer's last appends whose answers are given again to a repeat."""
LENGTH_BYTES: Final = 4
RECORD_BYTES: Final = 262_144
REQUEST_BYTES: Final = 2_097_152
"""Size of the largest record, as in the example of the settings."""
MAX_READ_KB: Final = 1024
"""Size at which an answer to a read is cut, unless the call names another one."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Answer:
    """A status with a body: JSON, or raw bytes."""

    status: int = 200
    body: Any = field(default_factory=dict)
    cut_at: int | None = None
    """The connection is closed after so many bytes of the body, if they aren't all of it."""

    def content(self) -> bytes:
        """Return the body as it is sent."""
        return self.body if isinstance(self.body, bytes) else msgspec.json.encode(self.body)


@dataclass(kw_only=True, slots=True)
class ProducerState:
    """The highest epoch and the last sequence number that a partition has taken."""

    epoch: int
    sequence: int | None = None
    answers: dict[int, Answer] = field(default_factory=dict)
    """The answers to the last appends, by sequence number."""

    def record(self, sequence: int, answer: Answer) -> None:
        """Keep the answer to an append."""
        self.sequence = sequence
        self.answers[sequence] = answer
        for earlier in sorted(self.answers)[:-REPEATS]:
            del self.answers[earlier]


@dataclass(kw_only=True, slots=True)
class LogPartition:
    """One partition's records, of which the first ones may be forgotten."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    producers: dict[str, ProducerState] = field(default_factory=dict)

    def end(self) -> int:
        """Return the offset behind the last record."""
        return len(self.records)


@dataclass(kw_only=True, slots=True)
class Group:
    """Members, when each was heard last, and what each holds."""

    generation: int = 0
    heard: dict[str, float] = field(default_factory=dict)
    ttl_s: dict[str, float] = field(default_factory=dict)
    dealt: dict[tuple[str, int], str] = field(default_factory=dict)
    holders: dict[tuple[str, int], str] = field(default_factory=dict)
    """Who may still believe to hold a partition: it moves only when that member knows."""


@dataclass(kw_only=True, slots=True)
class KeyedLog:
    """All topics and groups."""

    partitions: int = 12
    record_bytes: int = RECORD_BYTES
    """Largest record that an append may hold."""
    request_bytes: int = REQUEST_BYTES
    """Most bytes of all records of an append."""
    logs: dict[tuple[str, int], LogPartition] = field(default_factory=dict)
    groups: dict[str, Group] = field(default_factory=dict)

    def find(self, topic: str, partition: int) -> LogPartition:
        """Return a partition; a topic is made with its first use."""
        return self.logs.setdefault((topic, partition), LogPartition())

    def put(self, topic: str, key: str, value: bytes, *, partition: int = 0) -> None:
        """Write a record as the operator or a worker does."""
        name = key.encode()
        self.find(topic, partition).records.append(len(name).to_bytes(1, "big") + name + value)

    def newest(self, topic: str, partition: int) -> dict[str, tuple[int, bytes]]:
        """Return the newest value of each key with its offset; dropped keys are left out."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(self.find(topic, partition).records):
            key = record[1 : 1 + record[0]].decode()
            value = record[1 + record[0] :]
            if value:
                found[key] = (offset, value)
            else:
                found.pop(key, None)
        return found

    def forget(self, topic: str, partition: int) -> None:
        """Forget the history; the newest record of each key is kept."""
        log = self.find(topic, partition)
        log.first = log.end()

    def append(self, query: dict[str, str], body: bytes) -> Answer:
        """Append records, all or none."""
        log = self.find(query["topic"], int(query["part"]))
        if "at" in query and int(query["at"]) != log.end():
            return Answer(status=412, body={"endKey": log.end()})
        records = _split_records(body)
        is_too_large = any(len(record) > self.record_bytes for record in records)
        if is_too_large or len(body) > self.request_bytes:
            return Answer(status=413)
        known = self._check_producer(log, query, has_records=bool(body))
        if isinstance(known, Answer):
            return known
        offset = log.end()
        log.records += records
        answer = Answer(body={"offset": offset, "endKey": log.end()})
        if known is not None and body:
            known.record(int(query["sequence"]), answer)
        return answer

    def _check_producer(
        self, log: LogPartition, query: dict[str, str], *, has_records: bool
    ) -> Answer | ProducerState | None:
        """Return the refusal of an append or the answer to its repeat, or else its producer."""
        if "producer" not in query:
            return None
        epoch, sequence = int(query["epoch"]), int(query["sequence"])
        known = log.producers.get(query["producer"])
        if known is not None and epoch < known.epoch:
            return Answer(status=409, body={"reason": "fenced"})
        if known is None or epoch > known.epoch:
            known = log.producers[query["producer"]] = ProducerState(epoch=epoch)
        if not has_records:
            return known
        if sequence in known.answers:
            return known.answers[sequence]
        if known.sequence is not None and sequence != known.sequence + 1:
            return Answer(status=409, body={"reason": "seq", "sequence": known.sequence + 1})
        return known

    def read(self, query: dict[str, str], *, page_bytes: int = 0) -> Answer | None:
        """Read from an offset on; None if there is nothing to read yet.

        An answer holds at most `page_bytes`, and one record at least, if that isn't 0.
        """
        log = self.find(query["topic"], int(query["part"]))
        start = int(query["from"])
        if start < log.first:
            return Answer(status=410, body={"first": log.first})
        if start >= log.end() and int(query.get("waitMs", "0")):
            return None
        head = log.end().to_bytes(8, "big") + log.first.to_bytes(8, "big")
        room = 1024 * int(query.get("maxKb", MAX_READ_KB))
        room = min(room, page_bytes or room)
        return Answer(body=head + _frame(log.records[start:], room=room))

    def read_newest(self, query: dict[str, str], *, page_bytes: int = 0) -> Answer:
        """Return a page of the newest records, of at most `page_bytes` as in `read`."""
        topic, partition = query["topic"], int(query["part"])
        newest = self.newest(topic, partition)
        keys = sorted(key for key in newest if key > query.get("dependsOn", ""))
        items = [
            {"key": key, "value": b64encode(newest[key][1]).decode(), "offset": newest[key][0]}
            for key in keys[:PAGE_ITEMS]
        ]
        if page_bytes:
            items = _cut_page(items, room=page_bytes)
        end = self.find(topic, partition).end()
        return Answer(
            body={"items": items, "hasMore": len(keys) > len(items), "endKey": end},
        )

    def join(self, body: dict[str, Any]) -> Answer:
        """Take a member in, or keep it; returns what it holds."""
        group = self.groups.setdefault(body["group"], Group())
        member, now_s = body["member"], time.monotonic()
        lost = [
            name
            for name, heard_s in group.heard.items()
            if now_s - heard_s > group.ttl_s[name] and name != member
        ]
        is_new = member not in group.heard
        group.heard[member] = now_s
        group.ttl_s[member] = body["ttlMs"] / 1000
        for name in lost:
            self._drop_member(group, name)
        if is_new or lost:
            self._deal(group, body["topics"])
        if body["generation"] >= group.generation:
            # The member knows what it doesn't hold any more, so that may move on.
            for place, holder in list(group.holders.items()):
                if holder == member and group.dealt[place] != member:
                    group.holders[place] = group.dealt[place]
        rows = [
            [topic, partition, 0]
            for (topic, partition), dealt in sorted(group.dealt.items())
            if dealt == member and group.holders[(topic, partition)] == member
        ]
        return Answer(body={"generation": group.generation, "parts": rows})

    def leave(self, body: dict[str, Any]) -> Answer:
        """Drop a member, and deal out what it held."""
        group = self.groups.setdefault(body["group"], Group())
        if body["member"] in group.heard:
            topics = sorted({topic for topic, _ in group.dealt})
            self._drop_member(group, body["member"])
            self._deal(group, topics)
        return Answer()

    def _drop_member(self, group: Group, member: str) -> None:
        del group.heard[member]
        for place, holder in list(group.holders.items()):
            if holder == member:
                del group.holders[place]

    def _deal(self, group: Group, topics: list[str]) -> None:
        """Deal all partitions out evenly, and raise the generation."""
        group.generation += 1
        members = sorted(group.heard)
        places = [(topic, number) for topic in topics for number in range(self.partitions)]
        for index, place in enumerate(places):
            if not members:
                group.dealt.pop(place, None)
                continue
            group.dealt[place] = members[index % len(members)]
            group.holders.setdefault(place, group.dealt[place])

    def list_holders(self, query: dict[str, str]) -> Answer:
        """Say which member holds which partition."""
        group = self.groups.setdefault(query["group"], Group())
        rows = [[*place, holder, 0] for place, holder in sorted(group.holders.items())]
        return Answer(body={"parts": rows})


def _split_records(body: bytes) -> list[bytes]:
    """Return the records of an append, each of which stands behind its length."""
    records = []
    place = 0
    while place < len(body):
        head = place + LENGTH_BYTES
        place = head + int.from_bytes(body[head - LENGTH_BYTES : head], "big")
        records.append(body[head:place])
    return records


def _cut_page(items: list[dict[str, Any]], *, room: int) -> list[dict[str, Any]]:
    """Return the first item and those after it whose values have room."""
    kept = items[:1]
    room -= sum(len(item["value"]) for item in kept)
    for item in items[1:]:
        room -= len(item["value"])
        if room < 0:
            break
        kept.append(item)
    return kept


def _frame(records: list[bytes], *, room: int) -> bytes:
    """Return the first record and those after it that have room, each behind its length."""
    framed: list[bytes] = []
    for record in records:
        room -= LENGTH_BYTES + len(record)
        if framed and room < 0:
            break
        framed.append(len(record).to_bytes(LENGTH_BYTES, "big") + record)
    return b"".join(framed)
