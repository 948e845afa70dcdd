"""Synchronizes the published configuration and upstreams with the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

import attrs
from loguru import logger

from gentianfold.codes.platform import STORE_REFUSED
from gentianfold.errors import Failure
from gentianfold.fleet.store_revision import NO_REVISION, StoreRevision
from gentianfold.platform.wire import (
    CONFIGURATION_KEY,
    EVACUATION_KEY_PREFIX,
    OPERATOR_KEY_PREFIX,
    UPSTREAM_KEY_PREFIX,
    Item,
    decode_configuration,
    decode_evacuation,
    decode_upstream,
    decode_value,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

    from gentianfold.fleet.messages import UpstreamEntry
    from gentianfold.model import Configuration
    from gentianfold.platform.store_client import StoreClient

ALL_KEYS = ""
"""Prefix of both the configuration and the upstreams: one request reads both."""
MAX_CHANGES_AGE_S = 2.0
"""Age of the last read above which the items of operators are listed (seconds): the
changes since then may hold several versions of the configuration, each in full."""
OUTAGE_THRESHOLD_S = 2.5
"""Age of the published state from which a store outage is assumed (seconds): within
this time any VM that can reach the store reads the state and shares it."""
DELETION_HOLD_S = 2.2
"""How long deletions of upstreams are held back after a store outage (seconds): the
platform states that entries which expired in the outage are registered again within
about two seconds of its end. The same holds for entries that a restored store lacks."""
EARLIER_ERA = Failure(STORE_REFUSED, "an answer from before the store was restored")
"""Failure of a read that arrives late."""
RESTORED_MEANWHILE = Failure(STORE_REFUSED, "the store was restored during the list")
"""Failure of a list whose pages do not belong together."""
MAX_LOGGED_ENTRIES = 200
"""Malformed entries of which the last logged revision is kept (count)."""


class PublishedStateSink(Protocol):
    """Receives the configuration and the upstreams that were read from the store."""

    def last_read_s(self) -> float | None:
        """Return the loop time at which the state was last current (seconds).

        Reads by other VMs count if they shared the state with this VM.

        Returns:
            The loop time; ``None`` if no state was received yet.
        """
        ...

    def known_era(self) -> int:
        """Return the newest era of the store that this VM knows; 0 for none."""
        ...

    def restored_s(self) -> float:
        """Return when this VM learned that the store was restored (seconds).

        Loop time; minus infinity if it was not restored since the VM's start.
        """
        ...

    def update_upstreams(
        self, entries: list[UpstreamEntry], revision: StoreRevision
    ) -> None:
        """Apply all entries that changed up to a revision."""
        ...

    def replace_upstreams(
        self, entries: list[UpstreamEntry], revision: StoreRevision
    ) -> None:
        """Replace the upstream list by the one at a revision."""
        ...

    def add_upstreams(
        self, entries: list[UpstreamEntry], revision: StoreRevision
    ) -> bool:
        """Add the upstreams listed at a revision; keep those that the list lacks.

        Returns:
            Whether the list lacks any known upstream.
        """
        ...

    def update_configuration(
        self, document: bytes, configuration: Configuration
    ) -> None:
        """Apply a configuration, given as published and decoded."""
        ...

    def update_evacuation(
        self, zone: str, revision: StoreRevision, is_requested: bool
    ) -> None:
        """Apply that the evacuation of a zone was requested or taken back."""
        ...

    def replace_evacuations(
        self, zones: Mapping[str, StoreRevision], revision: StoreRevision
    ) -> None:
        """Replace the evacuated zones by those at a revision."""
        ...


@attrs.define(eq=False, repr=False)
class StoreSynchronizer:
    """Reads the store on each poll and passes changes to a sink."""

    client: StoreClient
    """Client of the store."""
    sink: PublishedStateSink
    """Receives what was read."""
    revision: StoreRevision = NO_REVISION
    """Revision up to which all changes were read."""
    is_connected: bool = True
    """Whether the last poll succeeded."""
    failure_count: int = 0
    """Number of failed polls since the start."""
    _read_s: float = float("-inf")
    _hold_until_s: float = 0.0
    _relist_after_s: float = float("inf")
    _malformed: dict[str, int] = attrs.field(factory=dict)

    def is_list_due(self, now_s: float) -> bool:
        """Tell whether all items must be listed, as deletions were held back."""
        return now_s > self._relist_after_s

    async def poll(self) -> bool:
        """Read the changes since the last poll; return whether the read succeeded."""
        now_s = asyncio.get_running_loop().time()
        needs_list = self.revision == NO_REVISION or self.is_list_due(now_s)
        failure = await (self._read_all() if needs_list else self._read_changes())
        if failure is not None:
            self.failure_count += 1
            elapsed_s = asyncio.get_running_loop().time() - now_s
            logger.warning(
                "store: {}, {} revision={} ms={:.0f}",
                "lost" if self.is_connected else "still not reachable",
                failure.reason,
                self.revision,
                elapsed_s * 1000,
            )
            self.is_connected = False
            return False
        self._read_s = now_s
        if not self.is_connected:
            logger.info("store: reachable again, revision {}", self.revision)
            self.is_connected = True
        return True

    async def read_configuration(self) -> Failure | None:
        """Read the configuration alone and pass it to the sink."""
        item = await self.client.read_item(CONFIGURATION_KEY)
        if isinstance(item, Failure):
            return item
        self._update_configuration(item)
        return None

    async def _read_changes(self) -> Failure | None:
        age_s = asyncio.get_running_loop().time() - self._read_s
        is_recent = age_s <= MAX_CHANGES_AGE_S
        prefix = ALL_KEYS if is_recent else UPSTREAM_KEY_PREFIX
        page = await self.client.list_changes(prefix, self.revision.number)
        if page is None:
            logger.info("store: change history was dropped, listing all items")
            return await self._read_all()
        if isinstance(page, Failure):
            return page
        if page.era != self.revision.era:
            # The numbers of revisions were given out again: changes may be missing.
            return await self._read_all()
        if page.era < self.sink.known_era():
            return EARLIER_ERA
        if not is_recent:
            # Read after the changes, so that it is no older than their revision.
            failure = await self._read_operator_items(page.era)
            if failure is not None:
                return failure
        self._check_outage()
        entries = self._process_items(page.events, page.era)
        self._update_evacuations(page.events, page.era)
        revision = StoreRevision(page.era, page.store_revision)
        self.revision = max(self.revision, revision)
        self.sink.update_upstreams(self._hold_deletions(entries), self.revision)
        return None

    async def _read_all(self) -> Failure | None:
        """List all items and continue from the revision of the first page.

        Later pages may be newer than the first; the next poll reads the changes since.
        """
        listed = await self._list(ALL_KEYS)
        if isinstance(listed, Failure):
            return listed
        items, first_revision = listed
        if first_revision.era < self.sink.known_era():
            return EARLIER_ERA
        self._check_outage()
        self._check_restored(first_revision)
        entries = [
            entry
            for entry in self._process_items(items, first_revision.era)
            if not entry.is_deleted
        ]
        self._replace_evacuations(items, first_revision)
        self.revision = first_revision
        if asyncio.get_running_loop().time() < self._hold_until_s:
            # A missing entry may have expired in the outage, or be missing in the copy,
            # and come back, so nothing is deleted before the list after the hold.
            has_kept = self.sink.add_upstreams(entries, first_revision)
            self._relist_after_s = self._hold_until_s if has_kept else float("inf")
        else:
            self.sink.replace_upstreams(entries, first_revision)
            self._relist_after_s = float("inf")
        return None

    async def _list(self, prefix: str) -> tuple[list[Item], StoreRevision] | Failure:
        """List the items under a key prefix, with the revision of the first page."""
        items: list[Item] = []
        first_revision = NO_REVISION
        after = ""
        while True:
            page = await self.client.list_items(prefix, after)
            if isinstance(page, Failure):
                return page
            if first_revision == NO_REVISION:
                first_revision = StoreRevision(page.era, page.store_revision)
            if page.era != first_revision.era:
                return RESTORED_MEANWHILE
            items += page.items
            if not page.has_more or not page.items:
                return items, first_revision
            after = page.items[-1].key

    async def _read_operator_items(self, era: int) -> Failure | None:
        """List what operators have written, and pass it to the sink."""
        listed = await self._list(OPERATOR_KEY_PREFIX)
        if isinstance(listed, Failure):
            return listed
        items, revision = listed
        if revision.era != era:
            return RESTORED_MEANWHILE
        self._process_items(items, era)
        self._replace_evacuations(items, revision)
        return None

    def _replace_evacuations(self, items: list[Item], revision: StoreRevision) -> None:
        zones = dict(
            request
            for item in items
            if item.key.startswith(EVACUATION_KEY_PREFIX)
            and (request := decode_evacuation(item, revision.era)) is not None
        )
        self.sink.replace_evacuations(zones, revision)

    def _update_evacuations(self, items: list[Item], era: int) -> None:
        """Pass each change to the sink, as a zone may be taken back at once."""
        for item in items:
            if item.key.startswith(EVACUATION_KEY_PREFIX):
                request = decode_evacuation(item, era)
                if request is not None:
                    self.sink.update_evacuation(*request, not item.tombstone)

    def _check_restored(self, revision: StoreRevision) -> None:
        """Start to hold back deletions if the store was restored.

        Another VM may have learned of it before and passed it on.
        """
        restored_s = self.sink.restored_s()
        if 0 < self.sink.known_era() < revision.era:
            restored_s = asyncio.get_running_loop().time()
            logger.warning(
                "store: restored from a copy, revision={} known_era={} read_revision={},"
                " holding back deletions",
                revision,
                self.sink.known_era(),
                self.revision,
            )
        self._hold_until_s = max(self._hold_until_s, restored_s + DELETION_HOLD_S)

    def _process_items(self, items: list[Item], era: int) -> list[UpstreamEntry]:
        """Pass a configuration to the sink; return the upstream entries."""
        entries = []
        for item in items:
            if item.key == CONFIGURATION_KEY:
                self._update_configuration(item)
            elif item.key.startswith(UPSTREAM_KEY_PREFIX):
                entry = decode_upstream(item, era)
                if entry.is_deleted and not item.tombstone:
                    self._log_malformed(item)
                entries.append(entry)
        return entries

    def _log_malformed(self, item: Item) -> None:
        """Log an entry that names no upstream, once for each change of it."""
        if self._malformed.get(item.key) == item.rev:
            return
        if len(self._malformed) >= MAX_LOGGED_ENTRIES:
            self._malformed.clear()
        self._malformed[item.key] = item.rev
        logger.warning(
            "store: entry {} is malformed, revision={}", item.key[:80], item.rev
        )

    def _update_configuration(self, item: Item) -> None:
        document = decode_value(item)
        if document is None:
            logger.warning("store: the configuration is not valid base64")
            return
        configuration = decode_configuration(document)
        if isinstance(configuration, Failure):
            logger.warning("store: {}", configuration)
            return
        self.sink.update_configuration(document, configuration)

    def _check_outage(self) -> None:
        """Start to hold back deletions if no VM has read the store for a while.

        If only this VM had lost its connection, other VMs read the store and shared its
        state; deletions are then real and apply at once.
        """
        now_s = asyncio.get_running_loop().time()
        read_s = self.sink.last_read_s()
        if read_s is not None and now_s - read_s > OUTAGE_THRESHOLD_S:
            logger.info("store: back after an outage, holding back deletions")
            self._hold_until_s = now_s + DELETION_HOLD_S

    def _hold_deletions(self, entries: list[UpstreamEntry]) -> list[UpstreamEntry]:
        """Return the entries to apply now: after an outage, all but the deletions.

        What is still missing after the hold is found by listing all items.
        """
        if asyncio.get_running_loop().time() >= self._hold_until_s:
            return entries
        applied = [entry for entry in entries if not entry.is_deleted]
        if len(applied) < len(entries):
            self._relist_after_s = self._hold_until_s
        return applied
