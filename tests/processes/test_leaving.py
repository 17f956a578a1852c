"""A target that leaves gets no new work, whoever says so first."""

from __future__ import annotations

import pytest

from .harness import Fleet, call, call_json, wait_for
from .maintained import Maintained, answers


@pytest.fixture
def maintained(fleet: Fleet) -> Maintained:
    return Maintained(fleet=fleet)


def test_a_target_that_refuses_because_it_leaves_is_asked_once(maintained: Maintained) -> None:
    # A target leaves, and the platform's list doesn't show it yet. It refuses the first request
    # before it starts, and closes the connection. The caller gets its answer from another
    # target, and the entry instance sends nothing more to the one that leaves.
    maintained.start(targets_per_zone=2)
    entry = maintained.entries["a"]
    maintained.fleet.set_faults("t-a1", refuse_when_leaving=True)
    call_json("PUT", maintained.targets["t-a1"].http, "/standin/leaving", {})

    def is_refused() -> bool:
        assert answers(entry)
        return bool(maintained.fleet.counts("t-a1")["refused"])

    wait_for(is_refused, "the leaving target is asked")
    for _ in range(40):
        assert call("GET", entry.http, "/stock/1").status == 200
    assert maintained.fleet.counts("t-a1")["refused"] == 1
