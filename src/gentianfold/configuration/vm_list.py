"""The platform's list of live and leaving VMs."""

from __future__ import annotations

import enum

import attrs
import msgspec

from gentianfold.codes.platform import VM_LIST_MALFORMED
from gentianfold.errors import Failure, Location

VM_LIST_NAME = "vms"
"""Name of the value that holds the list."""


class VmState(enum.Enum):
    """What the platform says of a VM."""

    LIVE = "live"
    """Runs, or starts."""
    LEAVING = "leaving"
    """Will be stopped soon."""


@attrs.frozen
class Vm:
    """One VM of the list."""

    name: str
    """The unique name."""
    host: str
    """IP number."""
    peer_port: int
    """TCP port for its peers."""
    zone: str
    """Availability zone."""
    region: str = ""
    """Region of the zone."""
    state: VmState = VmState.LIVE
    """What the platform says of it."""


@attrs.frozen
class VmList:
    """One version of the list."""

    version: int
    """Grows with every change."""
    vms: tuple[Vm, ...]
    """All VMs, in the order of the platform."""

    def by_name(self) -> dict[str, Vm]:
        """Return the VMs by name."""
        return {vm.name: vm for vm in self.vms}


def parse_vm_list(data: bytes) -> VmList | Failure:
    """Read the list and check that names are unique."""
    try:
        vm_list = msgspec.json.decode(data, type=VmList)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return _malformed(str(error))
    if vm_list.version < 1:
        return _malformed(f"version {vm_list.version} is not positive")
    if len(vm_list.by_name()) != len(vm_list.vms):
        return _malformed("two VMs have the same name")
    return vm_list


def encode_vm_list(vm_list: VmList) -> bytes:
    """Write the list."""
    return msgspec.json.encode(vm_list)


def _malformed(reason: str) -> Failure:
    return Failure(VM_LIST_MALFORMED, reason, location=Location(VM_LIST_NAME, 1))
