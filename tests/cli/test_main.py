"""Every wrong command line gets one clear line on standard error and exit 2."""

from __future__ import annotations

import socket
import subprocess
import sys
from importlib import import_module
from pathlib import Path
from typing import Final

import pytest

from heatherkeel.cli.main import SUBCOMMANDS, main
from heatherkeel.cli.registry import COMMANDS

HEAVY: Final = ("trio", "httpcore", "hypercorn", "msgspec", "zmq", "prometheus_client")
Captured = pytest.CaptureFixture[str]
# The command line loads a subcommand only when it is asked for; the cases below are made of all.
for subcommand in SUBCOMMANDS:
    import_module(f"heatherkeel.cli.{subcommand}")


def told(capsys: Captured, *argv: str) -> tuple[int, str]:
    status = main(list(argv))
    return status, capsys.readouterr().err


@pytest.mark.parametrize("argv", [["nope"], ["--nope"], ["-x"], [""], ["check", "--nope"]])
def test_what_is_unknown_is_refused(capsys: Captured, argv: list[str]) -> None:
    status, err = told(capsys, *argv)
    assert status == 2 and err.count("\n") == 1 and "nknown" in err


def test_every_subcommand_is_registered_by_the_module_of_its_name() -> None:
    assert set(COMMANDS) == set(SUBCOMMANDS)


@pytest.mark.parametrize("name", sorted(COMMANDS))
def test_every_command_has_help_and_refuses_what_it_does_not_know(
    capsys: Captured, name: str
) -> None:
    assert main([name, "--help"]) == 0
    assert capsys.readouterr().out.startswith(f"usage: heatherkeel {name}")
    status, err = told(capsys, name, "--no-such-flag")
    assert status == 2 and err.count("\n") == 1
    status, err = told(capsys, name, *["surplus"] * 9)
    assert status == 2 and err.count("\n") == 1


@pytest.mark.parametrize("name", [n for n, item in sorted(COMMANDS.items()) if item.required])
def test_a_missing_flag_is_told(capsys: Captured, name: str) -> None:
    arguments = ["x"] * len(COMMANDS[name].arguments)
    status, err = told(capsys, name, *arguments)
    assert status == 2 and err.count("\n") == 1 and "missing flag --" in err


@pytest.mark.parametrize(
    "argv",
    [
        ["standin"],
        ["standin", "platfrom"],
        ["standin", "target", "--slots=many"],
        ["standin", "target", "--slots=0"],
        ["standin", "platform", "--bind=localhost"],
        ["standin", "platform", "--bind=127.0.0.1:65536"],
        ["standin", "users-platform", "--entry-ttl-ms=0"],
        ["standin", "users-platform", "--partitions=0"],
        ["standin", "worker"],
        ["standin", "worker", "--control=127.0.0.1:1", "--machine=m0", "--pool=portal"],
        ["standin", "worker", "--control=nobody", "--machine=m0", "--pool=p", "--history=h"],
        ["standin", "worker", "--announce=127.0.0.1:0"],
        ["standin", "worker", "--drain-s=-1"],
        ["check", "--settings"],
        ["check", "--settings="],
        ["check", "--settings=a", "--flagfile=/no/such"],
    ],
)
def test_wrong_values_are_told(capsys: Captured, argv: list[str]) -> None:
    status, err = told(capsys, *argv)
    assert status == 2 and err.count("\n") == 1 and argv[0] in err


def test_no_command_at_all_shows_the_overview(capsys: Captured) -> None:
    status, err = told(capsys)
    assert status == 2 and all(name in err for name in COMMANDS)


def test_check_and_entry_tell_the_same_faults(capsys: Captured, tmp_path: Path) -> None:
    # A process that opened its port before it found the fault would be sent traffic by the
    # balancer, and then vanish.
    file = tmp_path / "entry.toml"
    file.write_text("[instance]\nid = 1\n", encoding="utf-8")
    checked = told(capsys, "check", f"--settings={file}")
    assert checked == told(capsys, "entry", f"--settings={file}")
    assert checked[0] == 2 and f"{file}: instance.id: expected str, got int\n" in checked[1]


def test_importing_the_command_line_loads_nothing_large() -> None:
    # `version` is what a deployment asks before it trusts a binary; it must not cost a second.
    code = f"import heatherkeel.cli.main, sys; print([m for m in {HEAVY} if m in sys.modules])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_an_instance_loads_only_what_it_uses() -> None:
    """Guards against slow restarts by modules that only operators' subcommands or `entry` need."""
    code = (
        "from heatherkeel.cli.main import main; import sys; main(['instance', '--settings=/none']);"
        "import heatherkeel.instance.process;"
        "print(*sorted(m for m in sys.modules if m.startswith('heatherkeel.')))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    loaded = done.stdout.split()
    commands = {name.removeprefix("heatherkeel.cli.") for name in loaded if ".cli." in name}
    assert commands == {"const", "instance", "main", "registry"}
    unused = ("admin", "entry", "jobs", "load", "requests", "standins", "waves")
    assert not [name for name in loaded if name.split(".")[1] in unused]


def test_a_port_in_use_is_told_in_one_line() -> None:
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        held.listen()
        bind = f"--bind=127.0.0.1:{held.getsockname()[1]}"
        argv = [sys.executable, "-m", "heatherkeel", "standin", "platform", bind]
        done = subprocess.run(argv, capture_output=True, text=True)
    assert done.returncode == 1 and done.stderr.count("\n") == 1
    assert "ddress already in use" in done.stderr and bind.removeprefix("--bind=") in done.stderr


def test_a_reader_that_leaves_early_gets_no_traceback() -> None:
    # `heatherkeel load --help | head -1`: the pipe closes before everything is written.
    argv = [sys.executable, "-m", "heatherkeel", "load", "--help"]
    with subprocess.Popen(argv, stdout=subprocess.PIPE, stderr=subprocess.PIPE) as process:
        assert process.stdout is not None and process.stderr is not None
        process.stdout.close()
        assert process.stderr.read() == b""
    assert process.returncode == 1
