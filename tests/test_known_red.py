"""A listed test is passed over only while it fails; a longer or stale list fails the run."""

from __future__ import annotations

import pytest

from .known_red import CROWDS, FILE_NAME, MAX_LINES, read_known_red

RED = "test_it.py::test_red | pytest test_it.py, no seed | the log is read twice | 7\n"
SUITE = """
def test_red(): assert False
def test_green(): pass
"""


@pytest.fixture(autouse=True)
def plugin_on_path(pytestconfig: pytest.Config, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("PYTHONPATH", str(pytestconfig.rootpath))


def run(pytester: pytest.Pytester, listed: str, *args: str) -> pytest.RunResult:
    pytester.makefile(".txt", **{FILE_NAME.removesuffix(".txt"): listed})
    pytester.makepyfile(test_it=SUITE)
    return pytester.runpytest_subprocess("-p", "tests.known_red", *args)


def make_crowds(pytester: pytest.Pytester, count: int) -> str:
    """Write tests with crowds that fail; return their lines."""
    folder = pytester.mkdir("tests").joinpath("crowds")
    folder.mkdir()
    names = [f"test_crowd_{number}" for number in range(count)]
    text = "\n".join(f"def {name}(): assert False" for name in names)
    folder.joinpath("test_doors.py").write_text(text, encoding="utf-8")
    return "".join(f"{CROWDS}test_doors.py::{name} | pytest, no seed | red | 7\n" for name in names)


def test_a_listed_red_test_is_passed_over_and_printed(pytester: pytest.Pytester) -> None:
    result = run(pytester, RED)
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)
    result.stdout.fnmatch_lines(
        ["KNOWN RED test_it.py::test_red (pytest test_it.py, no seed): the log is read twice (7)"]
    )


def test_an_unlisted_red_test_fails_the_run(pytester: pytest.Pytester) -> None:
    assert run(pytester, "").ret == 1


def test_a_listed_test_that_passes_fails_the_run(pytester: pytest.Pytester) -> None:
    # A line that outlives its fault would hide the next one in the same test.
    result = run(pytester, RED + "test_it.py::test_green | pytest, no seed | mended | 7\n")
    result.assert_outcomes(failed=1, xfailed=1)


@pytest.mark.parametrize(
    "listed",
    [
        RED * 4,
        RED + "test_it.py::test_gone | pytest, no seed | renamed | 7\n",
        "test_it.py::test_red | the log is read twice | 7\n",
        "test_it.py::test_red | pytest, no seed | no issue\n",
        "test_it.py::test_red | pytest, no seed | | 7\n",
        "days/gone.toml | fleetbench run, seed 3 | a rule is broken | 7\n",
    ],
)
def test_a_wrong_list_fails_the_run(pytester: pytest.Pytester, listed: str) -> None:
    result = run(pytester, listed)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"ERROR: {FILE_NAME}: *"])


def test_a_case_beside_the_suite_is_printed(pytester: pytest.Pytester) -> None:
    pytester.makefile(".toml", day="[[day]]")
    result = run(pytester, RED + "day.toml | fleetbench run, seed 3 | a rule is broken | 8\n")
    assert result.ret == 0
    result.stdout.fnmatch_lines(
        ["KNOWN RED day.toml (fleetbench run, seed 3): a rule is broken (8)"]
    )


def test_lines_of_crowds_are_beyond_the_three(pytester: pytest.Pytester) -> None:
    crowds = make_crowds(pytester, MAX_LINES + 1)
    result = run(pytester, RED + crowds)
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=MAX_LINES + 2)


def test_run_without_the_crowds_passes_over_their_lines(pytester: pytest.Pytester) -> None:
    crowds = make_crowds(pytester, 1)
    result = run(pytester, RED + crowds, "--ignore=tests/crowds")
    assert result.ret == 0
    result.assert_outcomes(passed=1, xfailed=1)


@pytest.mark.parametrize("args", [(), ("tests/crowds",)])
def test_stale_line_of_a_crowd_fails_the_run(
    pytester: pytest.Pytester, args: tuple[str, ...]
) -> None:
    """Guards against a line that outlives its fault, since its test runs apart from the suite."""
    crowds = make_crowds(pytester, 1)
    stale = f"{CROWDS}test_doors.py::test_gone | pytest, no seed | renamed | 7\n"
    result = run(pytester, RED + crowds + stale, *args)
    assert result.ret == pytest.ExitCode.USAGE_ERROR


@pytest.mark.parametrize(
    "more",
    [
        f"{CROWDS}test_doors.py | pytest, no seed | several are red | 7\n",
        f"{CROWDS}test_doors.py::test_crowd_0 | pytest, no seed | red again | 7\n",
    ],
)
def test_merged_lines_of_crowds_fail_the_run(pytester: pytest.Pytester, more: str) -> None:
    crowds = make_crowds(pytester, 1)
    result = run(pytester, crowds + more)
    assert result.ret == pytest.ExitCode.USAGE_ERROR
    result.stderr.fnmatch_lines([f"ERROR: {FILE_NAME}: *"])


def test_the_list_at_the_root_is_well_formed(pytestconfig: pytest.Config) -> None:
    read_known_red(pytestconfig.rootpath / FILE_NAME)
