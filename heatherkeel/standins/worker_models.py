"""What can be told to a worker's process."""

from __future__ import annotations

from typing import Annotated

import msgspec
from msgspec import Meta


class Slow(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Lets tasks take so many times as long as stated."""

    factor: Annotated[float, Meta(gt=0, le=1000)]
