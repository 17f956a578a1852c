"""Tests of the stand-in of the store."""

from __future__ import annotations

import pytest

from heatherkeel.platform.framing import KeyedRecord, encode_records
from heatherkeel.standins.keyed_log import KeyedLog

KEY = "p1"
KEY_BYTES = len(KEY) + 1


@pytest.mark.parametrize(("over", "status"), [(0, 200), (1, 413)])
def test_record_above_the_limit_is_refused_with_all_others_of_its_append(
    over: int, status: int
) -> None:
    """Guards against tests that pass with records that the platform's store refuses."""
    log = KeyedLog()
    value = bytes(log.record_bytes - KEY_BYTES + over)
    body = encode_records([KeyedRecord(key="p0", value=b"x"), KeyedRecord(key=KEY, value=value)])
    answer = log.append({"topic": "keyed.work", "part": "0"}, body)
    assert answer.status == status
    assert len(log.find("keyed.work", 0).records) == (2 if status == 200 else 0)
