"""Normalization of request paths; paths that could bypass a rule are rejected."""

from __future__ import annotations

import pytest

from gentianfold.codes.rules import PATH_REFUSED
from gentianfold.rules import split_path


@pytest.mark.parametrize(
    ("path", "segments"),
    [
        ("/", ()),
        ("/a/b", ("a", "b")),
        ("/a/b/", ("a", "b")),
        ("/a?x=/../b", ("a",)),
        ("/%61/%7e", ("a", "~")),
        ("/caf%c3%a9/%20", ("caf%C3%A9", "%20")),
        ("/u%40x/%2a/x%3b%3f%23", ("u@x", "*", "x%3B%3F%23")),
        ("/v1.2/..a/a..", ("v1.2", "..a", "a..")),
    ],
)
def test_a_path_is_split_into_normalized_segments(path, segments):
    assert split_path(path) == segments


@pytest.mark.parametrize(
    "path",
    [
        "",
        "a",
        "*",
        "http://host/a",
        "//a",
        "/a//b",
        "/a//",
        "/./a",
        "/a/..",
        "/a/../b",
        "/a/..;x/b",
        "/a/;x/b",
        "/a;x/b",
        "/a/..%3Bx/b",
        "/a/%3b/b",
        "/%c0%ae%c0%ae/a",
        "/a%e0%80%afb",
        "/a%25c0%25afb",
        "/%2e%2E/a",
        "/a%2fb",
        "/a%5Cb",
        "/a%252fb",
        "/a%25252eb",
        "/a\\b",
        "/a%00",
        "/a%0d%0ab",
        "/a%2500",
        "/a%zz",
        "/a%2",
        "/a b",
        "/a\tb",
        "/caf\u00e9",
        "/a#b",
        "/" + "a" * 9000,
    ],
)
def test_a_path_that_could_bypass_a_rule_is_rejected(path):
    assert split_path(path).code is PATH_REFUSED
