"""Tests of the table of queues."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from heatherkeel.gateway.routing import QueueTable
from heatherkeel.platform.operator import Configuration, Queue

HOSTS = st.sampled_from(["a.example", "b.example"])
PATHS = st.text(alphabet="/xy", max_size=5).map(lambda text: f"/{text}")


def find_by_looking_at_all(queues: list[Queue], host: str, path: str) -> Queue | None:
    """Return the first of the host's queues with the longest prefix of a path."""
    matching = [queue for queue in queues if queue.host == host]
    matching = [queue for queue in matching if path.startswith(queue.path_prefix)]
    return max(matching, key=lambda queue: len(queue.path_prefix), default=None)


@given(addresses=st.lists(st.tuples(HOSTS, PATHS), max_size=12), host=HOSTS, path=PATHS)
def test_table_finds_the_longest_prefix(
    addresses: list[tuple[str, str]], host: str, path: str
) -> None:
    queues = [
        Queue(name=f"q{number}", host=name, path_prefix=prefix, service="desk")
        for number, (name, prefix) in enumerate(addresses)
    ]
    config = Configuration(version=1, queues=queues)
    table = QueueTable()
    expected = find_by_looking_at_all(queues, host, path)
    assert table.find(config, host=host, path=path) == expected
    assert table.find(config, host=f"{host}:8080", path=path) == expected


def test_table_follows_a_new_configuration() -> None:
    """Guards against denying a queue that the configuration in force has."""
    table = QueueTable()
    queue = Queue(name="q", host="a.example", path_prefix="/q/", service="desk")
    assert table.find(Configuration(version=1), host="a.example", path="/q/1") is None
    config = Configuration(version=2, queues=[queue])
    assert table.find(config, host="a.example", path="/q/1") == queue
