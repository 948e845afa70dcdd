"""Asks VMs for their status and writes it as tables."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from gentianfold.cli._fleet_view import view_customers, view_upstreams
from gentianfold.cli._operator_client import (
    Call,
    VmAddress,
    call_vms,
    decode_answer,
)
from gentianfold.cli._output import failure_fields, format_table
from gentianfold.cli._vm_status import VmStatus
from gentianfold.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

STATUS_TARGET = "/status"
"""Path of the status on an operator port."""


@attrs.frozen
class FleetStatus:
    """The answers of all VMs that were asked."""

    answers: tuple[tuple[VmAddress, VmStatus | Failure], ...]
    """The answer or failure of each VM."""

    @classmethod
    def fetch(cls, vms: Sequence[VmAddress]) -> FleetStatus:
        """Ask the VMs."""
        bodies = call_vms([Call(vm, "GET", STATUS_TARGET) for vm in vms])
        decoded = (decode_answer(body, VmStatus) for body in bodies)
        return cls(tuple(zip(vms, decoded, strict=True)))

    @property
    def statuses(self) -> list[VmStatus]:
        """The status of each VM that answered."""
        answers = (answer for _, answer in self.answers)
        return [answer for answer in answers if isinstance(answer, VmStatus)]

    @property
    def failures(self) -> list[Failure]:
        """Why VMs didn't answer."""
        answers = (answer for _, answer in self.answers)
        return [answer for answer in answers if isinstance(answer, Failure)]

    def json_fields(self) -> list[dict[str, Any]]:
        """Return the answers as fields for JSON."""
        return [
            {"address": str(vm), "failure": failure_fields(answer)}
            if isinstance(answer, Failure)
            else {"address": str(vm), "status": attrs.asdict(answer)}
            for vm, answer in self.answers
        ]


def format_vms(fleet: FleetStatus) -> str:
    """Return the table of VMs."""
    header = ("VM", "ZONE", "STATE", "VERSION", "UPTIME", "PEERS", "SHARES")
    return format_table(header, (_vm_row(vm, answer) for vm, answer in fleet.answers))


def format_upstreams(statuses: Iterable[VmStatus]) -> str:
    """Return the table of upstreams."""
    header = ("UPSTREAM", "SERVICE", "ZONE", "STATE", "WEIGHT", "IN FLIGHT", "REASON")
    rows = (
        (
            view.name,
            view.service,
            view.zone,
            _counts(view.states),
            view.weight,
            view.in_flight,
            "; ".join(view.reasons),
        )
        for view in view_upstreams(statuses)
    )
    return format_table(header, rows)


def format_customers(statuses: Iterable[VmStatus]) -> str:
    """Return the table of customers."""
    header = ("CUSTOMER", "RATE/S", "BURST", "ADMITTED", "REFUSED", "REFUSED BY")
    rows = (
        (
            view.name,
            view.rate_per_s,
            view.burst,
            view.admitted,
            view.refused,
            " ".join(f"{code}:{count}" for code, count in view.refused_by.items()),
        )
        for view in view_customers(statuses)
    )
    return format_table(header, rows)


def _vm_row(vm: VmAddress, answer: VmStatus | Failure) -> tuple[object, ...]:
    """Return the cells of one VM."""
    if isinstance(answer, Failure):
        return (str(vm), None, answer.code.name, None, None, None, None)
    peers = answer.peers or []
    states: dict[str, int] = {}
    for peer in peers:
        states[peer.state or "?"] = states.get(peer.state or "?", 0) + 1
    return (
        answer.vm,
        answer.zone,
        answer.state,
        answer.configuration_version,
        _duration(answer.uptime_s),
        _counts(states) if answer.peers is not None else None,
        _shares(answer),
    )


def _shares(status: VmStatus) -> str | None:
    """Return the share slots of a VM as text."""
    shares = status.shares
    if shares is None:
        return None
    held = "?" if shares.held is None else shares.held
    total = "?" if shares.total is None else shares.total
    return f"{held}/{total}{' suspended' if shares.suspended else ''}"


def _counts(states: dict[str, int]) -> str:
    """Return counts by state as text; a single state without its count of one."""
    if list(states.values()) == [1]:
        return next(iter(states))
    return " ".join(f"{state}:{count}" for state, count in states.items())


def _duration(time_s: float | None) -> str | None:
    """Return a duration as text, in hours, minutes and seconds."""
    if time_s is None:
        return None
    minutes, seconds = divmod(int(time_s), 60)
    hours, minutes = divmod(minutes, 60)
    return f"{hours}:{minutes:02}:{seconds:02}"
