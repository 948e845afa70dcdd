"""Result codes of the platform's store and of the published configuration."""

from __future__ import annotations

from gentianfold.errors import define_code

PLATFORM_UNREACHABLE = define_code(
    3001,
    "platform-unreachable",
    "The configuration service gave no answer.",
    "Check the service and the path to it; the last good version stays in force.",
)
CONFIGURATION_MALFORMED = define_code(
    3301,
    "configuration-malformed",
    "The published configuration can't be read.",
    "The version before stays in force; publish the configuration again.",
)
STORE_REFUSED = define_code(
    3302,
    "store-refused",
    "The store refused a call.",
    "None: the VM asks again, and takes the state from other VMs meanwhile.",
)
