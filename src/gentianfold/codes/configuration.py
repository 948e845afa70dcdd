"""Result codes of the check of a configuration before it is published."""

from __future__ import annotations

from gentianfold.errors import define_code

ENTRY_INVALID = define_code(
    3311,
    "configuration-entry-invalid",
    "A field of a configuration has the wrong type or is missing.",
    "Correct the field that the message names; with it, VMs refuse the whole version.",
)
ENTRY_DUPLICATE = define_code(
    3312,
    "configuration-entry-duplicate",
    "Two entries of a configuration have the same name or key; only one counts.",
    "Rename or remove one of the entries that the message names.",
)
REFERENCE_UNKNOWN = define_code(
    3313,
    "configuration-reference-unknown",
    "A route names a service that the configuration lacks, or none.",
    "Correct the name, or add the service.",
)
ENTRY_WITHOUT_EFFECT = define_code(
    3314,
    "configuration-entry-without-effect",
    "An entry of a configuration can never match or be used.",
    "Remove it, or change what hides it as the message says.",
)
LIMITS_CONTRADICT = define_code(
    3315,
    "configuration-limits-contradict",
    "Limits of a configuration contradict each other, or no request can meet one.",
    "Change one of the values that the message names.",
)
VERSION_NOT_NEWER = define_code(
    3316,
    "configuration-version-not-newer",
    "A configuration differs from the one in force and its version isn't higher.",
    "Raise the version: VMs ignore one that isn't above the one in force.",
)
