"""Result codes of rules texts and request paths."""

from __future__ import annotations

from gentianfold.errors import RunState, define_code

RULES_TOO_LARGE = define_code(
    2001,
    "rules-too-large",
    "The rules text is larger than a VM reads.",
    "Remove rules that nothing needs any more.",
)
CONTROL_CHARACTER = define_code(
    2002,
    "rule-control-character",
    "A rule line contains a control character.",
    "Delete the character and write the line in plain text.",
)
COMMENT_MISSING = define_code(
    2003,
    "rule-comment-missing",
    "A rule doesn't end with a comment that says who asked for it and why.",
    "End the line with `# WHO: WHY`.",
)
UNKNOWN_RULE_KIND = define_code(
    2004,
    "rule-kind-unknown",
    "A line starts with a word that is no kind of rule.",
    "Start the line with route, service, customer or limit.",
)
RULE_INCOMPLETE = define_code(
    2005,
    "rule-incomplete",
    "A rule lacks a word or an option that it needs.",
    "Complete the line as docs/RULES.md shows.",
)
UNKNOWN_OPTION = define_code(
    2006,
    "rule-option-unknown",
    "A rule has an option that its kind doesn't know.",
    "Correct the option's name, or remove it.",
)
DUPLICATE_OPTION = define_code(
    2007,
    "rule-option-duplicate",
    "A rule has the same option twice.",
    "Keep one of the two.",
)
INVALID_VALUE = define_code(
    2008,
    "rule-value-invalid",
    "A value has the wrong form or unit, or is out of its bounds.",
    "Write a value of the form that the message gives.",
)
INVALID_NAME = define_code(
    2009,
    "rule-name-invalid",
    "A name has characters that names don't have, or is too long.",
    "Use up to 64 letters, digits, dots, dashes and underscores.",
)
INVALID_METHOD = define_code(
    2010,
    "rule-method-invalid",
    "A method isn't one that routes take.",
    "Write upper-case methods joined by commas, or `*` for all.",
)
INVALID_PATH = define_code(
    2011,
    "rule-path-invalid",
    "A path has a form that no request could match.",
    "Write `/a/b`, `/a/**` or `/a/*/b`, as docs/RULES.md shows.",
)
INVALID_HEADER = define_code(
    2012,
    "rule-header-invalid",
    "A header condition has a bad name or value, or names a header with a key.",
    "Write `header:x-name=value`, with no header that carries keys.",
)
DUPLICATE_NAME = define_code(
    2013,
    "rule-name-duplicate",
    "Two rules of one kind have the same name.",
    "Rename or remove one of them.",
)
UNKNOWN_REFERENCE = define_code(
    2014,
    "rule-reference-unknown",
    "A rule names a service, customer or route that no rule defines.",
    "Correct the name, or add the rule that defines it.",
)
CONFLICTING_ROUTES = define_code(
    2015,
    "routes-conflict",
    "Two routes are equal in method, path and headers.",
    "Remove one of them, or tell them apart by a header.",
)
AMBIGUOUS_ROUTES = define_code(
    2016,
    "routes-ambiguous",
    "Two routes match the same requests and neither is more specific.",
    "Add a header to one of them.",
)
UNREACHABLE_RULE = define_code(
    2017,
    "rule-unreachable",
    "A rule can never take effect.",
    "Remove it, or change the rules that hide it.",
)
PATH_REFUSED = define_code(
    2020,
    "path-refused",
    "The request path has a form that could bypass a rule.",
    "Send the path without dot segments, empty segments or encoded separators.",
    400,
    RunState.NOT_RUN,
)
