"""Fetches newer configurations from other VMs."""

from __future__ import annotations

import asyncio
import zlib
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold.errors import Failure
from gentianfold.forwarding.messages import Response, encode_request
from gentianfold.forwarding.upstream_connection import ExchangeFailure
from gentianfold.platform.wire import decode_configuration

if TYPE_CHECKING:
    from gentianfold.fleet.node import Node
    from gentianfold.forwarding.connection_pool import ConnectionPool
    from gentianfold.platform.store_synchronizer import StoreSynchronizer
    from gentianfold.vm.store_poller import StateSink

FETCH_TIMEOUT_S = 0.9
"""Timeout of a fetch from another VM (seconds); the store is read after it expires."""
MAX_DOCUMENT_BYTES = 16 << 20
"""Limit on a decompressed configuration (bytes); a longer one is truncated. The store
holds up to one megabyte."""
CONFIGURATION_PATH = b"/configuration"
"""Path at which the operators' endpoint serves the published configuration document."""


def compress_document(document: bytes) -> bytes:
    """Compress a configuration document for transfer to another VM."""
    return zlib.compress(document, COMPRESSION_LEVEL)


def decompress_document(compressed: bytes) -> bytes:
    """Decompress a configuration document.

    Returns:
        The document, truncated to ``MAX_DOCUMENT_BYTES``; empty if the data is not
        valid zlib data.
    """
    try:
        return zlib.decompressobj().decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error:
        return b""


COMPRESSION_LEVEL = 6
"""zlib level (0 to 9): reduces routes to a sixth of their size in a few
milliseconds."""


@attrs.define(eq=False)
class ConfigurationFetcher:
    """Fetches the configuration when a heartbeat reply announces a newer version."""

    node: Node
    """Fleet node of this VM; provides the address of the VM to fetch from."""
    sink: StateSink
    """Applies the fetched configuration."""
    synchronizer: StoreSynchronizer
    """Reads the store when the fetch fails."""
    pool: ConnectionPool
    """Pool of connections to other VMs."""
    port: int
    """TCP port of the operators' endpoint, equal on all VMs."""
    outcome_counts: Counter[str] = attrs.field(factory=Counter)
    """Number of fetches by outcome."""

    async def run(self) -> None:
        """Fetch each announced version until cancelled; read the store on failure."""
        while True:
            await self.node.announced.available.wait()
            self.node.announced.available = anyio.Event()
            if not await self._fetch():
                await self.synchronizer.poll()

    async def _fetch(self) -> bool:
        """Fetch and apply the configuration; return ``False`` on failure."""
        source = self.node.announced.source
        if source in ("", self.node.vm):
            return True
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        response = None
        outcome = "timed out"
        with anyio.move_on_after(FETCH_TIMEOUT_S):
            address = (source, self.port)
            connection = await self.pool.acquire(address, "vm")
            if connection is None:
                self._log_fetch(source, "no connection", started_s)
                return False
            head = [(b"host", source.encode())]
            request = encode_request(b"GET", CONFIGURATION_PATH, head, b"")
            response = await connection.exchange(request, lambda _: True)
            self.pool.release(address, "vm", connection)
        if isinstance(response, ExchangeFailure):
            outcome = response.value
        elif response is not None:
            outcome = f"status {response.status}"
        if not isinstance(response, Response) or response.status != 200:
            self._log_fetch(source, outcome, started_s)
            return False
        document = decompress_document(response.body)
        configuration = decode_configuration(document)
        if isinstance(configuration, Failure):
            logger.warning(
                "fleet: invalid configuration from {}: {}", source, configuration
            )
            self._log_fetch(source, "invalid", started_s)
            return False
        outcome = f"version {configuration.version}"
        self._log_fetch(source, outcome, started_s, len(response.body))
        self.sink.update_configuration(document, configuration)
        return True

    def _log_fetch(
        self, source: str, outcome: str, started_s: float, size_bytes: int = 0
    ) -> None:
        """Log and count a finished fetch."""
        is_success = outcome.startswith("version")
        self.outcome_counts["success" if is_success else outcome] += 1
        elapsed_s = asyncio.get_running_loop().time() - started_s
        logger.info(
            "configuration: fetch from {}: {}, announced={} in_force={} bytes={} ms={:.0f}",
            source,
            outcome,
            self.node.announced.version,
            self.node.view.configuration_version,
            size_bytes,
            elapsed_s * 1000,
        )
