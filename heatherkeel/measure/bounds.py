"""What no policy could beat: the fewest spare instances, the shortest wave, the fewest moves."""

from __future__ import annotations

from dataclasses import dataclass
from itertools import product
from math import ceil

from . import users
from .users import User


@dataclass(frozen=True, kw_only=True, slots=True)
class Bounds:
    """Lower bounds for one user on an ordinary day; any policy, any arrangement."""

    buffer_cost: int
    roll_out_time_s: int
    moves: int


def find_bounds(user: User) -> Bounds:
    """Return the bounds at today's size."""
    need = users.NEED_PER_SERVICE * users.SERVICES
    most = most_at_once(users.WORKERS, need=need)
    rounds = ceil(users.WORKERS / most)
    return Bounds(
        buffer_cost=fewest_spare_in_window(user, need),
        roll_out_time_s=rounds * user.reboot_s,
        moves=users.WORKERS,
    )


def fewest_spare(need: int) -> int:
    """Return the fewest instances above the need with which one can stop, and a zone be lost."""
    workers = need
    while most_at_once(workers, need=need) < 1:
        workers += 1
    return workers - need


def fewest_spare_in_window(user: User, need: int) -> int:
    """Return the fewest instances above the need whose wave can end within the window."""
    workers = need + fewest_spare(need)
    while ceil(workers / most_at_once(workers, need=need)) * user.reboot_s > users.WINDOW_S:
        workers += 1
    return workers - need


def most_at_once(workers: int, *, need: int) -> int:
    """Return how many instances can be out side by side with one zone more to lose.

    All ways to take instances out of the availability zones are tried, over as even a spread
    as there is: an uneven one has a larger zone to lose.
    """
    zones = len(users.ZONES)
    sizes = [workers // zones + (index < workers % zones) for index in range(zones)]
    best = 0
    for out in product(*(range(size + 1) for size in sizes)):
        left = [size - gone for size, gone in zip(sizes, out, strict=True)]
        if sum(left) - max(left) >= need:
            best = max(best, sum(out))
    return best
