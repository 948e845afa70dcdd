"""Caller keys: how they are made, published, presented and looked up."""

from __future__ import annotations

from gentianfold.keys.headers import (
    check_target,
    extract_key,
    strip_key_headers,
)
from gentianfold.keys.key import digest_key, is_key, new_key
from gentianfold.keys.publication import format_record, parse_keys
from gentianfold.keys.published_keys import PublishedKeys

__all__ = [
    "PublishedKeys",
    "check_target",
    "digest_key",
    "extract_key",
    "format_record",
    "is_key",
    "new_key",
    "parse_keys",
    "strip_key_headers",
]
