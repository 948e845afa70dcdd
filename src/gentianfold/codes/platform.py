"""Result codes of the platform client and of published configuration."""

from __future__ import annotations

from gentianfold.errors import define_code

PLATFORM_UNREACHABLE = define_code(
    3001,
    "platform-unreachable",
    "The configuration service gave no answer.",
    "Check the service and the path to it; the last good version stays in force.",
)
PLATFORM_REFUSED = define_code(
    3002,
    "platform-refused",
    "The configuration service answered with an error.",
    "Check the service; the last good version stays in force.",
)
VALUE_NOT_FOUND = define_code(
    3003,
    "value-not-found",
    "The configuration service holds no value of this name.",
    "Publish the value.",
)
VALUE_TOO_LARGE = define_code(
    3004,
    "value-too-large",
    "A value is larger than one megabyte.",
    "Publish smaller shards.",
)
ROOT_MALFORMED = define_code(
    3101,
    "root-malformed",
    "The root value can't be read.",
    "Publish it again with the library's publishing function.",
)
VERSION_OLDER = define_code(
    3102,
    "version-older",
    "The version is older than the one in force and was ignored.",
    "Nothing, if the source is stale; otherwise publish under a higher version.",
)
VERSION_REUSED = define_code(
    3103,
    "version-reused",
    "The version is in force with another content.",
    "Publish under a higher version.",
)
SHARD_DIGEST_MISMATCH = define_code(
    3104,
    "shard-digest-mismatch",
    "A shard isn't the one that the root value names.",
    "Nothing, if the source is stale; otherwise publish shards before the root.",
)
SHARD_MALFORMED = define_code(
    3105,
    "shard-malformed",
    "A shard can't be read.",
    "Correct the line and publish under a higher version.",
)
SHARD_ABSENT = define_code(
    3106,
    "shard-absent",
    "The root value doesn't name a shard that every configuration has.",
    "Publish it again with the library's publishing function.",
)
KEY_DUPLICATED = define_code(
    3107,
    "key-duplicated",
    "Two records name the same key.",
    "Remove one and publish under a higher version.",
)
KEY_MISPLACED = define_code(
    3108,
    "key-misplaced",
    "A key record stands in a shard that its digest doesn't belong to.",
    "Publish it again with the library's publishing function.",
)
UPSTREAM_DUPLICATED = define_code(
    3109,
    "upstream-duplicated",
    "Two upstreams have the same name.",
    "Rename one and publish under a higher version.",
)
VM_LIST_MALFORMED = define_code(
    3201,
    "vm-list-malformed",
    "The VM list can't be read.",
    "Check the platform; the last good list stays in force.",
)
