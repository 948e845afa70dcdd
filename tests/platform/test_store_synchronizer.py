"""Tests of the store synchronizer: paging, dropped history, outages, bad entries."""

from __future__ import annotations

import asyncio

import anyio
import attrs
import pytest

from gentianfold.fleet.evacuation_table import EvacuationTable
from gentianfold.fleet.store_revision import StoreRevision
from gentianfold.fleet.upstream_list import UpstreamList
from gentianfold.forwarding.connection_pool import ConnectionPool
from gentianfold.forwarding.document_request import TransferTimeouts
from gentianfold.model import Upstream, UpstreamState
from gentianfold.platform import (
    store_client,
    store_synchronizer,
    wire,
    wire_encoding,
)
from gentianfold.platform.store_client import StoreClient
from gentianfold.platform.store_synchronizer import StoreSynchronizer
from gentianfold.standins.http_server import format_response
from gentianfold.standins.site import make_configuration
from gentianfold.standins.store import StandinStore

pytestmark = pytest.mark.anyio


@attrs.define
class RecordingSink:
    upstreams: UpstreamList = attrs.field(factory=UpstreamList)
    versions: list[int] = attrs.field(factory=list)
    last_read_time_s: float | None = None
    restored_time_s: float = float("-inf")
    evacuations: EvacuationTable = attrs.field(factory=EvacuationTable)

    def last_read_s(self):
        return self.last_read_time_s

    def known_era(self):
        return self.upstreams.revision.era

    def restored_s(self):
        return self.restored_time_s

    def update_upstreams(self, entries, revision):
        for entry in entries:
            self.upstreams.put(entry)
        self.upstreams.advance(revision)

    def replace_upstreams(self, entries, revision):
        self.upstreams.replace(entries, revision)

    def add_upstreams(self, entries, revision):
        self.upstreams.add_listed(entries, revision)
        return not self.upstreams.names() <= {entry.name for entry in entries}

    def update_configuration(self, document, configuration):
        self.versions.append(configuration.version)

    def update_evacuation(self, zone, revision, is_requested):
        self.evacuations.record_change(zone, revision, is_requested, 0.0)

    def replace_evacuations(self, zones, revision):
        self.evacuations.replace(zones, revision, 0.0)


def make_upstream(name, **changes):
    upstream = Upstream(
        name, "registry", "127.0.0.1", 80, "z1", slots=6, start_time_ms=1
    )
    return attrs.evolve(upstream, **changes)


@pytest.fixture
async def store_setup():
    store = StandinStore()
    await store.server.open()
    sink = RecordingSink()
    pool = ConnectionPool()
    client = StoreClient(("127.0.0.1", store.server.port), pool)
    yield store, sink, StoreSynchronizer(client, sink)
    pool.close()
    store.server.close()


async def test_pages_changes_draining_and_deletions_are_applied(store_setup):
    store, sink, synchronizer = store_setup
    store.put_configuration(make_configuration(7))
    for number in range(120):
        store.put_upstream(make_upstream(f"u{number}"))
    assert await synchronizer.poll()
    assert len(sink.upstreams.names()) == 120 and sink.versions == [7]
    store.put_upstream(make_upstream("u1", state=UpstreamState.DRAINING))
    store.delete_upstream("u2")
    assert await synchronizer.poll()
    assert not sink.upstreams.is_usable("u1") and not sink.upstreams.is_usable("u2")
    assert sink.upstreams.is_usable("u3")


