"""Log output: slow and closed readers never block, routine lines are dropped first."""

from __future__ import annotations

import os

import pytest
from conftest import open_site, request_bytes, send_request, wait_until

from gentianfold.vm.log_writer import MAX_BUFFER_BYTES, LogWriter


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    log = LogWriter(writer)
    log.set_nonblocking()
    yield reader, log
    os.close(reader)
    os.close(writer)


def test_a_blocked_reader_causes_dropped_lines_but_no_blocking(pipe):
    reader, log = pipe
    for number in range(50_000):
        log.write(f"success {number} {'x' * 50}\n", is_routine=True)
        log.flush()
    log.write("a refusal\n", is_routine=False)
    assert log.dropped_count > 0 and log.buffered_bytes <= MAX_BUFFER_BYTES
    text = b""
    while b"were left out" not in text:
        text += os.read(reader, 1 << 16)
        log.flush()
    assert b"a refusal\n" in text
    lines = text.split(b"\n")
    assert lines[0].startswith(b"success 0 ")
    assert all(len(line) < 100 for line in lines)


def test_a_write_error_discards_the_buffer(pipe):
    _, log = pipe
    original, log.file_descriptor = (
        log.file_descriptor,
        os.open(os.devnull, os.O_RDONLY),
    )
    log.write("line\n", is_routine=False)
    log.flush()
    assert log.buffered_bytes == 0
    os.close(log.file_descriptor)
    log.file_descriptor = original


@pytest.mark.anyio
async def test_state_changes_and_requests_are_logged(caplog):
    from loguru import logger

    lines = []
    sink_id = logger.add(lambda message: lines.append(str(message)), format="{message}")
    try:
        async with open_site(upstreams=2) as site:
            await send_request(site.vms[0], request_bytes("r-1"))
            site.store.delete_upstream("u1")
            await wait_until(lambda: not site.vms[0].view.upstreams.is_usable("u1"))
    finally:
        logger.remove(sink_id)
    text = "".join(lines)
    for expected in (
        "vm: started",
        "fleet: this VM is the broker",
        "configuration: version 1 in force",
        "request: id=r-1 route=search service=registry customer=stall",
        "outcome=succeeded",
        "went=u1",
    ):
        assert expected in text, expected
