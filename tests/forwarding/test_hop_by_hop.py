"""Headers that concern one connection don't pass to the next one."""

from __future__ import annotations

import pytest

from gentianfold.forwarding.header_names import HeaderNames
from gentianfold.forwarding.hop_by_hop import HopFilter

NAMES = HeaderNames()
FILTER = HopFilter(NAMES)
HOP_BY_HOP = [
    (b"connection", b"close"),
    (b"keep-alive", b"timeout=5"),
    (b"proxy-authenticate", b"Basic"),
    (b"proxy-authorization", b"Basic eA=="),
    (b"proxy-connection", b"keep-alive"),
    (b"te", b"trailers"),
    (b"trailer", b"x-sum"),
    (b"transfer-encoding", b"chunked"),
    (b"upgrade", b"websocket"),
]
KEPT = [
    (b"accept", b"a/b"),
    (b"content-type", b"a/b"),
    (b"date", b"now"),
    (b"host", b"a"),
    (b"retry-after", b"1"),
    *((name, b"1") for name in sorted(NAMES.all_names)),
]


@pytest.mark.parametrize("convert", [FILTER.request_headers, FILTER.response_headers])
@pytest.mark.parametrize(
    ("headers", "rest"),
    [
        *(([row], []) for row in HOP_BY_HOP),
        *(([row], [row]) for row in KEPT),
        (HOP_BY_HOP + KEPT, KEPT),
        ([(b"connection", b"X-A,  x-b"), (b"x-a", b"1"), (b"x-b", b"2")], []),
        (
            [(b"connection", b"x-a"), (b"connection", b"x-b"), (b"x-b", b"2")],
            [],
        ),
        ([(b"connection", b""), (b"x-a", b"1")], [(b"x-a", b"1")]),
        (
            # Without these, an answer is not the upstream's, or a body can't be read.
            [(b"connection", b", ".join(name for name, _ in KEPT[1:])), *KEPT],
            KEPT,
        ),
    ],
)
def test_only_headers_for_both_ends_pass(convert, headers, rest):
    assert convert(headers) == rest


def test_the_framing_of_a_request_that_was_read_is_not_passed_on():
    headers = [(b"content-length", b"3"), (b"expect", b"100-continue"), KEPT[0]]
    assert FILTER.request_headers(headers) == KEPT[:1]
    assert FILTER.response_headers(headers[:1]) == headers[:1]