async def test_dropped_history_causes_a_new_list(store_setup):
    store, sink, synchronizer = store_setup
    store.put_upstream(make_upstream("u1"))
    store.put_upstream(make_upstream("u2"))
    await synchronizer.poll()
    store.delete_upstream("u2")
    store.put_upstream(make_upstream("u3"))
    store.compact_history()
    assert await synchronizer.poll()
    assert sink.upstreams.names() == {"u1", "u3"}


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        b'{"address":"1.2.3.4:5"}',
        b'{"address":5,"born":1,"info":{},"status":{}}',
        wire_encoding.encode_upstream(make_upstream("u")).replace(
            b'"ready"', b'"asleep"'
        ),
        wire_encoding.encode_upstream(make_upstream("u")).replace(
            b'"slots":6', b'"slots":"6"'
        ),
        wire_encoding.encode_upstream(make_upstream("u")).replace(
            b'"slots":6', b'"slots":0'
        ),
        wire_encoding.encode_upstream(make_upstream("u")).replace(
            b'"born":1', b'"born":"x"'
        ),
        wire_encoding.encode_upstream(make_upstream("u")).replace(b":80", b""),
    ],
)
async def test_a_malformed_entry_deletes_the_upstream(store_setup, value):
    store, sink, synchronizer = store_setup
    store.put_upstream(make_upstream("good"))
    store.put(wire.UPSTREAM_KEY_PREFIX + "bad", value)
    await synchronizer.poll()
    assert sink.upstreams.names() == {"good"}
    store.put_upstream(make_upstream("bad"))
    await synchronizer.poll()
    store.put(wire.UPSTREAM_KEY_PREFIX + "bad", value)
    await synchronizer.poll()
    assert sink.upstreams.names() == {"good"}


async def test_store_errors_and_timeouts_keep_the_upstreams(store_setup, monkeypatch):
    timeouts = TransferTimeouts(response_s=0.1, progress_s=0.1, total_s=0.1)
    monkeypatch.setattr(store_client, "CHANGES_TIMEOUTS", timeouts)
    store, sink, synchronizer = store_setup
    store.put_upstream(make_upstream("u1"))
    await synchronizer.poll()
    for status in (429, 503):
        store.status = status
        assert not await synchronizer.poll()
    store.status, store.is_unresponsive = 200, True
    assert not await synchronizer.poll()
    assert sink.upstreams.names() == {"u1"}


async def test_deletions_during_a_store_outage_are_held_back(store_setup, monkeypatch):
    monkeypatch.setattr(store_synchronizer, "DELETION_HOLD_S", 0.2)
    store, sink, synchronizer = store_setup
    store.put_upstream(make_upstream("u1"))
    store.put_upstream(make_upstream("u2"))
    await synchronizer.poll()
    sink.last_read_time_s = asyncio.get_running_loop().time() - 10
    store.delete_upstream("u1")
    store.delete_upstream("u2")
    await synchronizer.poll()
    assert sink.upstreams.names() == {"u1", "u2"}
    sink.last_read_time_s = asyncio.get_running_loop().time()
    store.put_upstream(make_upstream("u2"))
    await anyio.sleep(0.3)
    await synchronizer.poll()
    assert sink.upstreams.names() == {"u2"}


async def test_a_deletion_applies_at_once_if_only_this_vm_lost_the_store(store_setup):
    # Guards against holding back deletions although other VMs could read the store: a
    # VM that had regained the store became broker and granted slots of an upstream
    # 2.6 s after its entry had been deleted.
    store, sink, synchronizer = store_setup
    store.put_upstream(make_upstream("u1"))
    await synchronizer.poll()
    store.status = 503
    await synchronizer.poll()
    store.status = 200
    sink.last_read_time_s = asyncio.get_running_loop().time() - 0.5
    store.delete_upstream("u1")
    await synchronizer.poll()
    assert sink.upstreams.names() == set()


async def test_a_configuration_that_takes_long_to_transfer_is_read(store_setup):
    # Guards against a timeout of the whole read, which a narrow link always exceeded.
    store, sink, synchronizer = store_setup
    await synchronizer.poll()
    store.put_configuration(make_configuration(8))
    store.bytes_per_s = 1000
    assert await synchronizer.poll()
    assert sink.versions == [8]


async def test_a_store_that_stops_sending_fails_the_read(store_setup, monkeypatch):
    store, sink, synchronizer = store_setup
    timeouts = TransferTimeouts(response_s=5.0, progress_s=0.1, total_s=5.0)
    monkeypatch.setattr(store_client, "CHANGES_TIMEOUTS", timeouts)
    monkeypatch.setattr("gentianfold.standins.store.PIECE_INTERVAL_S", 60.0)
    await synchronizer.poll()
    store.put_configuration(make_configuration(8))
    store.bytes_per_s = 1
    assert not await synchronizer.poll()
    store.bytes_per_s = 0
    assert await synchronizer.poll()
    assert sink.versions == [8]


