"""Loading a settings file returns either the settings or all faults, for any content."""

from __future__ import annotations

from pathlib import Path
from typing import Final

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from result import Err, Ok

from heatherkeel.settings.loader import load_settings, parse_settings

SOUND: Final = """
[instance]
id = "e-a"
zone = "a"
zones = ["a", "b"]
[platform]
address = "10.0.0.1:8080"
"""


def faults_of(text: str) -> list[str]:
    parsed = parse_settings(text)
    return [str(fault) for fault in parsed.err_value] if isinstance(parsed, Err) else []


def test_valid_settings_have_no_fault() -> None:
    assert isinstance(parse_settings(SOUND), Ok)


def test_single_and_cross_field_faults_are_reported_together() -> None:
    # Guards against one invalid key hiding the faults that rules find in other keys.
    text = SOUND.replace('zone = "a"', 'zone = "d"').replace(":8080", ":0") + """
        poll_wait_ms = true
        [routing]
        lease_ms = 7000
        [http]
        bind = "127.0.0.256:1"
        [admin]
        bind = "127.0.0.1:8001"
        [peers]
        bind = "127.0.0.1:8001"
        [teams.a]
        token = "12345678"
        [teams.b]
        token = "12345678"
        [teams.c]
        token = "secret!"
        """
    assert faults_of(text) == [
        "platform.address: expected an IP number and a port from 1 to 65535, "
        "such as 10.0.0.1:8080, got '10.0.0.1:0'",
        "platform.poll_wait_ms: expected int, got bool",
        "http.bind: expected an IP number and a port, 0 for any, such as 127.0.0.1:8080, "
        "got '127.0.0.256:1'",
        "teams.c.token: expected str of length >= 8",
        "instance.zone: 'd' is not in instance.zones (a, b)",
        "routing.renew_interval_ms: 4000 is more than half of routing.lease_ms (7000)",
        "teams.b.token: the same token as team 'a'",
    ]


def test_duplicate_ports_are_reported() -> None:
    text = SOUND + '[admin]\nbind = "127.0.0.1:81"\n[peers]\nbind = "127.0.0.1:81"\n'
    assert faults_of(text) == ["peers.bind: 127.0.0.1:81 is already used by admin.bind"]


@pytest.mark.parametrize(
    ("text", "line"),
    [
        ("a = 1\nb", "line 2: not TOML: Expected '=' after a key in a key/value pair"),
        ("[instance]\n\na = 1\na = 2", "line 4: not TOML: Cannot overwrite a value"),
        ("a = " + "[" * 5000, "(file): nested too deeply"),
    ],
)
def test_a_syntax_fault_includes_its_line(text: str, line: str) -> None:
    assert faults_of(text) == [line]


@pytest.mark.parametrize(
    "bind", ["1.2.3.4:80\\n", "1.2.3.4", "01.2.3.4:80", "1.2.3.4:65536", "::1"]
)
def test_invalid_addresses_are_rejected(bind: str) -> None:
    [line] = faults_of(f'{SOUND}[http]\nbind = "{bind}"')
    assert line.startswith("http.bind: expected an IP number and a port")


def test_missing_sections_are_reported_by_name() -> None:
    assert faults_of("[instance]\nid = 'e'") == [
        "instance.zone: missing",
        "instance.zones: missing",
        "platform: missing",
    ]


def test_a_file_that_cannot_be_read_is_a_fault(tmp_path: Path) -> None:
    binary = tmp_path / "binary.toml"
    binary.write_bytes(b"a = 1\n\xff")
    large = tmp_path / "large.toml"
    large.write_bytes(b"#" * 2_000_000)
    reported = [load_settings(str(path)).unwrap_err().lines() for path in (tmp_path, binary, large)]
    assert reported == [
        [f"{tmp_path}: (file): cannot be read: Is a directory"],
        [f"{binary}: line 2: not UTF-8 text"],
        [f"{large}: (file): longer than 262144 bytes"],
    ]


SCALARS: Final = st.sampled_from(
    [
        "0",
        "-1",
        "1e400",
        "nan",
        "true",
        "'a'",
        "2024-01-01",
        "07:32:00",
        "[]",
        "[1]",
        "{}",
        "9" * 5000,
    ]
)
KEYS: Final = st.sampled_from(
    [
        "instance",
        "id",
        "zone",
        "zones",
        "platform.address",
        "teams.a",
        "teams.a.token",
        "'\\n'",
        "routing",
        "routing.lease_ms",
        "http.bind",
        "a.b.c.d",
        "''",
    ]
)
LINES: Final = st.one_of(
    st.builds("{} = {}".format, KEYS, SCALARS),
    st.builds("[{}]".format, KEYS),
    st.builds("[[{}]]".format, KEYS),
    st.text(max_size=20),
)


@settings(derandomize=True, deadline=None, max_examples=400)
@given(st.lists(LINES, max_size=8).map("\n".join))
@example("teams" + ".a" * 2_000 + " = 1")
@example("instance.zone" + ".a" * 2_000 + " = 1")
def test_no_text_makes_the_check_fail(text: str) -> None:
    # Whatever an editor or a template left in the file, the operator gets lines, not a traceback.
    for line in faults_of(SOUND + text) + faults_of(text):
        assert "\n" not in line and ": " in line
