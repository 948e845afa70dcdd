"""Answers to the load balancer, operators and other VMs follow the HTTP rules."""

from __future__ import annotations

import anyio
import pytest
from conftest import open_site

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize("method", ["HEAD", "GET"])
async def test_only_a_head_request_gets_no_body(method):
    # A client took the body for the start of the next answer.
    async with open_site() as site:
        endpoint = site.vms[0].settings.operators
        request = f"{method} /status HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"
        async with await anyio.connect_tcp(endpoint.host, endpoint.port) as stream:
            await stream.send(request.encode())
            with anyio.fail_after(30):
                data = b"".join([chunk async for chunk in stream])
        head, _, body = data.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 200 ")
        assert (body == b"") == (method == "HEAD")
