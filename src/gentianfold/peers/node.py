"""One VM among its peers: heartbeats, questions, membership."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING, Protocol

import anyio
import attrs
from loguru import logger

from gentianfold.codes.peers import PEER_TIMEOUT
from gentianfold.errors import Failure
from gentianfold.peers.codec import (
    Received,
    Unreadable,
    decode_message,
    encode_message,
)
from gentianfold.peers.exchange import AnswerObserver, Exchange, RequestHandler
from gentianfold.peers.membership import HEARTBEAT_S, SUSPECT_S, MembershipTable
from gentianfold.peers.membership_events import MembershipEvent
from gentianfold.peers.messages import (
    PROTOCOL,
    Answer,
    Body,
    Heartbeat,
    Notice,
    Question,
    Unsupported,
)

if TYPE_CHECKING:
    from collections.abc import Iterator
    from random import Random

    from gentianfold.clock import Clock
    from gentianfold.configuration.snapshot import Snapshot
    from gentianfold.configuration.store import ConfigurationStore
    from gentianfold.configuration.vm_list import VmList
    from gentianfold.peers.link import PeerLink

REDIAL_S = 3.0
"""Least time between two redials of a peer that doesn't hear this VM."""
REDIAL_LIMIT_S = 15.0
"""Longest time between two redials."""
MAX_MESSAGES_PER_S = 2000
"""Messages of one peer in a second above which further ones are dropped."""


class HeartbeatExtension(Protocol):
    """A subsystem that adds a payload to heartbeats."""

    def compose(self, peer: str, now_s: float) -> bytes | None:
        """Return the payload for a peer, or ``None`` for none."""
        ...

    def on_heartbeat(
        self, received: Received, heartbeat: Heartbeat, payload: bytes, now_s: float
    ) -> None:
        """Learn from the payload of a peer; older heartbeats are left out."""
        ...


@attrs.define(eq=False)
class _Contact:
    """When to write to one peer."""

    beat_s: float
    redial_s: float
    redial_gap_s: float = REDIAL_S
    told_unsupported_s: float = float("-inf")
    counted_from_s: float = float("-inf")
    received: int = 0

    def admit(self, now_s: float) -> bool:
        """Count a message that came in; return whether it is within the rate."""
        if now_s - self.counted_from_s >= 1.0:
            self.counted_from_s, self.received = now_s, 0
        self.received += 1
        return self.received <= MAX_MESSAGES_PER_S


