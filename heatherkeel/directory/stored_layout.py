"""The layout and the homes of queues in the records of the fleet's partition."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from result import Err, Ok

from heatherkeel.ownership.const import LAYOUT_KEY, QUEUE_HOMES_KEY, QUEUE_HOMES_PREFIX
from heatherkeel.ownership.partitions import Layout, decode_layout
from heatherkeel.ownership.queue_homes import HomePages, QueueHomes, decode_queue_homes
from heatherkeel.platform.framing import KeyedRecord

_LOGGER = logging.getLogger(__name__)


def make_homes_key(number: int) -> str:
    """Return the key of a page of homes."""
    return f"{QUEUE_HOMES_PREFIX}{number}" if number else QUEUE_HOMES_KEY


def parse_homes_key(key: str) -> int | None:
    """Return the number of the page with this key; None if it is another record's."""
    if key == QUEUE_HOMES_KEY:
        return 0
    number = key.removeprefix(QUEUE_HOMES_PREFIX)
    is_page = key.startswith(QUEUE_HOMES_PREFIX) and number.isascii() and number.isdecimal()
    return int(number) if is_page else None


def keep_layout_records(
    kept: dict[str, KeyedRecord], records: Iterable[KeyedRecord]
) -> dict[str, KeyedRecord]:
    """Return the newest records of the layout and the homes, without other records."""
    newest = dict(kept)
    for record in records:
        if not record.value or (record.key != LAYOUT_KEY and parse_homes_key(record.key) is None):
            continue
        # Pages of the store are no snapshot, so that a key may occur twice.
        known = newest.get(record.key)
        if known is None or record.offset >= known.offset:
            newest[record.key] = record
    return newest


def find_layout(records: Iterable[KeyedRecord]) -> Layout | None:
    """Return the layout that is stored in the fleet's partition, empty if there is none.

    Returns None if the stored layout can't be decoded, as after a downgrade. It must not be
    replaced then, since existing jobs are routed by it.
    """
    record = keep_layout_records({}, records).get(LAYOUT_KEY)
    if record is None:
        return Layout()
    match decode_layout(record.value):
        case Ok(layout):
            return layout
        case Err(detail):
            _LOGGER.error(
                "cannot decode the layout", extra={"event": "layout_bad", "detail": detail}
            )
            return None


def find_home_pages(records: Iterable[KeyedRecord]) -> HomePages | None:
    """Return the stored homes of queues, without pages if there are none.

    Returns None if a page can't be decoded. Like an unreadable layout, it must not be replaced.
    """
    pages: dict[int, QueueHomes] = {}
    for key, record in keep_layout_records({}, records).items():
        number = parse_homes_key(key)
        if number is None:
            continue
        decoded = decode_queue_homes(record.value)
        if isinstance(decoded, Err):
            _LOGGER.error(
                "cannot decode the homes of queues",
                extra={"event": "queue_homes_bad", "key": key, "detail": decoded.err_value},
            )
            return None
        pages[number] = decoded.ok_value
    return HomePages(pages=pages)


def find_queue_homes(records: Iterable[KeyedRecord]) -> QueueHomes | None:
    """Return all stored homes, empty if there are none; None if they are unreadable."""
    pages = find_home_pages(records)
    return pages.merge() if pages is not None else None
