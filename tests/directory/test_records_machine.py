"""State machine: processes learn the operator's records from the store and from each other."""

from __future__ import annotations

from dataclasses import dataclass

from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from heatherkeel.directory.coverage import Reading
from heatherkeel.directory.records import OperatorRecords
from heatherkeel.platform.framing import KeyedRecord

PROCESSES = 3


@dataclass(frozen=True, kw_only=True)
class Delivery:
    """An answer on its way: what is learned when it arrives."""

    receiver: OperatorRecords
    records: list[KeyedRecord]
    reading: Reading


class RecordsMachine(RuleBasedStateMachine):
    """Answers may arrive late, twice, never and in any order.

    No process may believe that it knew all records at a time when it lacked one.
    """

    answers = Bundle("answers")

    def __init__(self) -> None:
        super().__init__()
        self.now_ms = 0
        self.written: list[tuple[int, KeyedRecord]] = []
        """Time and record of each write."""
        self.known = [OperatorRecords() for _ in range(PROCESSES)]

    @rule(step_ms=st.integers(min_value=1, max_value=900))
    def pass_time(self, step_ms: int) -> None:
        self.now_ms += step_ms

    @rule(key=st.sampled_from(["config", "wave/1"]))
    def write(self, key: str) -> None:
        offset = len(self.written)
        record = KeyedRecord(key=key, value=str(offset).encode(), offset=offset)
        self.written.append((self.now_ms, record))
        self.now_ms += 1

    @rule(
        target=answers,
        receiver=st.integers(min_value=0, max_value=PROCESSES - 1),
        waited_ms=st.integers(min_value=0, max_value=900),
        most=st.integers(min_value=1, max_value=4),
    )
    def read_store(self, receiver: int, waited_ms: int, most: int) -> Delivery:
        """Read from the known end on; the store cuts its answer at a size."""
        sent_ms, start = self.now_ms, self.known[receiver].end
        records = [record for _, record in self.written[start : start + most]]
        if not records:
            self.now_ms += waited_ms
        seen_ms = sent_ms if records else sent_ms + waited_ms
        return Delivery(
            receiver=self.known[receiver],
            records=records,
            reading=Reading(
                known_end=start + len(records), log_end=len(self.written), seen_ms=seen_ms
            ),
        )

    @rule(
        target=answers,
        receiver=st.integers(min_value=0, max_value=PROCESSES - 1),
        written_between=st.integers(min_value=0, max_value=2),
    )
    def read_newest(self, receiver: int, written_between: int) -> Delivery:
        """Read the newest record of each key; its pages are no snapshot."""
        sent_ms, end = self.now_ms, len(self.written)
        for _ in range(written_between):
            self.write("config")
        newest = {record.key: record for _, record in self.written}
        return Delivery(
            receiver=self.known[receiver],
            records=sorted(newest.values(), key=lambda record: record.offset),
            reading=Reading(known_end=end, log_end=end, seen_ms=sent_ms),
        )

    @rule(
        target=answers,
        receiver=st.integers(min_value=0, max_value=PROCESSES - 1),
        asked=st.integers(min_value=0, max_value=PROCESSES - 1),
        on_way_ms=st.integers(min_value=0, max_value=900),
    )
    def ask_process(self, receiver: int, asked: int, on_way_ms: int) -> Delivery | None:
        asked_ms, start = self.now_ms, self.known[receiver].end
        self.now_ms += on_way_ms
        other = self.known[asked]
        if other.as_of_ms is None:
            return None
        return Delivery(
            receiver=self.known[receiver],
            records=other.list_from(start),
            reading=Reading(
                known_end=other.end,
                log_end=other.end,
                seen_ms=asked_ms - (self.now_ms - other.as_of_ms),
            ),
        )

    @rule(answer=answers)
    def deliver(self, answer: Delivery | None) -> None:
        if answer is None:
            return
        answer.receiver.add(answer.records)
        answer.receiver.apply(answer.reading)

    @rule(process=st.integers(min_value=0, max_value=PROCESSES - 1))
    def restart(self, process: int) -> None:
        """Forget everything; answers to questions from before are lost."""
        self.known[process] = OperatorRecords()

    @invariant()
    def knows_all_records_up_to_its_time(self) -> None:
        for known in self.known:
            if known.as_of_ms is None:
                continue
            newest: dict[str, int] = {}
            for written_ms, record in self.written:
                if written_ms < known.as_of_ms:
                    newest[record.key] = record.offset
            for key, offset in newest.items():
                assert key in known.newest, (key, known)
                assert known.newest[key].offset >= offset


TestRecords = RecordsMachine.TestCase
