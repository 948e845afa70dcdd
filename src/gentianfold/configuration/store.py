"""The configuration in force on one VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from loguru import logger

from gentianfold.codes.platform import (
    SHARD_DIGEST_MISMATCH,
    VERSION_OLDER,
    VERSION_REUSED,
)
from gentianfold.configuration.assembly import Assembler, RulesParser
from gentianfold.configuration.root import (
    ROOT_NAME,
    Root,
    ShardReference,
    digest_of,
    encode_root,
    parse_root,
)
from gentianfold.configuration.snapshot import Snapshot
from gentianfold.configuration.vm_list import VmList, encode_vm_list, parse_vm_list
from gentianfold.errors import Failure, Location

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_PENDING_VERSIONS = 3
"""Most versions whose shards are gathered at the same time."""


@attrs.frozen
class Refusal:
    """A version that was refused."""

    version: int
    """The refused version."""
    failures: tuple[Failure, ...]
    """What is wrong with it."""
    refused_s: float
    """When it was refused."""


@attrs.define(eq=False)
class ConfigurationStore:
    """Keeps the newest good configuration and VM list; versions only grow.

    Roots and shards are offered by any source, in any order and any number of
    times. The store says which shards it lacks, checks each against its digest and
    swaps the snapshot when the version is whole and good.
    """

    parse_rules: RulesParser
    """Parser of the ``rules`` shard."""
    snapshot: Snapshot | None = None
    """The configuration in force."""
    adopted_s: float = 0.0
    """When it came into force."""
    vm_list: VmList | None = None
    """The newest VM list."""
    refusal: Refusal | None = None
    """The last refused version."""
    _assembler: Assembler = attrs.field(init=False)
    _root: Root | None = attrs.field(default=None, init=False)
    _pending: dict[int, Root] = attrs.field(factory=dict, init=False)
    _shards: dict[str, bytes] = attrs.field(factory=dict, init=False)
    _observers: list[Callable[[Snapshot], None]] = attrs.field(factory=list, init=False)
    _vm_observers: list[Callable[[VmList], None]] = attrs.field(
        factory=list, init=False
    )

    def __attrs_post_init__(self) -> None:
        self._assembler = Assembler(self.parse_rules)

    @property
    def version(self) -> int:
        """The version in force; 0 for none."""
        return self.snapshot.version if self.snapshot else 0

    @property
    def vm_list_version(self) -> int:
        """The version of the VM list; 0 for none."""
        return self.vm_list.version if self.vm_list else 0

    @property
    def pending_version(self) -> int:
        """The newest version whose shards are being gathered; 0 for none."""
        return max(self._pending, default=0)

    def subscribe(self, observer: Callable[[Snapshot], None]) -> None:
        """Call ``observer`` with each snapshot that comes into force."""
        self._observers.append(observer)

    def subscribe_vm_list(self, observer: Callable[[VmList], None]) -> None:
        """Call ``observer`` with each VM list that is adopted."""
        self._vm_observers.append(observer)

    def offer_root(self, data: bytes, now_s: float) -> Failure | None:
        """Consider a root value; ``missing`` then names what to fetch."""
        root = parse_root(data)
        if isinstance(root, Failure):
            return root
        if failure := self._find_conflict(root):
            return failure
        if root.version > self.version:
            self._pending[root.version] = root
            self._drop_old_pending()
        self._complete(now_s)
        return None

    def missing(self) -> tuple[ShardReference, ...]:
        """Return the shards that pending versions lack, the newest version first."""
        return tuple(
            ref
            for version in sorted(self._pending, reverse=True)
            for ref in self._pending[version].shards
            if ref.digest not in self._shards
        )

    def offer_shard(self, name: str, data: bytes, now_s: float) -> Failure | None:
        """Consider the bytes of a shard of a pending version."""
        wanted = {ref.digest for ref in self.missing() if ref.name == name}
        if not wanted:
            return None
        digest = digest_of(data)
        if digest not in wanted:
            return Failure(
                SHARD_DIGEST_MISMATCH,
                f"version {self.pending_version} needs another copy of {name}",
                location=Location(name, 1),
            )
        self._shards[digest] = data
        self._complete(now_s)
        return None

    def offer_vm_list(self, data: bytes) -> Failure | None:
        """Consider a VM list."""
        vm_list = parse_vm_list(data)
        if isinstance(vm_list, Failure):
            return vm_list
        if vm_list.version <= self.vm_list_version:
            return self._find_stale_list(vm_list)
        self.vm_list = vm_list
        logger.info(
            "configuration: VM list {} with {} VMs is in force",
            vm_list.version,
            len(vm_list.vms),
        )
        for observer in self._vm_observers:
            observer(vm_list)
        return None

    def root_bytes(self) -> bytes | None:
        """Return the root of the version in force, for a peer."""
        return encode_root(self._root) if self._root else None

    def shard_bytes(self, digest: str) -> bytes | None:
        """Return a shard by digest, for a peer."""
        return self._shards.get(digest)

    def vm_list_bytes(self) -> bytes | None:
        """Return the VM list, for a peer."""
        return encode_vm_list(self.vm_list) if self.vm_list else None

    def _find_conflict(self, root: Root) -> Failure | None:
        location = Location(ROOT_NAME, 1)
        if root.version < self.version:
            reason = f"version {root.version} is older than {self.version}"
            return Failure(VERSION_OLDER, reason, location=location)
        for held in (self._root, self._pending.get(root.version)):
            if held and held.version == root.version and held != root:
                reason = f"version {root.version} is held with another content"
                return Failure(VERSION_REUSED, reason, location=location)
        if self.refusal and self.refusal.version == root.version:
            return self.refusal.failures[0]
        return None

    def _find_stale_list(self, vm_list: VmList) -> Failure | None:
        location = Location("vms", 1)
        if vm_list.version < self.vm_list_version:
            reason = f"list {vm_list.version} is older than {self.vm_list_version}"
            return Failure(VERSION_OLDER, reason, location=location)
        if vm_list != self.vm_list:
            reason = f"list {vm_list.version} is held with another content"
            return Failure(VERSION_REUSED, reason, location=location)
        return None

    def _complete(self, now_s: float) -> None:
        for version in sorted(self._pending, reverse=True):
            root = self._pending.get(version)
            if root and all(ref.digest in self._shards for ref in root.shards):
                del self._pending[version]
                self._check(root, now_s)

    def _check(self, root: Root, now_s: float) -> None:
        shards = {ref.name: self._shards[ref.digest] for ref in root.shards}
        result = self._assembler.assemble(root, shards)
        if isinstance(result, Snapshot):
            self._adopt(root, result, now_s)
        else:
            self._refuse(root, result, now_s)
        self._drop_unused_shards()

    def _adopt(self, root: Root, snapshot: Snapshot, now_s: float) -> None:
        self._root, self.snapshot, self.adopted_s = root, snapshot, now_s
        self._drop_old_pending()
        logger.info("configuration: version {} is in force", root.version)
        for observer in self._observers:
            observer(snapshot)

    def _refuse(self, root: Root, failures: tuple[Failure, ...], now_s: float) -> None:
        self.refusal = Refusal(root.version, failures, now_s)
        for failure in failures:
            logger.error(
                "configuration: version {} is refused: {}", root.version, failure
            )

    def _drop_old_pending(self) -> None:
        newer = sorted(v for v in self._pending if v > self.version)
        kept = newer[-MAX_PENDING_VERSIONS:]
        self._pending = {version: self._pending[version] for version in kept}

    def _drop_unused_shards(self) -> None:
        roots = [self._root, *self._pending.values()]
        kept = {ref.digest for root in roots if root for ref in root.shards}
        self._shards = {d: data for d, data in self._shards.items() if d in kept}