async def test_only_the_newest_configuration_is_read_after_a_gap(
    store_setup, monkeypatch
):
    # Guards against reading every version since the last poll, each in full.
    monkeypatch.setattr(store_synchronizer, "MAX_CHANGES_AGE_S", -1.0, raising=False)
    store, sink, synchronizer = store_setup
    store.put_configuration(make_configuration(1))
    await synchronizer.poll()
    for version in range(2, 6):
        store.put_configuration(make_configuration(version))
    store.put_upstream(make_upstream("u1"))
    assert await synchronizer.poll()
    assert sink.versions == [1, 5] and sink.upstreams.names() == {"u1"}


async def test_answers_from_before_a_restoration_are_ignored(store_setup):
    store, sink, synchronizer = store_setup
    store.put_upstream(make_upstream("u1"))
    await synchronizer.poll()
    # Another VM has passed on that the store was restored.
    sink.upstreams.advance(StoreRevision(store.era + 1, 1))
    store.delete_upstream("u1")
    store.put_configuration(make_configuration(9))
    assert not await synchronizer.poll()
    assert sink.upstreams.is_usable("u1") and not sink.versions


async def test_pages_of_two_eras_are_not_joined(store_setup, monkeypatch):
    store, sink, synchronizer = store_setup
    for number in range(120):
        store.put_upstream(make_upstream(f"u{number:03}"))
    copy = store.make_copy()
    list_items = synchronizer.client.list_items

    async def list_items_around_a_restoration(client, prefix, after=""):
        page = await list_items(prefix, after)
        if not after:
            store.restore(copy)
        return page

    monkeypatch.setattr(StoreClient, "list_items", list_items_around_a_restoration)
    assert not await synchronizer.poll()
    assert not sink.upstreams.names()
    monkeypatch.undo()
    assert await synchronizer.poll()
    assert len(sink.upstreams.names()) == 120


@pytest.mark.parametrize("era", [b"", b"x", b"-1", b"1" * 30])
async def test_an_invalid_era_fails_the_read(store_setup, monkeypatch, era):
    store, sink, synchronizer = store_setup
    store.put_upstream(make_upstream("u1"))
    monkeypatch.setattr(
        StandinStore,
        "_format",
        lambda _, status, body: format_response(status, [(wire.ERA_HEADER, era)], body),
    )
    assert not await synchronizer.poll()
    assert not sink.upstreams.names()


def evacuated(sink):
    return set(sink.evacuations.zones)


async def test_an_evacuation_is_read_and_taken_back(store_setup):
    # Nothing read the operators' requests.
    store, sink, synchronizer = store_setup
    store.put_upstream(make_upstream("u1"))
    store.put_evacuation("z1")
    await synchronizer.poll()
    assert evacuated(sink) == {"z1"}
    store.put(wire.EVACUATION_KEY_PREFIX + "z2", b"not a document")
    store.put(wire.EVACUATION_KEY_PREFIX, b"{}")
    await synchronizer.poll()
    assert evacuated(sink) == {"z1", "z2"}
    store.take_back("z1")
    await synchronizer.poll()
    assert evacuated(sink) == {"z2"}


async def test_evacuations_are_read_behind_a_gap_and_dropped_history(store_setup):
    store, sink, synchronizer = store_setup
    store.put_configuration(make_configuration())
    await synchronizer.poll()
    # A poll after a gap reads the changes of upstreams alone.
    synchronizer._read_s = -100.0
    store.put_evacuation("z1")
    store.put_configuration(make_configuration(9))
    calls = store.request_counts.total()
    assert await synchronizer.poll()
    assert evacuated(sink) == {"z1"} and sink.versions[-1] == 9
    assert store.request_counts.total() == calls + 2
    store.take_back("z1")
    store.compact_history()
    assert await synchronizer.poll()
    assert not evacuated(sink)


async def test_an_evacuation_that_a_restored_store_lacks_is_kept(store_setup):
    store, sink, synchronizer = store_setup
    store.put_upstream(make_upstream("u1"))
    copy = store.make_copy()
    store.put_evacuation("z1")
    await synchronizer.poll()
    store.restore(copy)
    assert await synchronizer.poll()
    assert evacuated(sink) == {"z1"}
    store.put_evacuation("z1")
    store.take_back("z1")
    assert await synchronizer.poll()
    assert not evacuated(sink)