@attrs.define(eq=False)
class PeerNode:
    """Talks to the peers; call ``tick`` ten times a second and ``receive`` for all."""

    table: MembershipTable
    """The view of the peers."""
    store: ConfigurationStore
    """Holds the VM list and the configuration."""
    clock: Clock
    """Tells elapsed time."""
    random: Random
    """Source of jitter."""
    link: PeerLink | None = None
    """Carries messages; set with ``attach``."""
    leaving: bool = False
    """Whether this VM is stopping; peers are told."""
    dropped: int = 0
    """Messages that were dropped as malformed, replayed or unknown."""
    exchange: Exchange = attrs.field(init=False)
    """Questions and answers."""
    _extensions: dict[str, HeartbeatExtension] = attrs.field(factory=dict, init=False)
    _contacts: dict[str, _Contact] = attrs.field(factory=dict, init=False)
    _numbers: Iterator[int] = attrs.field(factory=count, init=False)
    _observers: list[Callable[[MembershipEvent], None]] = attrs.field(
        factory=list, init=False
    )

    def __attrs_post_init__(self) -> None:
        self.exchange = Exchange(self.send)
        self.store.subscribe_vm_list(self._adopt_vm_list)
        self.store.subscribe(self._hurry)

    def attach(self, link: PeerLink) -> None:
        """Use ``link`` to talk to the peers."""
        self.link = link
        for peer in self.table.neighbours:
            self._connect(peer)

    def handle(self, topic: str, handler: RequestHandler) -> None:
        """Let ``handler`` take the questions and notices of a topic."""
        self.exchange.handle(topic, handler)

    def extend(self, name: str, extension: HeartbeatExtension) -> None:
        """Let a subsystem add a payload to each heartbeat."""
        self._extensions[name] = extension

    def subscribe(self, observer: Callable[[MembershipEvent], None]) -> None:
        """Call ``observer`` with each membership event."""
        self._observers.append(observer)

    def send(self, peer: str, body: Body) -> bool:
        """Send one message; return ``False`` if it was dropped at once."""
        contact = self._contacts.get(peer)
        if contact is None or self.link is None:
            return False
        self._connect(peer)
        seq = next(self._numbers)
        data = encode_message(self.table.own, self.table.incarnation, seq, body)
        if isinstance(data, Failure):
            logger.error("peers: a message for {} was dropped: {}", peer, data)
            return False
        return self.link.send(peer, data)

    def tell(self, peer: str, topic: str, payload: bytes) -> bool:
        """Send a notice, which is not answered."""
        return self.send(peer, Notice(topic, payload))

    def request(
        self,
        peer: str,
        topic: str,
        payload: bytes,
        timeout_s: float,
        on_answer: AnswerObserver,
    ) -> int:
        """Ask a peer; ``on_answer`` is called once, at the latest by a later tick."""
        deadline_s = self.clock.now_s() + timeout_s
        return self.exchange.request(peer, topic, payload, deadline_s, on_answer)

    async def ask(
        self, peer: str, topic: str, payload: bytes, timeout_s: float
    ) -> bytes | Failure:
        """Ask a peer and wait for its answer."""
        answers: list[bytes | Failure] = []
        answered = anyio.Event()

        def take(answer: bytes | Failure) -> None:
            answers.append(answer)
            answered.set()

        number = self.request(peer, topic, payload, timeout_s, take)
        try:
            with anyio.move_on_after(timeout_s):
                await answered.wait()
        finally:
            self.exchange.cancel(number)
        return answers[0] if answers else Failure(PEER_TIMEOUT, f"{topic} to {peer}")

    def receive(self, data: bytes) -> None:
        """Take the bytes of one message; never raises for what they hold."""
        now_s = self.clock.now_s()
        # A pause must be known before anything that came during it is acted on.
        self._report(self.table.check_pause(now_s))
        message = decode_message(data)
        if isinstance(message, Received):
            self._accept(message, now_s)
            return
        self.dropped += 1
        if isinstance(message, Unreadable):
            self._tell_unsupported(message, now_s)

    def tick(self) -> None:
        """Send what is due and let time pass for the peers."""
        now_s = self.clock.now_s()
        self._report(self.table.on_tick(now_s))
        self.exchange.expire(now_s)
        for peer in self.table.neighbours:
            contact = self._contacts[peer]
            if contact.beat_s <= now_s:
                self._beat(peer, contact, now_s)
            self._redial_deaf(peer, contact, now_s)

    def _accept(self, message: Received, now_s: float) -> None:
        peer = message.sender
        contact = self._contacts.get(peer)
        if contact is None or not contact.admit(now_s):
            self.dropped += 1
            return
        events = self.table.accept(peer, message.incarnation, message.seq, now_s)
        if events is None:
            self.dropped += 1
            return
        self._report(events)
        match message.body:
            case Heartbeat() as heartbeat:
                self._on_heartbeat(message, heartbeat, now_s)
            case Question() as question:
                self.exchange.on_question(peer, question)
            case Answer() as answer:
                self.exchange.on_answer(peer, answer)
            case Notice() as notice:
                self.exchange.on_notice(peer, notice)
            case Unsupported() as unsupported:
                logger.warning(
                    "peers: {} reads versions up to {} and dropped a message",
                    peer,
                    unsupported.protocol,
                )

    def _on_heartbeat(
        self, message: Received, heartbeat: Heartbeat, now_s: float
    ) -> None:
        events = self.table.on_heartbeat(message.sender, heartbeat, now_s)
        if events is None:
            return
        self._report(events)
        for name, payload in heartbeat.extensions.items():
            if extension := self._extensions.get(name):
                extension.on_heartbeat(message, heartbeat, payload, now_s)

    def _beat(self, peer: str, contact: _Contact, now_s: float) -> None:
        contact.beat_s = now_s + HEARTBEAT_S * self.random.uniform(0.9, 1.0)
        payloads = (
            (name, extension.compose(peer, now_s))
            for name, extension in self._extensions.items()
        )
        extensions = {name: data for name, data in payloads if data is not None}
        heartbeat = self.table.compose(
            peer, now_s, self.store.version, self.leaving, extensions
        )
        self.send(peer, heartbeat)

    def _redial_deaf(self, peer: str, contact: _Contact, now_s: float) -> None:
        row = self.table.rows.get(peer)
        if row is None or self.link is None:
            return
        if row.hears_us(now_s, SUSPECT_S):
            contact.redial_gap_s = REDIAL_S
            contact.redial_s = now_s + REDIAL_S
        elif contact.redial_s <= now_s:
            contact.redial_s = now_s + contact.redial_gap_s
            contact.redial_gap_s = min(REDIAL_LIMIT_S, 2 * contact.redial_gap_s)
            logger.info("peers: {} doesn't hear this VM; redialling", peer)
            self.link.redial(peer)

    def _tell_unsupported(self, message: Unreadable, now_s: float) -> None:
        contact = self._contacts.get(message.sender)
        if contact and now_s - contact.told_unsupported_s >= 1.0:
            contact.told_unsupported_s = now_s
            logger.warning("peers: a message was dropped: {}", message.failure)
            self.send(message.sender, Unsupported(PROTOCOL))

    def _adopt_vm_list(self, vm_list: VmList) -> None:
        self.table.adopt_vm_list(vm_list)
        now_s = self.clock.now_s()
        for peer in self._contacts.keys() - self.table.rows.keys():
            del self._contacts[peer]
            if self.link:
                self.link.disconnect(peer)
        for peer in self.table.rows.keys() - self._contacts.keys():
            beat_s = now_s + self.random.uniform(0, 0.1)
            self._contacts[peer] = _Contact(beat_s, now_s + REDIAL_S)
        for peer in self.table.neighbours:
            self._connect(peer)

    def _connect(self, peer: str) -> None:
        # Other peers than the neighbours are connected when first written to.
        row = self.table.rows.get(peer)
        if row and self.link:
            self.link.connect(peer, row.vm.host, row.vm.peer_port)

    def _hurry(self, snapshot: Snapshot) -> None:
        # Peers learn of a new version at once, not at their next heartbeat.
        for contact in self._contacts.values():
            contact.beat_s = min(contact.beat_s, self.clock.now_s())

    def _report(self, events: tuple[MembershipEvent, ...]) -> None:
        for event in events:
            logger.info("peers: {}", event)
            for observer in self._observers:
                observer(event)
