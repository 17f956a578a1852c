"""The measurement of edits, on a small real fleet."""

from __future__ import annotations

from pytest import CaptureFixture

from heatherkeel.measure.__main__ import main
from heatherkeel.measure.edits import quantile


def test_quantiles_are_values_that_were_measured() -> None:
    values = [float(number) for number in range(200, 0, -1)]
    assert [quantile(values, share) for share in (0.5, 0.95, 0.99, 1.0)] == [100, 190, 198, 200]
    assert quantile([7.0], 0.5) == 7.0


def test_edits_are_measured_until_they_are_in_force_everywhere(capsys: CaptureFixture[str]) -> None:
    assert main(["edits", "--edits=5", "--entries=2"]) == 0
    shown = capsys.readouterr().out.splitlines()
    assert shown[0].startswith("5 edits, 2 entry processes")
    accepted, everywhere = ([float(cell) for cell in line.split()[-4:]] for line in shown[2:])
    assert 0 < accepted[0] <= everywhere[0]
