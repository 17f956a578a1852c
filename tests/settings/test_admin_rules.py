"""The administration port shows no token to the network unless its operator says so."""

from __future__ import annotations

from pathlib import Path

from result import Ok

from heatherkeel.settings.loader import parse_settings

from .test_loader import SOUND, faults_of

CERTIFICATES = Path(__file__).parents[1] / "processes" / "certificates"
FILES = f'certfile = "{CERTIFICATES}/test.crt"\nkeyfile = "{CERTIFICATES}/test.key"\n'
PUBLIC = SOUND + '[admin]\nbind = "0.0.0.0:8443"\n'


def test_a_port_for_other_machines_needs_tls_or_a_word() -> None:
    [fault] = faults_of(PUBLIC)
    assert fault.startswith("admin.bind: 0.0.0.0:8443 is reached by other machines without TLS")
    assert isinstance(parse_settings(PUBLIC + "allow_plain = true\n"), Ok)
    assert isinstance(parse_settings(PUBLIC + FILES), Ok)


def test_a_certificate_needs_its_key() -> None:
    lone = SOUND + f'[admin]\ncertfile = "{CERTIFICATES}/test.crt"\n'
    assert faults_of(lone) == ["admin.keyfile: missing; certfile and keyfile go together"]


def test_files_that_tls_cannot_use_are_found_before_the_start() -> None:
    for wrong in ("/nowhere/test.key", f"{CERTIFICATES}/test.crt"):
        [fault] = faults_of(
            SOUND + f'[admin]\ncertfile = "{CERTIFICATES}/test.crt"\nkeyfile = "{wrong}"\n'
        )
        assert fault.startswith("admin.certfile: TLS can't use it with admin.keyfile: ")
