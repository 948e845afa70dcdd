"""Fetches newer configuration and VM lists from peers.

Heartbeats show which versions peers have. A VM that is behind asks one peer at a
time for the root, for the shards that it lacks, in bounded chunks, and for the VM
list. The store checks digests and versions, so a peer can't bring anything back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec
from loguru import logger

from gentianfold.codes.peers import CONTENT_ABSENT, MESSAGE_MALFORMED
from gentianfold.configuration.root import MAX_VALUE_BYTES
from gentianfold.errors import Failure
from gentianfold.peers.membership import SUSPECT_S

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from gentianfold.clock import Clock
    from gentianfold.configuration.root import ShardReference
    from gentianfold.configuration.store import ConfigurationStore
    from gentianfold.peers.exchange import PeerRequest
    from gentianfold.peers.node import PeerNode
    from gentianfold.peers.peer_row import PeerRow

TOPIC = "configuration"
"""Topic of the questions for configuration content."""
CHUNK_BYTES = 128 * 1024
"""Largest part of a content in one answer."""
FETCH_TIMEOUT_S = 0.5
"""Time for the answer to one question."""
AVOID_S = 1.0
"""Time for which a peer that failed to answer isn't asked again."""
ROOT = "root"
"""Content name of the root in force."""
VM_LIST = "vms"
"""Content name of the VM list."""


class ContentQuestion(msgspec.Struct, array_like=True, frozen=True):
    """Asks for a part of a content."""

    content: str
    """``root``, ``vms``, or the digest of a shard."""
    offset: int
    """Where the part starts, in bytes."""


class ContentPart(msgspec.Struct, array_like=True, frozen=True):
    """A part of a content."""

    size: int
    """Length of the whole content in bytes."""
    data: bytes
    """The part."""


_ENCODER = msgspec.msgpack.Encoder()
_QUESTIONS = msgspec.msgpack.Decoder(ContentQuestion)
_PARTS = msgspec.msgpack.Decoder(ContentPart)
_FAULTS = (msgspec.MsgspecError, UnicodeDecodeError, RecursionError)


@attrs.define
class _Fetch:
    """The content that is being fetched."""

    peer: str
    content: str
    shard: ShardReference | None = None
    data: bytearray = attrs.field(factory=bytearray)


@attrs.define(eq=False)
class ConfigurationSpread:
    """Serves this VM's configuration to peers and fetches newer ones."""

    node: PeerNode
    """Talks to the peers."""
    store: ConfigurationStore
    """Holds the configuration."""
    clock: Clock
    """Tells elapsed time."""
    random: Random
    """Chooses among peers."""
    fetched_bytes: int = 0
    """Bytes that came from peers so far."""
    _fetch: _Fetch | None = attrs.field(default=None, init=False)
    _avoid_s: dict[str, float] = attrs.field(factory=dict, init=False)

    def __attrs_post_init__(self) -> None:
        self.node.handle(TOPIC, self._serve)

    def tick(self) -> None:
        """Start a fetch if peers have something newer; one at a time."""
        if self._fetch is not None or not self._is_behind():
            return
        fetch = self._choose_vm_list() or self._choose_shard() or self._choose_root()
        if fetch is not None:
            self._fetch = fetch
            self._ask(fetch)

    def _is_behind(self) -> bool:
        table = self.node.table
        return (
            bool(self.store.missing())
            or table.newest_config_version > self.store.version
            or table.newest_vm_list_version > self.store.vm_list_version
        )

    def _choose_vm_list(self) -> _Fetch | None:
        held = self.store.vm_list_version
        peer = self._choose_peer(lambda row: row.vm_list_version > held)
        return _Fetch(peer, VM_LIST) if peer else None

    def _choose_root(self) -> _Fetch | None:
        held = max(self.store.version, self.store.pending_version)
        refused = self.store.refusal.version if self.store.refusal else 0
        peer = self._choose_peer(lambda row: held < row.config_version != refused)
        return _Fetch(peer, ROOT) if peer else None

    def _choose_shard(self) -> _Fetch | None:
        missing = self.store.missing()
        if not missing:
            return None
        shard = self.random.choice(missing)
        pending = self.store.pending_version
        peer = self._choose_peer(lambda row: row.config_version >= pending)
        return _Fetch(peer, shard.digest, shard) if peer else None

    def _choose_peer(self, has_it: Callable[[PeerRow], bool]) -> str | None:
        now_s = self.clock.now_s()
        able = [
            name
            for name, row in self.node.table.rows.items()
            if row.is_heard(now_s, SUSPECT_S) and has_it(row)
            if self._avoid_s.get(name, 0.0) <= now_s
        ]
        return self.random.choice(able) if able else None

    def _ask(self, fetch: _Fetch) -> None:
        question = _ENCODER.encode(ContentQuestion(fetch.content, len(fetch.data)))
        self.node.request(
            fetch.peer, TOPIC, question, FETCH_TIMEOUT_S, self._take_answer
        )

    def _take_answer(self, answer: bytes | Failure) -> None:
        fetch = self._fetch
        if fetch is None:
            return
        part = answer if isinstance(answer, Failure) else _read_part(answer)
        if isinstance(part, Failure):
            self._give_up(fetch, part)
            return
        fetch.data += part.data
        self.fetched_bytes += len(part.data)
        if len(fetch.data) < part.size:
            self._ask(fetch)
            return
        self._fetch = None
        if failure := self._offer(fetch):
            self._give_up(fetch, failure)
            return
        self.tick()

    def _offer(self, fetch: _Fetch) -> Failure | None:
        data, now_s = bytes(fetch.data), self.clock.now_s()
        if fetch.shard is not None:
            return self.store.offer_shard(fetch.shard.name, data, now_s)
        if fetch.content == VM_LIST:
            return self.store.offer_vm_list(data)
        return self.store.offer_root(data, now_s)

    def _give_up(self, fetch: _Fetch, failure: Failure) -> None:
        logger.info("peers: {} gave no {}: {}", fetch.peer, fetch.content, failure)
        self._avoid_s[fetch.peer] = self.clock.now_s() + AVOID_S
        self._fetch = None

    def _serve(self, request: PeerRequest) -> None:
        try:
            question = _QUESTIONS.decode(request.payload)
        except _FAULTS as error:
            request.reply(Failure(MESSAGE_MALFORMED, str(error)))
            return
        data = self._find(question.content)
        if data is None or not 0 <= question.offset <= len(data):
            request.reply(Failure(CONTENT_ABSENT, question.content[:80]))
            return
        part = data[question.offset : question.offset + CHUNK_BYTES]
        request.reply(_ENCODER.encode(ContentPart(len(data), part)))

    def _find(self, content: str) -> bytes | None:
        match content:
            case "root":
                return self.store.root_bytes()
            case "vms":
                return self.store.vm_list_bytes()
        return self.store.shard_bytes(content)


def _read_part(answer: bytes) -> ContentPart | Failure:
    try:
        part = _PARTS.decode(answer)
    except _FAULTS as error:
        return Failure(MESSAGE_MALFORMED, str(error))
    if part.size > MAX_VALUE_BYTES or (part.size and not part.data):
        return Failure(MESSAGE_MALFORMED, "a part is out of bounds")
    return part
