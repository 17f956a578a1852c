"""`heatherkeel load`: ask entry instances on loopback in open loop."""

from __future__ import annotations

from absl import flags

from .registry import command


def _define(values: flags.FlagValues) -> None:
    text, whole, real = flags.DEFINE_multi_string, flags.DEFINE_integer, flags.DEFINE_float
    text("entry", [], "Entry instance as IP:PORT; several are asked in turn.", flag_values=values)
    text("target", [], "Target stand-in whose counts are compared.", flag_values=values)
    text("service", [], "PATH or PATH=WEIGHT; may be repeated.", flag_values=values)
    real("rate", 50.0, "Requests a second.", flag_values=values)
    real("duration_s", 10.0, "Seconds in which requests are sent.", flag_values=values)
    whole("max_requests", 100_000, "Most requests of the run.", flag_values=values)
    flags.DEFINE_string("arrivals", "poisson", "poisson or constant.", flag_values=values)
    whole("seed", 1, "Seed of arrivals and requests.", flag_values=values)
    real("non_idempotent_share", 0.0, "Part of requests that are POST.", flag_values=values)
    real("keyed_share", 1.0, "Part of those with an Idempotency-Key.", flag_values=values)
    whole("deadline_ms", 0, "Deadline sent with each request; 0: none.", flag_values=values)
    whole("timeout_ms", 30_000, "Longest wait for an answer.", flag_values=values)
    whole("body_bytes", 64, "Body size of non-idempotent requests.", flag_values=values)
    whole("max_in_flight", 4096, "Most requests in progress.", flag_values=values)
    flags.DEFINE_bool("json", False, "Print one JSON object.", flag_values=values)


@command(
    "load",
    help="Ask entry instances on loopback in open loop, and check every answer.",
    usage="--entry=IP:PORT --service=PATH[=WEIGHT] [flags]",
    define=_define,
)
def run_load_command(values: flags.FlagValues, args: list[str]) -> int:
    """Run one load; exit 1 if a promise was broken, 2 for a plan that can't be run."""
    from heatherkeel.load.command import run_load

    return run_load(values)
