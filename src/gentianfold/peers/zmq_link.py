"""Peer links over ZeroMQ, encrypted and authenticated by CURVE."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import anyio
import anyio.lowlevel
import attrs
import zmq
import zmq.asyncio
from loguru import logger
from zmq.auth.asyncio import AsyncioAuthenticator

from gentianfold.peers.messages import MAX_MESSAGE_BYTES

if TYPE_CHECKING:
    from collections.abc import Callable

    from anyio.abc import TaskStatus

    from gentianfold.peers.link_keys import LinkKeys

SEND_QUEUE = 256
"""Messages that wait for one peer before further ones are dropped."""
RECEIVE_QUEUE = 1024
"""Messages that wait to be read from one peer."""
READ_BATCH = 64
"""Messages read in a row before other tasks run."""
PING_MS = 1000
"""Time between pings of the transport."""
PING_TIMEOUT_MS = 3000
"""Silence of the transport after which it closes a connection."""
MAX_RECONNECT_MS = 2000
"""Longest wait of the transport between connection attempts."""
ZAP_DOMAIN = "peers"
"""Domain under which public keys are checked."""


@attrs.define(eq=False)
class _Dialled:
    """The connection to one peer."""

    host: str
    port: int
    socket: zmq.Socket[bytes]
    attempt: int = 0


class _AllowedKeys:
    """Admits the public keys of the fleet."""

    def __init__(self, keys: LinkKeys) -> None:
        self._keys = keys

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether the public key ``key`` may connect."""
        return key in self._keys.allowed


@attrs.define(eq=False)
class ZmqLink:
    """Receives on one ROUTER socket and sends on one DEALER socket a peer."""

    keys: LinkKeys
    """Keys of this VM and its peers."""
    on_bytes: Callable[[bytes], None]
    """Takes each message that comes in."""
    _context: zmq.asyncio.Context = attrs.field(factory=zmq.asyncio.Context, init=False)
    _plain: zmq.Context[Any] = attrs.field(init=False)
    _dialled: dict[str, _Dialled] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        # Sending never waits, so it needs no futures.
        self._plain = zmq.Context.shadow(self._context.underlying)

    async def run(
        self,
        host: str,
        port: int = 0,
        *,
        task_status: TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Receive until cancelled; the started value is the bound port."""
        authenticator = AsyncioAuthenticator(self._context)
        authenticator.start()
        authenticator.configure_curve_callback(ZAP_DOMAIN, _AllowedKeys(self.keys))
        router = self._context.socket(zmq.ROUTER)
        try:
            self._prepare_router(router)
            router.bind(f"tcp://{host}:{port}")
            endpoint = router.getsockopt_string(zmq.LAST_ENDPOINT)
            task_status.started(int(endpoint.rpartition(":")[2]))
            await self._receive(router)
        finally:
            for peer in tuple(self._dialled):
                self.disconnect(peer)
            router.close(linger=0)
            authenticator.stop()
            self._context.term()

    def connect(self, peer: str, host: str, port: int) -> None:
        """Start to keep a connection to a peer, or move it to a new address."""
        known = self._dialled.get(peer)
        if known and (known.host, known.port) == (host, port):
            return
        self.disconnect(peer)
        self._dialled[peer] = _Dialled(host, port, self._dial(host, port, 0))

    def disconnect(self, peer: str) -> None:
        """Close the connection to a peer."""
        if dialled := self._dialled.pop(peer, None):
            dialled.socket.close(linger=0)

    def redial(self, peer: str) -> None:
        """Replace the connection to a peer by a fresh one."""
        if dialled := self._dialled.get(peer):
            dialled.socket.close(linger=0)
            dialled.attempt += 1
            dialled.socket = self._dial(dialled.host, dialled.port, dialled.attempt)

    def send(self, peer: str, data: bytes) -> bool:
        """Queue a message; return ``False`` if it was dropped at once."""
        dialled = self._dialled.get(peer)
        if dialled is None:
            return False
        try:
            dialled.socket.send(data, zmq.NOBLOCK)
        except zmq.Again:
            return False
        return True

    async def _receive(self, router: zmq.asyncio.Socket) -> None:
        while True:
            for _ in range(READ_BATCH):
                frames = await router.recv_multipart()
                if len(frames) == 2:
                    self.on_bytes(frames[1])
            # A receive that finds a message waiting doesn't yield to the loop.
            await anyio.lowlevel.checkpoint()

    def _prepare_router(self, router: zmq.asyncio.Socket) -> None:
        router.curve_server = True
        router.curve_secretkey = self.keys.secret
        router.curve_publickey = self.keys.public
        router.setsockopt(zmq.ZAP_DOMAIN, ZAP_DOMAIN.encode())
        _bound(router)

    def _dial(self, host: str, port: int, attempt: int) -> zmq.Socket[bytes]:
        socket: zmq.Socket[bytes] = self._plain.socket(zmq.DEALER)
        _bound(socket)
        socket.curve_publickey = self.keys.public
        socket.curve_secretkey = self.keys.secret
        # The peer may be of either generation; each redial tries the next one.
        allowed = self.keys.allowed
        socket.curve_serverkey = allowed[attempt % len(allowed)]
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, MAX_RECONNECT_MS)
        socket.connect(f"tcp://{host}:{port}")
        logger.debug("peers: dialled {}:{}, attempt {}", host, port, attempt)
        return socket


def _bound(socket: zmq.Socket[Any]) -> None:
    options = {
        zmq.LINGER: 0,
        zmq.SNDHWM: SEND_QUEUE,
        zmq.RCVHWM: RECEIVE_QUEUE,
        zmq.MAXMSGSIZE: MAX_MESSAGE_BYTES,
        zmq.HEARTBEAT_IVL: PING_MS,
        zmq.HEARTBEAT_TIMEOUT: PING_TIMEOUT_MS,
        zmq.HANDSHAKE_IVL: PING_TIMEOUT_MS,
    }
    for option, value in options.items():
        socket.setsockopt(option, value)
