"""Entry processes start again after the log has dropped its first records."""

from __future__ import annotations

import json
from typing import Final

from .harness import Fleet, Process, call, wait_for

OFTEN: Final = """
            [snapshots]
            interval_records = 12
            check_interval_ms = 50
"""
RETAINED: Final = 60


def pool(size: int) -> dict[str, object]:
    return {"kind": "pool", "owner": "sheetal", "size": size}


def edit_until(fleet: Fleet, entry: Process, *, edits: int, version: int) -> int:
    """Make so many edits of the pool `desk` and return its version."""
    for _ in range(edits):
        answer = fleet.put_entry(entry, "desk", pool(version + 1), version=version)
        assert answer.status == 200, answer.content
        version += 1
    return version


def count(entry: Process, event: str) -> int:
    """Count how often an entry process has logged an event."""
    return sum(line.get("event") == event for line in entry.events())


def etag(entry: Process) -> str:
    return dict(call("GET", entry.admin, "/catalogue/desk").headers)[b"etag"].decode()


def test_a_killed_entry_starts_from_a_snapshot_when_the_first_records_are_gone(
    fleet: Fleet,
) -> None:
    # An operator's edits are in force. The log drops its first records, and an entry instance is
    # lost and replaced. The new one can't fold from the first record any more; it starts from a
    # snapshot, and shows the operator exactly the version in force.
    fleet.start_platform()
    first = fleet.start_entry("e-1", zone="a", extra=OFTEN)
    second = fleet.start_entry("e-2", zone="b", extra=OFTEN)
    version = edit_until(fleet, first, edits=20, version=0)
    wait_for(
        lambda: first.has_logged("snapshot_endorsed") or second.has_logged("snapshot_endorsed"),
        "a snapshot is endorsed",
    )
    fleet.set_faults("platform", retain_records=RETAINED)
    version = edit_until(fleet, first, edits=RETAINED, version=version)
    second.kill()
    version = edit_until(fleet, first, edits=5, version=version)
    again = fleet.start_entry("e-2", zone="b", extra=OFTEN)
    assert again.has_logged("state_restored")
    assert etag(again) == etag(first) == f'"{version}"'
    edited = fleet.put_entry(again, "desk", pool(1), version=version)
    fleet.wait_in_force([first, again], json.loads(edited.content)["offset"])
    assert etag(first) == f'"{version + 1}"'


def test_an_author_killed_between_mark_and_claim_starts_again(fleet: Fleet) -> None:
    # An entry instance begins the second snapshot and is killed before it claims it. The other
    # one must not wait ten minutes for it: the log drops its first records, the first snapshot is
    # too old, and the killed process can't start again until there is a newer one.
    fleet.start_platform()
    extra = OFTEN + "overtake_ms = 600000\n[routing]\nlease_ms = 3000\nrenew_interval_ms = 500\n"
    entries = [
        fleet.start_entry("e-1", zone="a", extra=extra),
        fleet.start_entry("e-2", zone="b", extra=extra),
    ]
    version = edit_until(fleet, entries[0], edits=20, version=0)
    wait_for(lambda: any(entry.has_logged("snapshot_endorsed") for entry in entries), "endorsed")
    # Slow appends keep the author busy long enough to be caught at it; the renewals of both are
    # records enough for another snapshot.
    fleet.set_faults("platform", retain_records=RETAINED, delay_ms=300)
    marks = {entry.name: count(entry, "snapshot_marked") for entry in entries}

    def find_author() -> Process | None:
        busy = [entry for entry in entries if count(entry, "snapshot_marked") > marks[entry.name]]
        return busy[0] if busy else None

    author = wait_for(find_author, "the second snapshot is begun")
    author.kill()
    fleet.set_faults("platform", retain_records=RETAINED)
    [other] = [entry for entry in entries if entry is not author]
    version = edit_until(fleet, other, edits=2 * RETAINED, version=version)
    again = fleet.start_entry(author.name, zone="a" if author.name == "e-1" else "b", extra=extra)
    assert again.has_logged("state_restored")
    assert etag(again) == etag(other) == f'"{version}"'


def test_a_paused_entry_rebuilds_when_its_offset_is_no_longer_kept(fleet: Fleet) -> None:
    # An entry instance is frozen. Meanwhile the log drops records that it has not read. Thawed,
    # it must not go on from the oldest record that is left: it would miss accepted edits for
    # good. It says that its offset is gone and takes a newer snapshot.
    fleet.start_platform()
    first = fleet.start_entry("e-1", zone="a", extra=OFTEN)
    second = fleet.start_entry("e-2", zone="b", extra=OFTEN)
    version = edit_until(fleet, first, edits=3, version=0)
    fleet.set_faults("platform", retain_records=RETAINED)
    second.freeze()
    version = edit_until(fleet, first, edits=2 * RETAINED, version=version)
    second.thaw()
    wait_for(lambda: second.has_logged("state_restored"), "the state is restored")
    assert second.has_logged("out_of_retention")
    wait_for(lambda: etag(second) == f'"{version}"', "the newest version is in force")
