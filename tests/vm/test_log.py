"""The log never waits for its reader, and keeps failures before successes."""

from __future__ import annotations

import os

import pytest
from conftest import call, open_site, request_bytes, wait_until

from gentianfold.vm.log_writer import MAX_BUFFER_BYTES, LogWriter


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    log = LogWriter(writer)
    log.open()
    yield reader, log
    os.close(reader)
    os.close(writer)


def test_a_blocked_reader_costs_lines_and_no_time(pipe):
    reader, log = pipe
    for number in range(50_000):
        log.write(f"success {number} {'x' * 50}\n", is_routine=True)
        log.flush()
    log.write("a refusal\n", is_routine=False)
    assert log.left_out > 0 and log.buffered_bytes <= MAX_BUFFER_BYTES
    text = b""
    while b"were left out" not in text:
        text += os.read(reader, 1 << 16)
        log.flush()
    assert b"a refusal\n" in text
    lines = text.split(b"\n")
    assert lines[0].startswith(b"success 0 ")
    assert all(len(line) < 100 for line in lines)


def test_a_reader_that_is_gone_ends_nothing(pipe):
    _, log = pipe
    lost, log.descriptor = log.descriptor, os.open(os.devnull, os.O_RDONLY)
    log.write("line\n", is_routine=False)
    log.flush()
    assert log.buffered_bytes == 0
    os.close(log.descriptor)
    log.descriptor = lost


@pytest.mark.anyio
async def test_beliefs_and_requests_leave_lines(caplog):
    from loguru import logger

    lines = []
    number = logger.add(lambda message: lines.append(str(message)), format="{message}")
    try:
        async with open_site(upstreams=2) as site:
            await call(site.vms[0], request_bytes("r-1"))
            site.store.delete_upstream("u1")
            await wait_until(lambda: not site.vms[0].view.upstreams.is_usable("u1"))
    finally:
        logger.remove(number)
    text = "".join(lines)
    for part in (
        "vm: starts",
        "fleet: this VM is the broker",
        "configuration: version 1 in force",
        "request: id=r-1 route=search service=registry customer=stall",
        "outcome=succeeded",
        "went=u1",
    ):
        assert part in text, part
