"""The store adopts whole, good, newer versions only."""

import hashlib

import pytest

from gentianfold.codes import platform as codes
from gentianfold.configuration.fleet import FleetOptions
from gentianfold.configuration.key_table import KeyRecord, KeyState
from gentianfold.configuration.publication import publish_configuration
from gentianfold.configuration.root import (
    Root,
    ShardReference,
    digest_of,
    encode_root,
    parse_root,
)
from gentianfold.configuration.store import ConfigurationStore
from gentianfold.configuration.vm_list import Vm, VmList, encode_vm_list
from gentianfold.errors import Failure, Location
from gentianfold.model import Service, Upstream

UPSTREAMS = (Upstream("reg-1", "registry", "127.0.0.1", 9001, "ub-1"),)
PARSE_FAILURE = Failure(
    codes.SHARD_MALFORMED, "bad rule", location=Location("rules", 3)
)


class Rules:
    def __init__(self):
        self.services = {"registry": Service("registry", floor_fraction=0.8)}


def parse_rules(text, source):
    return (PARSE_FAILURE,) if "bad" in text else Rules()


def key(number, state=KeyState.GRANTED):
    digest = hashlib.sha256(b"%d" % number).hexdigest()
    return KeyRecord(f"customer-{number}", digest, state)


def publish(values, version, keys=(), rules="good", **options):
    return publish_configuration(
        values.__setitem__,
        version=version,
        rules_text=rules,
        upstreams=UPSTREAMS,
        keys=keys,
        **options,
    )


def feed(store, values):
    """Offer a root and all shards; return the first failure."""
    failures = [store.offer_root(values["config"], 1.0)]
    failures += [
        store.offer_shard(ref.name, values[ref.name], 1.0) for ref in store.missing()
    ]
    return next(filter(None, failures), None)


@pytest.fixture
def store():
    return ConfigurationStore(parse_rules)


def test_a_published_version_comes_into_force_whole(store):
    values, seen = {}, []
    store.subscribe(seen.append)
    keys = [key(1), key(2, KeyState.WITHDRAWN)]
    publish(values, 3, keys, fleet=FleetOptions(retired=("vm-9",)))
    assert feed(store, values) is None
    snapshot = store.snapshot
    assert seen == [snapshot] and snapshot.version == store.version == 3
    assert dict(snapshot.keys) == {key(1).digest: "customer-1"}
    assert key(2).digest not in snapshot.keys and "no digest" not in snapshot.keys
    assert snapshot.services["registry"].floor_fraction == 0.8
    assert snapshot.upstreams["reg-1"] == UPSTREAMS[0]
    assert snapshot.fleet.retired == ("vm-9",)


def test_a_change_of_one_key_fetches_one_shard_of_43_000_customers(store):
    values, written = {}, {}
    keys = [key(number) for number in range(43_000)]
    first = publish(values, 1, keys)
    feed(store, values)
    keys[7] = key(7, KeyState.WITHDRAWN)
    publish(written, 2, keys, previous=first)
    store.offer_root(written["config"], 2.0)
    (missing,) = store.missing()
    assert set(written) == {"config", missing.name}
    assert len(written["config"]) + missing.size < 120_000
    store.offer_shard(missing.name, written[missing.name], 2.0)
    assert key(7).digest not in store.snapshot.keys
    assert store.snapshot.keys[key(8).digest] == "customer-8"
    assert len(store.snapshot.keys) == 42_999


def test_versions_never_revert_and_are_never_reused(store):
    old, new, other = {}, {}, {}
    publish(old, 4, rules="old")
    publish(new, 5, [key(1)])
    publish(other, 5, [key(2)])
    feed(store, new)
    assert feed(store, old).code is codes.VERSION_OLDER
    assert feed(store, other).code is codes.VERSION_REUSED
    assert feed(store, new) is None
    assert store.version == 5 and key(1).digest in store.snapshot.keys


