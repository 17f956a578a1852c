"""Fits, and the records of the design size that slopes are measured with."""

from __future__ import annotations

import ipaddress

import pytest

from heatherkeel.core.registry import find_violations
from heatherkeel.measure import design_size as size
from heatherkeel.measure.fit import fit, format_slopes
from heatherkeel.measure.fold_slopes import EXERCISES
from heatherkeel.measure.sockets import SocketBytes
from heatherkeel.measure.state_slopes import build


def test_fit_of_a_line_has_no_residual() -> None:
    slope = fit("x", unit="B", per="y", sizes=[1, 2, 3, 4], values=[12.0, 14.0, 16.0, 18.0])
    assert (slope.slope, slope.intercept, slope.residual_percent) == (2.0, 10.0, 0.0)
    assert slope.at(100) == 210.0
    assert "1:12 2:14" in format_slopes([slope])


def test_values_off_the_line_show_as_residual() -> None:
    slope = fit("x", unit="B", per="y", sizes=[1, 2, 3, 4], values=[10.0, 0.0, 0.0, 10.0])
    assert slope.residual_percent == 50.0


def test_three_sizes_are_no_slope() -> None:
    with pytest.raises(ValueError, match="at least 4"):
        fit("x", unit="B", per="y", sizes=[1, 2, 3], values=[1.0, 2.0, 3.0])


def test_every_measured_record_is_accepted_and_breaks_nothing() -> None:
    # A slope of refused records would look cheap and measure nothing.
    log = build(size.fleet_records(workers=size.POOLS * 4))
    assert len(log.state.pools.instances) == size.POOLS * 4
    for records in EXERCISES:
        for body in records(log):
            log.must(body)
    assert find_violations(log.state) == []


def test_measured_workers_are_on_loopback() -> None:
    # An entry process may try to reach its workers; a measurement must not leave the machine.
    addresses = {size.worker_record(index).address for index in range(size.WORKERS)}
    assert len(addresses) == size.WORKERS
    for address in addresses:
        assert ipaddress.ip_address(address.split(":")[0]).is_loopback


def test_bytes_of_closed_sockets_stay_counted() -> None:
    # Between two samples one connection closes and another opens; the sum must not fall.
    line = 'ESTAB 0 0 127.0.0.1:{port} 127.0.0.1:9 users:(("p",pid={pid},fd=7)) {sent}{got}'
    sample = [
        line.format(port=1, pid=5, sent="bytes_sent:100 ", got="bytes_received:50"),
        line.format(port=2, pid=6, sent="bytes_sent:900 ", got="bytes_received:1"),
        line.format(port=3, pid=5, sent="bytes_sent:7 bytes_acked:7", got=""),
    ]
    counter = SocketBytes(pids=[5])
    for text in sample[:2]:
        counter.take(text)
    for text in sample[2:]:
        counter.take(text)
    assert counter.totals() == {5: 157}
