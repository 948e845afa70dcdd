"""Result codes of caller keys; numbers from 3500."""

from __future__ import annotations

from gentianfold.errors import RunState, define_code

KEYS_TOO_LARGE = define_code(
    3500,
    "keys-too-large",
    "The keys text is larger than the configuration service holds.",
    "Remove the keys of customers that are gone.",
)
KEY_LINE_INVALID = define_code(
    3501,
    "key-line-invalid",
    "A line of the keys text isn't a key entry.",
    "Publish the line that `gentianfold key new` prints.",
)
KEY_DUPLICATE = define_code(
    3502,
    "key-duplicate",
    "The same key is published twice.",
    "Keep one of the two lines.",
)
TOO_MANY_KEYS = define_code(
    3503,
    "too-many-keys",
    "A customer has more active keys than a rotation needs.",
    "Withdraw the oldest key before publishing another.",
)
KEY_CUSTOMER_UNKNOWN = define_code(
    3504,
    "key-customer-unknown",
    "A key is published for a customer that no rule defines.",
    "Correct the name, or add a `customer` rule.",
)
KEYS_DIFFER = define_code(
    3510,
    "keys-differ",
    "The request carries several different keys.",
    "Send one key, as `Authorization: Bearer KEY`.",
    400,
    RunState.NOT_RUN,
)
KEY_IN_TARGET = define_code(
    3511,
    "key-in-target",
    "The request carries a key in its path or query string, where logs show it.",
    "Send the key as `Authorization: Bearer KEY`, and replace the key.",
    400,
    RunState.NOT_RUN,
)
