"""Takes a newer configuration from the broker."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold.errors import Failure
from gentianfold.forwarding.messages import Response, encode_request
from gentianfold.platform.wire import decode_configuration

if TYPE_CHECKING:
    from gentianfold.fleet.node import Node
    from gentianfold.forwarding.connection_pool import ConnectionPool
    from gentianfold.platform.store_synchronizer import StoreSynchronizer
    from gentianfold.vm.store_polling import StateSink

FETCH_TIMEOUT_S = 0.9
"""Time for a configuration from another VM (seconds); then the store is asked."""
MAX_DOCUMENT_BYTES = 16 << 20
"""Largest configuration that is unpacked (bytes); the store holds up to a megabyte."""
CONFIGURATION_PATH = b"/configuration"
"""Where the operators' endpoint gives the configuration as it was published."""


def pack_document(document: bytes) -> bytes:
    """Compress a configuration for another VM."""
    return zlib.compress(document, PACK_LEVEL)


def unpack_document(packed: bytes) -> bytes:
    """Return a configuration; empty if it is not one."""
    try:
        return zlib.decompressobj().decompress(packed, MAX_DOCUMENT_BYTES)
    except zlib.error:
        return b""


PACK_LEVEL = 6
"""Level of compression: routes shrink to a sixth in a few milliseconds."""


@attrs.define(eq=False)
class ConfigurationFetch:
    """Fetches the configuration when a heartbeat tells of a newer one."""

    node: Node
    """This VM's part in the fleet."""
    sink: StateSink
    """Puts it into force."""
    follower: StoreSynchronizer
    """Reads the store when the broker does not answer."""
    pool: ConnectionPool
    """Connections to other VMs."""
    port: int
    """TCP port of the operators' endpoint; the same on all VMs."""

    async def run(self) -> None:
        """Fetch whenever the broker has a newer version."""
        while True:
            await self.node.configuration_available.wait()
            self.node.configuration_available = anyio.Event()
            if not await self._fetch():
                await self.follower.poll()

    async def _fetch(self) -> bool:
        source = self.node.configuration_source
        if source in ("", self.node.vm):
            return True
        answer = None
        with anyio.move_on_after(FETCH_TIMEOUT_S):
            address = (source, self.port)
            connection = await self.pool.acquire(address, "vm")
            if connection is None:
                return False
            head = [(b"host", source.encode())]
            request = encode_request(b"GET", CONFIGURATION_PATH, head, b"")
            answer = await connection.exchange(request, lambda _: True)
            self.pool.release(address, "vm", connection)
        if not isinstance(answer, Response) or answer.status != 200:
            return False
        document = unpack_document(answer.body)
        configuration = decode_configuration(document)
        if isinstance(configuration, Failure):
            logger.warning("fleet: configuration of {}: {}", source, configuration)
            return False
        self.sink.update_configuration(document, configuration)
        return True
