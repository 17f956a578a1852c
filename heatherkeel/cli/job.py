"""`heatherkeel job`: submit, look up, list, cancel and resolve jobs."""

from __future__ import annotations

from absl import flags

from .registry import command

ACTIONS = ("submit", "get", "list", "cancel", "resolve")


def _define(values: flags.FlagValues) -> None:
    text = flags.DEFINE_string
    text("admin", None, "Admin address of an entry instance, IP:PORT.", flag_values=values)
    text("token_file", "", "File with the team's token.", flag_values=values)
    text("spec", "", "JSON file of the job, for submit.", flag_values=values)
    text("names_file", "", "File with a name a line, for cancel.", flag_values=values)
    text("team", "", "Only jobs of this team, for list.", flag_values=values)
    text("status", "", "Only jobs in this status, for list.", flag_values=values)
    flags.DEFINE_enum(
        "resolution",
        "give_up",
        ["run_again", "give_up"],
        "What to do with an unknown job, for resolve.",
        flag_values=values,
    )
    flags.DEFINE_integer("version", 0, "Version that was seen, for resolve.", flag_values=values)


@command(
    "job",
    help="Submit, look up, list, cancel or resolve jobs over the admin port.",
    usage="submit|get|list|cancel|resolve [NAME] --admin=IP:PORT [flags]",
    define=_define,
    required=("admin",),
    arguments=(ACTIONS, ()),
    optional_from=1,
)
def run_job(values: flags.FlagValues, args: list[str]) -> int:
    """Make one call and print its answer; exit 1 if it was refused or not answered."""
    from .job_calls import run_job_command

    return run_job_command(values, args[0], args[1] if len(args) > 1 else "")
