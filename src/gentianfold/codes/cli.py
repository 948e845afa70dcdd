"""Result codes of the command line."""

from __future__ import annotations

from gentianfold.errors import define_code

FILE_UNREADABLE = define_code(
    1101,
    "file-unreadable",
    "A file that a command needs can't be read.",
    "Check the path, the permissions and that the file is UTF-8 text.",
)
VM_ADDRESS_INVALID = define_code(
    1102,
    "vm-address-invalid",
    "The address of a VM isn't of the form HOST:PORT.",
    "Write the VM's IP number and operator port, such as `10.0.0.7:8081`.",
)
VM_UNREACHABLE = define_code(
    1103,
    "vm-unreachable",
    "The operator port of a VM doesn't answer.",
    "Check the address, and whether the VM is up.",
)
CODE_UNKNOWN = define_code(
    1106,
    "code-unknown",
    "No result code has this number.",
    "List all codes with `gentianfold errors`.",
)
HEADER_ARGUMENT_INVALID = define_code(
    1107,
    "header-argument-invalid",
    "A header argument isn't of the form NAME: VALUE.",
    "Write the header as `-H 'x-app: 2'`.",
)
NOTHING_TO_CHECK = define_code(
    1108,
    "nothing-to-check",
    "The command was given no file.",
    "Name a file with --settings, --rules or --keys.",
)
