"""Stated rate limits are decimal numbers; other values state nothing."""

from __future__ import annotations

import math

import pytest

from gentianfold.forwarding.messages import Response
from gentianfold.forwarding.rate_limit_header import parse_limit


@pytest.mark.parametrize(
    ("values", "limit"),
    [
        ([], math.inf),
        ([b"6"], 6.0),
        ([b" 6.125 "], 6.125),
        ([b"0"], 0.0),
        ([b"0." + b"3" * 32], pytest.approx(1 / 3)),
        ([b"8", b"5"], 5.0),
        ([b"8, 5"], 5.0),
        ([b"8", b"x"], 8.0),
        ([b""], None),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b"1e3"], None),
        ([b"1_0"], None),
        ([b"1" * 400], None),
        ([b"\xff"], None),
    ],
)
def test_stated_rate_limits_are_parsed(values, limit):
    headers = [(b"x", b"1"), *((b"rate", value) for value in values)]
    assert parse_limit(Response(200, headers, b""), b"rate") == limit
