"""Keys are taken out of requests and never reach an upstream or a log."""

from __future__ import annotations

import base64

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianfold.codes.keys import KEY_IN_TARGET, KEYS_DIFFER
from gentianfold.errors import Failure
from gentianfold.keys import check_target, extract_key, new_key, strip_key_headers

KEY, OTHER = new_key().encode(), new_key().encode()
BASIC = b"Basic " + base64.b64encode(KEY)


@pytest.mark.parametrize(
    ("headers", "found"),
    [
        ([], None),
        ([(b"Authorization", BASIC)], None),
        ([(b"Authorization", b"Bearer")], None),
        ([(b"x_api_key", KEY)], None),
        ([(b"X-Api-Key", b" ")], None),
        ([(b"AUTHORIZATION", b"bearer  " + KEY + b" ")], KEY.decode()),
        ([(b"X-API-KEY", KEY)], KEY.decode()),
        ([(b"x-api-key", KEY), (b"authorization", b"Bearer " + KEY)], KEY.decode()),
        ([(b"x-api-key", KEY + b", " + KEY)], KEY.decode()),
    ],
)
def test_the_key_is_found(headers, found):
    assert extract_key(headers) == found


@pytest.mark.parametrize(
    "headers",
    [
        [(b"x-api-key", KEY), (b"authorization", b"Bearer " + OTHER)],
        [(b"x-api-key", KEY), (b"x-api-key", OTHER)],
        [(b"x-api-key", KEY + b"," + OTHER)],
    ],
)
def test_several_different_keys_are_refused_and_not_shown(headers):
    failure = extract_key(headers)
    assert failure.code is KEYS_DIFFER
    assert KEY.decode() not in str(failure)


@pytest.mark.parametrize(
    "header",
    [
        (b"Authorization", BASIC),
        (b"authorization", b"anything"),
        (b"X_API_KEY", KEY),
        (b"x-api_key", b""),
        (b"Proxy-Authorization", b"x"),
        (b"proxy_authorization", b"x"),
        (b"cookie", b"a=b; key=" + KEY),
        (b"referer", b"https://host/?k=" + KEY.replace(b"gf_", b"%67f%5F")),
        (b"x-note", KEY.replace(b"gf_", b"%2567f_")),
        (b"x-" + KEY, b"1"),
    ],
)
def test_every_header_that_could_show_the_key_is_removed(header):
    kept = [(b"Accept", b"*/*"), (b"x-api-version", b"1"), (b"x", b"100%"), (b"y", b"")]
    assert strip_key_headers([*kept[:2], header, *kept[2:]]) == kept


def test_a_key_in_the_target_is_refused():
    for target in (b"/a?key=" + KEY, b"/" + KEY, "/a?k=%67f_" + KEY[3:].decode()):
        failure = check_target(target)
        assert failure.code is KEY_IN_TARGET
        assert KEY.decode() not in str(failure)
    assert check_target(b"/a?key=gf_short") is None


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from([b"Authorization", b"x-api-key", b"X_Api_Key", b"n"])
            | st.binary(max_size=8),
            st.builds(
                lambda *parts: b"".join(parts),
                st.binary(max_size=8),
                st.sampled_from([b"", b"Bearer ", KEY, b"Bearer " + KEY]),
                st.binary(max_size=8),
            ),
        )
    )
)
def test_arbitrary_headers_never_raise_and_never_keep_the_key(headers):
    assert isinstance(extract_key(headers), str | Failure | None)
    kept = strip_key_headers(headers)
    assert not any(KEY in name + b" " + value for name, value in kept)
    assert strip_key_headers(kept) == kept
