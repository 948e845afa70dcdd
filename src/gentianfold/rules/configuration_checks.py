"""Finds entries without effect and contradictory limits in a published configuration."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gentianfold.codes import configuration as codes
from gentianfold.errors import Failure, Location

if TYPE_CHECKING:
    from collections.abc import Iterator

    from gentianfold.errors import ResultCode
    from gentianfold.model import Configuration, Customer, Route

    Finding = tuple[ResultCode, str]

HEAD_EXTRA_BYTES = len("GET  HTTP/1.1\r\nhost: \r\n\r\n")
"""Bytes of the shortest head of a request beside its path and host."""


def check_configuration(
    configuration: Configuration, source: str, regions: frozenset[str] | None = None
) -> tuple[Failure, ...]:
    """Return all entries without effect and all contradictory limits.

    Args:
        configuration: The configuration.
        source: Name of the file, for messages.
        regions: Regions that have a zone; ``None`` if they are not known.
    """
    findings = (
        *_find_unmatched(configuration),
        *_find_unused(configuration),
        *_find_contradictions(configuration),
        *(_find_homeless(configuration, regions) if regions is not None else ()),
    )
    return tuple(
        Failure(code, reason, location=Location(source, 1)) for code, reason in findings
    )


def check_newer(
    configuration: Configuration, in_force: Configuration, source: str
) -> tuple[Failure, ...]:
    """Return a failure if VMs would ignore a configuration that differs."""
    if configuration.version > in_force.version:
        return ()
    reason = f"version {configuration.version}, in force is {in_force.version}"
    return (Failure(codes.VERSION_NOT_NEWER, reason, location=Location(source, 1)),)


def _find_unmatched(configuration: Configuration) -> Iterator[Finding]:
    """Find routes that no request can match or that have nowhere to go.

    Of two routes with the same host and prefix the last one counts; a longer prefix
    hides none, as a request for the shorter one itself remains.
    """
    last = {(route.host, route.path): route for route in configuration.routes}
    for route in configuration.routes:
        reason = _unmatched_reason(route)
        if not reason and last[route.host, route.path] is not route:
            reason = (
                f"route {last[route.host, route.path].name!r} has its host and path"
            )
        if reason:
            yield codes.ENTRY_WITHOUT_EFFECT, f"route {route.name!r}: {reason}"
        if route.split and not sum(part.weight for part in route.split) > 0:
            reason = f"route {route.name!r}: the weights of its services add up to 0"
            yield codes.ENTRY_WITHOUT_EFFECT, reason
        for part in route.split:
            if part.weight < 0:
                reason = f"route {route.name!r}: {part.service!r} has a negative weight"
                yield codes.LIMITS_CONTRADICT, reason
        for service in route.services():
            if service not in configuration.service_names:
                reason = f"service {service!r}" if service else "it names no service"
                yield codes.REFERENCE_UNKNOWN, f"route {route.name!r}: {reason}"


def _unmatched_reason(route: Route) -> str:
    """Return why no request can match a route by itself; empty if one can."""
    if not (route.path.startswith("/") and route.path.endswith("/")):
        return "its path doesn't begin and end with a slash"
    if "?" in route.path:
        return "its path has a query"
    if not route.host:
        return "its host is empty"
    _, colon, port = route.host.rpartition(":")
    return "its host has a port" if colon and port.isdigit() else ""


def _find_unused(configuration: Configuration) -> Iterator[Finding]:
    """Find services that no route uses and customers that no key identifies."""
    used = {
        service
        for route in configuration.routes
        for service in (
            [part.service for part in route.split if part.weight > 0]
            or route.services()
        )
    }
    for service in sorted(configuration.service_names - used):
        yield codes.ENTRY_WITHOUT_EFFECT, f"service {service!r}: no route uses it"
    identified = set(configuration.customer_by_key.values())
    for customer in sorted(configuration.customers.keys() - identified):
        yield codes.ENTRY_WITHOUT_EFFECT, f"customer {customer!r}: it has no key"


def _find_contradictions(configuration: Configuration) -> Iterator[Finding]:
    """Find limits that contradict each other or that no request can meet."""
    limits = configuration.caller_limits
    for name, value in (
        ("the header timeout", limits.header_timeout_s),
        ("the idle timeout", limits.idle_timeout_s),
    ):
        if value <= 0:
            yield codes.LIMITS_CONTRADICT, f"{name} is {value:g} s: no request meets it"
    if limits.max_body_bytes < 0:
        yield codes.LIMITS_CONTRADICT, "the limit of bodies is below 0 bytes"
    for route in configuration.routes:
        for reason in _route_contradictions(route, limits.max_header_bytes):
            yield codes.LIMITS_CONTRADICT, f"route {route.name!r}: {reason}"
    for customer in configuration.customers.values():
        reason = _burst_contradiction(customer)
        if reason:
            yield codes.LIMITS_CONTRADICT, f"customer {customer.name!r}: {reason}"


def _route_contradictions(route: Route, max_header_bytes: int) -> Iterator[str]:
    head_bytes = len(route.path) + len(route.host) + HEAD_EXTRA_BYTES
    if head_bytes > max_header_bytes:
        yield (
            f"its shortest head has {head_bytes} bytes,"
            f" the limit of headers is {max_header_bytes}"
        )
    if route.timeout_s <= 0:
        yield f"its timeout is {route.timeout_s:g} s"
    elif route.target_latency_s > route.timeout_s:
        yield (
            f"its target latency of {route.target_latency_s:g} s is above"
            f" its timeout of {route.timeout_s:g} s"
        )


def _burst_contradiction(customer: Customer) -> str:
    limit = customer.limit
    if limit is not None and limit.burst < 1:
        return f"its burst of {limit.burst:g} is below one request"
    return ""


def _find_homeless(
    configuration: Configuration, regions: frozenset[str]
) -> Iterator[Finding]:
    """Find routes and customers whose requests may run in no region."""
    for kind, entries in (
        ("route", configuration.routes),
        ("customer", configuration.customers.values()),
    ):
        for entry in entries:
            if entry.homes and not entry.homes & regions:
                shown = ", ".join(sorted(entry.homes))
                reason = f"{kind} {entry.name!r}: no zone is in its homes ({shown})"
                yield codes.ENTRY_WITHOUT_EFFECT, reason
