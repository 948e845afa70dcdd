"""Obtains newer configurations from other VMs and from the store."""

from __future__ import annotations

import random
import zlib
from collections import Counter
from typing import TYPE_CHECKING

import anyio
import attrs
from loguru import logger

from gentianfold.errors import Failure
from gentianfold.forwarding.document_request import (
    TransferTimeouts,
    request_document,
)
from gentianfold.forwarding.messages import Response
from gentianfold.platform.wire import decode_configuration

if TYPE_CHECKING:
    from gentianfold.fleet.node import Node
    from gentianfold.forwarding.connection_pool import ConnectionPool
    from gentianfold.platform.store_synchronizer import StoreSynchronizer
    from gentianfold.vm.store_poller import StateSink

FETCH_TIMEOUTS = TransferTimeouts(response_s=0.9, progress_s=0.5, total_s=4.0)
"""Timeouts of a fetch from another VM, which may have to compress the document first."""
FETCH_CONNECT_TIMEOUT_S = 0.4
"""Timeout for connecting to another VM (seconds): a read of the store that fills the
link of this VM delays the packets of the handshake."""
FETCH_RETRY_S = 0.1
"""Time between a failed fetch and the next one, unless another source is assigned
meanwhile (seconds)."""
STORE_DELAY_S = 0.5
"""Time after which an announced configuration is also read from the store (seconds):
longer than the fleet usually takes, short enough to be in force in time."""
STORE_JITTER_S = 0.3
"""Upper bound of the random time added to ``STORE_DELAY_S`` (seconds), so that VMs
without a source do not all read the store at the same time."""
STORE_RETRY_S = 0.2
"""Time between the first failed read of the store and the next one (seconds); doubles
with each failure."""
MAX_STORE_RETRY_S = 0.8
"""Upper bound of that time (seconds)."""
CHECK_INTERVAL_S = 0.05
"""Time between two checks whether the announced version is in force (seconds)."""
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


@attrs.define(eq=False, repr=False)
class ConfigurationFetcher:
    """Obtains the configuration when a heartbeat reply announces a newer version."""

    node: Node
    """Fleet node of this VM; provides the address of the VM to fetch from."""
    sink: StateSink
    """Applies the fetched configuration."""
    synchronizer: StoreSynchronizer
    """Reads the store if other VMs do not provide the version."""
    pool: ConnectionPool
    """Pool of connections to other VMs."""
    port: int
    """TCP port of the operators' endpoint, equal on all VMs."""
    outcome_counts: Counter[str] = attrs.field(factory=Counter)
    """Number of fetches by outcome."""

    async def run(self) -> None:
        """Obtain each announced version until cancelled."""
        announced = self.node.announced
        while True:
            await announced.available.wait()
            announced.available = anyio.Event()
            if self._is_pending():
                await self._obtain()

    async def _obtain(self) -> None:
        """Fetch the announced version from other VMs and read it from the store.

        Each way is tried until the version is in force, whichever brings it. Neither
        depends on a further announcement: the one that is awaited may not come.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._fetch_from_vms)
            tasks.start_soon(self._read_store)
            while self._is_pending():
                await anyio.sleep(CHECK_INTERVAL_S)
            tasks.cancel_scope.cancel()

    def _is_pending(self) -> bool:
        return self.node.announced.version > self.node.view.configuration_version

    async def _fetch_from_vms(self) -> None:
        """Fetch from the source that the broker assigns, once it has assigned one.

        After a failure the announcer itself and the source take turns: the source may be
        unreachable, and a broker learns of that only with time.
        """
        announced = self.node.announced
        failed = ""
        while self._is_pending():
            announced.source_changed = anyio.Event()
            source = announced.source
            if source and source == failed:
                source = announced.announcer
            if source not in ("", self.node.vm):
                failed = source
                await self._fetch(source)
            with anyio.move_on_after(FETCH_RETRY_S):
                await announced.source_changed.wait()

    async def _read_store(self) -> None:
        """Read the configuration from the store if the fetches take long."""
        await anyio.sleep(STORE_DELAY_S + random.random() * STORE_JITTER_S)
        retry_s = STORE_RETRY_S
        while self._is_pending():
            started_s = anyio.current_time()
            failure = await self.synchronizer.read_configuration()
            outcome = "read" if failure is None else failure.reason
            self._log_fetch("the store", outcome, started_s)
            await anyio.sleep(retry_s)
            retry_s = min(retry_s * 2, MAX_STORE_RETRY_S)

    async def _fetch(self, source: str) -> None:
        """Fetch the configuration from a VM and apply it."""
        started_s = anyio.current_time()
        address = (source, self.port)
        connection = await self.pool.acquire(
            address, "vm", connect_timeout_s=FETCH_CONNECT_TIMEOUT_S
        )
        if connection is None:
            self._log_fetch(source, "no connection", started_s)
            return
        response = await request_document(
            connection, source.encode(), CONFIGURATION_PATH, FETCH_TIMEOUTS
        )
        if not isinstance(response, Response):
            outcome = response.value if response is not None else "no answer in time"
            self._log_fetch(source, outcome, started_s, connection.exchanged_bytes)
            return
        self.pool.release(address, "vm", connection)
        if response.status != 200:
            self._log_fetch(source, f"status {response.status}", started_s)
            return
        document = decompress_document(response.body)
        configuration = decode_configuration(document)
        if isinstance(configuration, Failure):
            logger.warning(
                "fleet: invalid configuration from {}: {}", source, configuration
            )
            self._log_fetch(source, "invalid", started_s, len(response.body))
            return
        self.sink.update_configuration(document, configuration, response.body)
        self._log_fetch(source, "read", started_s, len(response.body))

    def _log_fetch(
        self, source: str, outcome: str, started_s: float, size_bytes: int = 0
    ) -> None:
        """Log and count a finished fetch or read.

        Args:
            source: Address of a VM, or the store.
            outcome: ``read`` if a configuration was read, else the cause of the failure.
            started_s: When the fetch started (seconds).
            size_bytes: Size of the transfer (bytes); 0 if it is not known.
        """
        self.outcome_counts[outcome] += 1
        logger.info(
            "configuration: fetch from {}: {}, announced={} in_force={} bytes={} ms={:.0f}",
            source,
            outcome,
            self.node.announced.version,
            self.node.view.configuration_version,
            size_bytes,
            (anyio.current_time() - started_s) * 1000,
        )
