"""Requests to the operators' endpoint of a VM."""

from __future__ import annotations

import http.client

from gentianfold.codes.cli import VM_ADDRESS_INVALID, VM_UNREACHABLE
from gentianfold.errors import Failure

REQUEST_TIMEOUT_S = 3.0
"""Socket timeout of a request (seconds); short, as commands are used interactively."""


def request_vm(address: str, path: str) -> bytes | Failure:
    """Request a document of a VM.

    Args:
        address: Operator endpoint, in the form ``HOST:PORT``.
        path: Path of the document.

    Returns:
        The body of the response, or a failure if the address is invalid, or the VM
        can't be reached or has no such document.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        return Failure(VM_ADDRESS_INVALID, f"{address!r} isn't HOST:PORT")
    connection = http.client.HTTPConnection(host, int(port), timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = response.read()
    except (OSError, http.client.HTTPException) as error:
        return Failure(VM_UNREACHABLE, f"{address}: {error}")
    finally:
        connection.close()
    if response.status != http.HTTPStatus.OK:
        return Failure(
            VM_UNREACHABLE, f"{address}: {path} has status {response.status}"
        )
    return body
