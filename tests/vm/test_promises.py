"""Statuses that promise that a request has not run reach a caller only if it has not."""

from __future__ import annotations

import pytest
from conftest import SEAL, open_site, request_bytes, send_request

from gentianfold.platform.headers import HEADERS
from gentianfold.standins.upstream import Behaviour

pytestmark = pytest.mark.anyio

NOT_RUN = (HEADERS.not_run, b"1")


@pytest.mark.parametrize("path", ["/search/1", "/claim/1"])
@pytest.mark.parametrize("has_seal", [True, False])
@pytest.mark.parametrize("is_stated", [True, False])
@pytest.mark.parametrize("status", [408, 421, 429, 503])
async def test_a_status_that_promises_is_passed_on_only_if_the_upstream_states_it(
    status, is_stated, has_seal, path
):
    # 408, 429 and 503 of an upstream that may have run the request were passed on.
    async with open_site(upstreams=2) as site:
        for upstream in site.upstreams.values():
            upstream.status_line = b"HTTP/1.1 %d X" % status
            upstream.behaviour = Behaviour.NORMAL if has_seal else Behaviour.NO_SEAL
            upstream.extra_headers = [NOT_RUN] if is_stated else []
        data = request_bytes(path=path, method="POST", body=b"b")
        seen, headers, *_ = await send_request(site.vms[0], data)
        # Without a seal, 421 is another server's word that it is the wrong one.
        has_not_run = is_stated or (status == 421 and not has_seal)
        assert seen == (503 if has_not_run else 502)
        assert SEAL not in headers and HEADERS.not_run.decode() not in headers
        times = sum(len(row.received_requests) for row in site.upstreams.values())
        assert times == (2 if has_not_run or path == "/search/1" else 1)
