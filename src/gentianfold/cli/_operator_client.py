"""Asks the operator ports of VMs over HTTP."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import anyio
import attrs
import httpcore
import msgspec

from gentianfold.codes import cli as codes
from gentianfold.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Sequence

ANSWER_TIMEOUT_S = 5.0
"""Time for the whole answer of one VM."""
MAX_ANSWER_BYTES = 16 << 20
"""Largest answer."""
MAX_CONCURRENT_CALLS = 32
"""VMs that are asked at the same time."""

_AnswerT = TypeVar("_AnswerT")


@attrs.frozen
class VmAddress:
    """The operator port of a VM."""

    host: str
    """IP number or host name."""
    port: int
    """TCP port."""

    @classmethod
    def parse(cls, text: str) -> VmAddress | Failure:
        """Parse ``HOST:PORT``, with brackets around an IPv6 number."""
        host, colon, port = text.rpartition(":")
        host = host.removeprefix("[").removesuffix("]")
        digits = port.isascii() and port.isdecimal() and len(port) <= 5
        if not (host and colon and digits and 0 < int(port) < 65536):
            return Failure(codes.VM_ADDRESS_INVALID, f"{text!r} isn't HOST:PORT")
        if not host.isascii() or any(char in "/?#@[] " for char in host):
            return Failure(codes.VM_ADDRESS_INVALID, f"{text!r} isn't HOST:PORT")
        return cls(host, int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@attrs.frozen
class Call:
    """A call of one VM's operator port."""

    vm: VmAddress
    """The VM."""
    method: str
    """The method."""
    target: str
    """Path and query string."""


def parse_addresses(texts: Sequence[str]) -> list[VmAddress] | tuple[Failure, ...]:
    """Parse the addresses that a command was given."""
    parsed = [VmAddress.parse(text) for text in texts]
    failures = tuple(address for address in parsed if isinstance(address, Failure))
    return failures or [address for address in parsed if isinstance(address, VmAddress)]


def call_vms(calls: Sequence[Call]) -> list[bytes | Failure]:
    """Make calls at the same time.

    Args:
        calls: The calls.

    Returns:
        The body of each answer, or why there is none, in the order of the calls.
    """
    return anyio.run(_call_all, calls)


def decode_answer(body: bytes | Failure, kind: type[_AnswerT]) -> _AnswerT | Failure:
    """Decode a JSON answer; unknown fields are ignored, missing ones defaulted."""
    if isinstance(body, Failure):
        return body
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        return Failure(codes.VM_ANSWER_INVALID, f"the answer can't be read: {error}")


async def _call_all(calls: Sequence[Call]) -> list[bytes | Failure]:
    """Make calls at the same time."""
    unanswered = Failure(codes.VM_UNREACHABLE)
    answers: list[bytes | Failure] = [unanswered] * len(calls)
    limiter = anyio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def call_one(index: int, call: Call) -> None:
        async with limiter:
            answers[index] = await _call(pool, call)

    async with httpcore.AsyncConnectionPool() as pool, anyio.create_task_group() as tg:
        for index, call in enumerate(calls):
            tg.start_soon(call_one, index, call)
    return answers


async def _call(pool: httpcore.AsyncConnectionPool, call: Call) -> bytes | Failure:
    """Make one call within its time."""
    url = f"http://{call.vm}{call.target}"
    try:
        with anyio.fail_after(ANSWER_TIMEOUT_S):
            return await _exchange(pool, call, url)
    except TimeoutError:
        reason = f"{call.vm} gave no whole answer within {ANSWER_TIMEOUT_S:g} s"
    except (httpcore.NetworkError, httpcore.ProtocolError, OSError) as error:
        reason = f"{call.vm} can't be asked: {error or type(error).__name__}"
    except (httpcore.TimeoutException, httpcore.UnsupportedProtocol) as error:
        reason = f"{call.vm} can't be asked: {error or type(error).__name__}"
    return Failure(codes.VM_UNREACHABLE, reason)


async def _exchange(
    pool: httpcore.AsyncConnectionPool, call: Call, url: str
) -> bytes | Failure:
    """Send a request and read its answer."""
    headers = [("Content-Length", "0")] if call.method == "POST" else []
    async with pool.stream(call.method, url, headers=headers) as response:
        body = b""
        async for chunk in response.aiter_stream():
            body += chunk
            if len(body) > MAX_ANSWER_BYTES:
                reason = f"the answer of {call.vm} is too large"
                return Failure(codes.VM_ANSWER_INVALID, reason)
    if response.status // 100 != 2:
        said = body[:200].decode(errors="replace").strip()
        reason = f"{call.vm} answered with status {response.status}: {said}"
        return Failure(codes.VM_REFUSED, reason)
    return body