def test_an_older_whole_version_is_used_while_a_newer_one_lacks_shards(store):
    old, new = {}, {}
    publish(old, 2, [key(1)])
    publish(new, 3, [key(2)])
    store.offer_root(new["config"], 1.0)
    feed(store, old)
    assert store.version == 2 and store.pending_version == 3
    feed(store, new)
    assert store.version == 3 and store.missing() == ()


def test_a_wrong_copy_of_a_shard_is_refused_until_the_right_one_comes(store):
    old, new = {}, {}
    publish(old, 1, rules="old")
    publish(new, 2, rules="new")
    store.offer_root(new["config"], 1.0)
    failure = store.offer_shard("rules", old["rules"], 1.0)
    assert failure.code is codes.SHARD_DIGEST_MISMATCH
    assert feed(store, new) is None and store.version == 2


HEX = "ab" * 32
RECORD = '{"customer":"a","digest":"%s","state":"granted"}\n'


@pytest.mark.parametrize(
    ("name", "data", "code", "line"),
    [
        ("rules", b"bad", codes.SHARD_MALFORMED, 3),
        ("rules", b"ok\n\xff", codes.SHARD_MALFORMED, 2),
        ("upstreams", b"{}", codes.SHARD_MALFORMED, 1),
        ("upstreams", b"[" * 100_000, codes.SHARD_MALFORMED, 1),
        ("fleet", b'{"retired":3}', codes.SHARD_MALFORMED, 1),
        ("keys-00", RECORD % HEX + "{", codes.SHARD_MALFORMED, 2),
        ("keys-00", RECORD % "AB", codes.SHARD_MALFORMED, 1),
        ("keys-00", RECORD % HEX * 2, codes.KEY_DUPLICATED, 2),
        ("keys-01", RECORD % HEX, codes.KEY_MISPLACED, 1),
    ],
)
def test_a_bad_shard_is_refused_with_its_line_and_the_last_good_stays(
    store, name, data, code, line
):
    values = {}
    publish(values, 1)
    feed(store, values)
    values[name] = data.encode() if isinstance(data, str) else data
    names = {"rules", "upstreams", "fleet", name}
    refs = [ShardReference(n, digest_of(values[n]), len(values[n])) for n in names]
    values["config"] = encode_root(Root(2, tuple(refs)))
    feed(store, values)
    (failure,) = store.refusal.failures
    assert (failure.code, failure.location.source) == (code, name)
    assert failure.location.line == line
    assert store.version == 1 and store.missing() == ()
    assert store.offer_root(values["config"], 2.0) == failure


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"[]",
        b'{"version":0,"shards":[]}',
        b'{"version":1,"shards":[],"key_shards":3}',
        b'{"version":1,"shards":[{"name":"a","digest":"","size":2000000}]}',
        b'{"version":1,"shards":[%s]}'
        % b",".join([b'{"name":"a","digest":"","size":1}'] * 2),
        b"[" * 100_000,
    ],
)
def test_a_bad_root_is_refused(data):
    assert parse_root(data).code is codes.ROOT_MALFORMED


def test_a_root_without_rules_is_refused(store):
    store.offer_root(encode_root(Root(1, ())), 1.0)
    assert {f.code for f in store.refusal.failures} == {codes.SHARD_ABSENT}


def test_the_vm_list_only_grows(store):
    vms = tuple(Vm(f"vm-{n}", "127.0.0.1", 7000 + n, "ub-1") for n in range(2))
    assert store.offer_vm_list(encode_vm_list(VmList(2, vms))) is None
    older = store.offer_vm_list(encode_vm_list(VmList(1, vms)))
    reused = store.offer_vm_list(encode_vm_list(VmList(2, vms[:1])))
    doubled = store.offer_vm_list(encode_vm_list(VmList(3, vms + vms)))
    assert older.code is codes.VERSION_OLDER
    assert reused.code is codes.VERSION_REUSED
    assert doubled.code is codes.VM_LIST_MALFORMED
    assert store.vm_list == VmList(2, vms)
