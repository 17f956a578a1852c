"""A listed test is passed over only while it fails; a longer or stale list fails the run."""

from __future__ import annotations

import pytest

from .known_red import FILE_NAME, read_known_red

RED = "test_it.py::test_red | pytest test_it.py, no seed | the log is read twice | 7\n"
SUITE = """
def test_red(): assert False
def test_green(): pass
"""


@pytest.fixture(autouse=True)
def plugin_on_path(pytestconfig: pytest.Config, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setenv("PYTHONPATH", str(pytestconfig.rootpath))


def run(pytester: pytest.Pytester, listed: str) -> pytest.RunResult:
    pytester.makefile(".txt", **{FILE_NAME.removesuffix(".txt"): listed})
    pytester.makepyfile(test_it=SUITE)
    return pytester.runpytest_subprocess("-p", "tests.known_red")


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


def test_the_list_at_the_root_is_well_formed(pytestconfig: pytest.Config) -> None:
    read_known_red(pytestconfig.rootpath / FILE_NAME)
