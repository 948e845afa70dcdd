"""Whole small answers over ASGI: errors for callers, JSON and text for operators."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

import msgspec

from gentianfold.errors import RunState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, MutableMapping

    from gentianfold.errors import Failure

    Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

Headers = list[tuple[bytes, bytes]]
DEFAULT_STATUS = 500
"""Status of a failure whose code is not for callers."""


async def send_answer(
    send: Send, status: int, body: bytes, content_type: bytes, headers: Headers
) -> None:
    """Send one whole answer."""
    head = [
        (b"content-type", content_type),
        (b"content-length", str(len(body)).encode("ascii")),
        *headers,
    ]
    await send({"type": "http.response.start", "status": status, "headers": head})
    await send({"type": "http.response.body", "body": body})


async def send_json(send: Send, value: Any, status: int = 200) -> None:
    """Send a value as JSON."""
    await send_answer(send, status, msgspec.json.encode(value), b"application/json", [])


async def send_text(send: Send, text: str, status: int = 200) -> None:
    """Send a text."""
    body = text.encode()
    await send_answer(send, status, body, b"text/plain; charset=utf-8", [])


def failure_body(failure: Failure, request_id: str) -> dict[str, Any]:
    """Return what a caller is told of a failure."""
    code = failure.code
    return {
        "error": code.number,
        "name": code.name,
        "message": failure.reason or code.meaning,
        "request": (code.run_state or RunState.UNKNOWN).value,
        "retry": code.retry.value,
        "request_id": request_id,
    }


async def send_failure(
    send: Send, failure: Failure, request_id: str, headers: Headers
) -> None:
    """Send a numbered error to a caller."""
    extra = [(b"x-gentianfold-error", str(failure.code.number).encode("ascii"))]
    if failure.retry_after_s is not None:
        after_s = max(1, math.ceil(failure.retry_after_s))
        extra.append((b"retry-after", str(after_s).encode("ascii")))
    body = msgspec.json.encode(failure_body(failure, request_id))
    status = failure.code.status or DEFAULT_STATUS
    await send_answer(send, status, body, b"application/json", extra + headers)
