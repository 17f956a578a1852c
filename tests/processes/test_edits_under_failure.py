"""Edits while operators race, answers get lost, and the platform is down or silent."""

from __future__ import annotations

import json
from base64 import b64decode
from concurrent.futures import ThreadPoolExecutor
from typing import Any, Final

import httpcore

from .harness import TOKEN, Fleet, Process, call, call_json, wait_for
from .test_admin_port import append_raw

POOL: Final = {"kind": "pool", "owner": "sheetal", "size": 3}
KEY: Final = "shift-change"


def put(entry: Process, size: int, **headers: str) -> httpcore.Response:
    sent = {name.replace("_", "-"): value for name, value in headers.items()}
    return call(
        "PUT",
        entry.admin,
        "/catalogue/desk",
        body=json.dumps(POOL | {"size": size}).encode(),
        headers=sent | {"authorization": f"Bearer {TOKEN}"},
    )


def header(response: httpcore.Response, name: bytes) -> bytes:
    return dict(response.headers).get(name, b"")


def test_of_two_racing_operators_one_wins_everywhere(fleet: Fleet) -> None:
    # Two operators read version 1 at two entry instances and change it at the same moment. The
    # log orders the two records: one is accepted, the other gets 412 and version 2. Both entry
    # instances then have the winner's entry.
    fleet.start_platform()
    entries = [fleet.start_entry(f"e-{zone}", zone=zone) for zone in "ab"]
    created = put(entries[0], 1)
    fleet.wait_in_force(entries, json.loads(created.content)["offset"])
    for round_number in range(1, 6):
        etag = f'"{round_number}"'
        with ThreadPoolExecutor(2) as pool:
            racing = [
                pool.submit(put, entry, size, if_match=etag)
                for size, entry in zip((10, 20), entries, strict=True)
            ]
        answers = [future.result() for future in racing]
        assert sorted(answer.status for answer in answers) == [200, 412]
        [lost] = [answer for answer in answers if answer.status == 412]
        [won] = [answer for answer in answers if answer.status == 200]
        assert header(lost, b"etag") == f'"{round_number + 1}"'.encode()
        fleet.wait_in_force(entries, json.loads(won.content)["offset"])
        sizes = {call_json("GET", e.admin, "/catalogue/desk")["size"] for e in entries}
        assert sizes == {(10, 20)[answers.index(won)]}


def test_an_append_whose_answer_is_lost_is_accepted_once(fleet: Fleet) -> None:
    # The append took effect, its answer never came. The edit is read back and accepted. Then a
    # second copy of the record comes into the log, as from a writer that was paused before it
    # read the first one back. The copy changes nothing at any reader, not even what is told.
    fleet.start_platform()
    entries = [fleet.start_entry(f"e-{zone}", zone=zone) for zone in "ab"]
    fleet.set_faults("platform", lose_append_answers=1)
    accepted = put(entries[0], 5, idempotency_key=KEY)
    assert accepted.status == 200, accepted.content
    fleet.wait_in_force(entries, append_raw(fleet, _record_bytes(fleet)))
    again = put(entries[1], 5, idempotency_key=KEY)
    assert json.loads(again.content) == json.loads(accepted.content)
    changed = put(entries[1], 6, if_match='"1"')
    assert json.loads(changed.content)["version"] == 2
    fleet.wait_in_force(entries, json.loads(changed.content)["offset"])
    for entry in entries:
        read = call("GET", entry.admin, "/catalogue/desk")
        assert header(read, b"etag") == b'"2"'


def _record_bytes(fleet: Fleet) -> bytes:
    """Return the edit's record as it stands in the platform's stream, once."""
    platform = fleet.processes["platform"]
    read = call_json("GET", platform.http, "/streams/fleet/records?from=0&max=512")
    records = [b64decode(data) for _, _, data in read["records"]]
    [record] = [data for data in records if KEY.encode() in data]
    return record


def test_a_platform_that_refuses_has_accepted_nothing(fleet: Fleet) -> None:
    # The platform answers every append with an error. The operator is told at once that the
    # edit was not accepted, and it never comes into force later.
    fleet.start_platform()
    entry = fleet.start_entry("e-a", zone="a")
    fleet.set_faults("platform", refuse_appends=True)
    refused = put(entry, 5)
    assert (refused.status, header(refused, b"retry-after")) == (503, b"5")
    assert "was not accepted, and will not be later" in json.loads(refused.content)["detail"]
    fleet.set_faults("platform")
    accepted = wait_for(lambda: _accepted(put(entry, 6)), "the platform takes edits again")
    assert accepted["version"] == 1
    assert call_json("GET", entry.admin, "/catalogue/desk")["size"] == 6


def _accepted(response: httpcore.Response) -> Any:
    return json.loads(response.content) if response.status == 200 else None


def test_silence_may_have_accepted_and_a_repeat_elsewhere_settles_it(fleet: Fleet) -> None:
    # An entry instance is cut off from the platform in the middle of an edit. It can't know
    # whether the append took effect, and says so. The operator repeats the edit under its key
    # through another entry instance; after the cut the first one knows the outcome too.
    fleet.start_platform()
    # No lease is renewed meanwhile: the edit is the first append that meets the cut.
    quiet = "[routing]\nlease_ms = 600000\nrenew_interval_ms = 300000\n"
    quiet += "[admin]\nwrite_timeout_ms = 1000\n"
    cut, other = (fleet.start_entry(f"e-{zone}", zone=zone, extra=quiet) for zone in "ab")
    # Nor may the cut find the renewals on their way that follow a join.
    wait_for(lambda: _both_know_both(cut), "no renewal is due")
    fleet.set_faults("platform", cut_instances=["e-a"])
    unknown = put(cut, 5, idempotency_key=KEY)
    assert unknown.status == 503
    problem = json.loads(unknown.content)
    assert "may have been accepted" in problem["detail"]
    assert (problem["idempotency_key"], problem["record"]) == (KEY, f"sheetal:{KEY}")
    status = wait_for(lambda: _unreachable(cut), "the cut instance says that it is cut off")
    assert status["platform"]["heard_age_ms"] > 0
    assert call("GET", cut.admin, f"/records/{problem['record']}").status == 404
    repeated = put(other, 5, idempotency_key=KEY)
    assert (repeated.status, json.loads(repeated.content)["version"]) == (200, 1)
    fleet.set_faults("platform")
    told = wait_for(lambda: _record(cut, problem["record"]), "the record is known here")
    assert (told["accepted"], told["version"]) == (True, 1)
    again = put(cut, 5, idempotency_key=KEY)
    assert json.loads(again.content) == json.loads(repeated.content)


def has_joined(entry: Process) -> bool:
    """Say whether an entry process has read back its own first lease."""
    return entry.name in call_json("GET", entry.admin, "/status")["entry_instances"]


def _both_know_both(entry: Process) -> bool:
    """Say whether both entry instances have reported an offset after both joins."""
    known = call_json("GET", entry.admin, "/status")["entry_instances"].values()
    return len(known) == 2 and all(line["offset_in_force"] >= 1 for line in known)


def _unreachable(entry: Process) -> Any:
    status = call_json("GET", entry.admin, "/status")
    return None if status["platform"]["reachable"] else status


def _record(entry: Process, record: str) -> Any:
    answer = call("GET", entry.admin, f"/records/{record}")
    return json.loads(answer.content) if answer.status == 200 else None
