"""Result codes of a VM's settings."""

from __future__ import annotations

from gentianfold.errors import define_code

SETTINGS_UNREADABLE = define_code(
    1001,
    "settings-unreadable",
    "The settings file can't be read.",
    "Check the path and the permissions of the file.",
)
SETTINGS_SYNTAX = define_code(
    1002,
    "settings-syntax",
    "The settings aren't JSON with comments.",
    "Correct the text at the place that the message gives.",
)
SETTING_UNKNOWN = define_code(
    1003,
    "setting-unknown",
    "The settings have a field that doesn't exist.",
    "Correct the field's name, or remove it.",
)
SETTING_MISSING = define_code(
    1004,
    "setting-missing",
    "A field without default is missing.",
    "Add the field.",
)
SETTING_INVALID = define_code(
    1005,
    "setting-invalid",
    "A field has a value of the wrong type or out of its bounds.",
    "Write a value of the form that the message gives.",
)
SETTINGS_CONFLICT = define_code(
    1006,
    "settings-conflict",
    "Two fields don't fit each other.",
    "Change one of them as the message says.",
)
