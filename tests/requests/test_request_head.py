from __future__ import annotations

import pytest

from gentianfold.requests.request_head import check_request_head

HOST = (b"host", b"gateway")

REFUSED = [
    ("GET", b"/", "1.0", [], 7015),
    ("CONNECT", b"/", "1.1", [], 7014),
    ("G T", b"/", "1.1", [], 7012),
    ("GET", b"http://x/", "1.1", [], 7012),
    ("GET", b"/a b", "1.1", [], 7012),
    ("GET", b"/a#b", "1.1", [], 7012),
    ("GET", b"*", "1.1", [], 7012),
    ("GET", b"/", "1.1", [(b"host", b"other")], 7012),
    ("GET", b"/", "1.1", [(b"a b", b"")], 7012),
    ("GET", b"/", "1.1", [(b"content-length ", b"1")], 7012),
    ("GET", b"/", "1.1", [(b"", b"1")], 7012),
    ("GET", b"/", "1.1", [(b"x", b"1\r\n folded")], 7012),
    ("GET", b"/", "1.1", [(b"x", b"1\x00")], 7012),
    ("GET", b"/", "1.1", [(b"upgrade", b"websocket")], 7014),
    ("GET", b"/", "1.1", [(b"expect", b"200-ok")], 7016),
    ("POST", b"/", "1.1", [(b"content-length", b"1")] * 2, 7013),
    ("POST", b"/", "1.1", [(b"content-length", b"1, 1")], 7013),
    ("POST", b"/", "1.1", [(b"content-length", b"+1")], 7013),
    ("POST", b"/", "1.1", [(b"content-length", b"0x1")], 7013),
    ("POST", b"/", "1.1", [(b"content-length", b"")], 7013),
    ("POST", b"/", "1.1", [(b"transfer-encoding", b"gzip, chunked")], 7013),
    ("POST", b"/", "1.1", [(b"transfer-encoding", b"\x0bchunked")], 7012),
    ("POST", b"/", "1.1", [(b"transfer-encoding", b"chunked")] * 2, 7013),
    (
        "POST",
        b"/",
        "1.1",
        [(b"transfer-encoding", b"chunked"), (b"content-length", b"1")],
        7013,
    ),
]


@pytest.mark.parametrize("method, target, version, headers, number", REFUSED)
def test_ambiguous_heads_are_refused(method, target, version, headers, number):
    failure = check_request_head(method, target, version, [HOST, *headers])
    assert failure.code.number == number


def test_missing_host_is_refused():
    assert check_request_head("GET", b"/", "1.1", []).code.number == 7012


@pytest.mark.parametrize(
    "method, target, headers",
    [
        ("GET", b"/a?b=%20", []),
        ("OPTIONS", b"*", []),
        ("POST", b"/", [(b"content-length", b"12"), (b"expect", b"100-Continue")]),
        ("POST", b"/", [(b"transfer-encoding", b"Chunked")]),
        ("PATCH", b"/", [(b"x-note", b"caf\xc3\xa9\tbar")]),
    ],
)
def test_clear_heads_pass(method, target, headers):
    assert check_request_head(method, target, "1.1", [HOST, *headers]) is None
