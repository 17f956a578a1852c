"""The administration port sends no plain-text tokens unless the operator allows it."""

from __future__ import annotations

from pathlib import Path

from result import Ok

from heatherkeel.settings.loader import parse_settings

from .test_loader import SOUND, faults_of

CERTIFICATES = Path(__file__).parents[1] / "processes" / "certificates"
FILES = f'certfile = "{CERTIFICATES}/test.crt"\nkeyfile = "{CERTIFICATES}/test.key"\n'
PUBLIC = SOUND + '[admin]\nbind = "0.0.0.0:8443"\n'


def test_a_public_port_requires_tls_or_allow_plain() -> None:
    [fault] = faults_of(PUBLIC)
    assert fault.startswith("admin.bind: 0.0.0.0:8443 is reached by other machines without TLS")
    assert isinstance(parse_settings(PUBLIC + "allow_plain = true\n"), Ok)
    assert isinstance(parse_settings(PUBLIC + FILES), Ok)


def test_a_certificate_requires_its_key() -> None:
    without_key = SOUND + f'[admin]\ncertfile = "{CERTIFICATES}/test.crt"\n'
    assert faults_of(without_key) == ["admin.keyfile: missing; certfile and keyfile go together"]


def test_invalid_certificate_files_are_reported() -> None:
    for wrong in ("/nowhere/test.key", f"{CERTIFICATES}/test.crt"):
        [fault] = faults_of(
            SOUND + f'[admin]\ncertfile = "{CERTIFICATES}/test.crt"\nkeyfile = "{wrong}"\n'
        )
        assert fault.startswith("admin.certfile: TLS can't use it with admin.keyfile: ")
