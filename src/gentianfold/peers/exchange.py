"""Questions to peers and their answers."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from itertools import count
from typing import TYPE_CHECKING, TypeAlias

import attrs
from loguru import logger

from gentianfold.codes.peers import (
    MESSAGE_MALFORMED,
    PEER_TIMEOUT,
    PEER_UNREACHABLE,
    TOPIC_UNKNOWN,
)
from gentianfold.errors import CODES, Failure
from gentianfold.peers.messages import Answer, Body, Notice, Question

if TYPE_CHECKING:
    from collections.abc import Iterator

AnswerObserver: TypeAlias = Callable[[bytes | Failure], None]
"""Takes the answer to a question, once."""

MAX_PENDING = 4096
"""Most questions that wait for an answer."""


@attrs.frozen(eq=False)
class PeerRequest:
    """A question or a notice of a peer, for the handler of its topic."""

    peer: str
    """Name of the sender."""
    payload: bytes
    """Content, as the topic defines it."""
    reply: AnswerObserver
    """Answers it, now or later; does nothing for a notice."""


RequestHandler: TypeAlias = Callable[[PeerRequest], None]
"""Handles the questions and notices of one topic."""


@attrs.frozen
class _Pending:
    peer: str
    topic: str
    deadline_s: float
    on_answer: AnswerObserver


@attrs.define(eq=False)
class Exchange:
    """Pairs answers with questions and finds the handlers; pure."""

    send: Callable[[str, Body], bool]
    """Sends a message to a peer."""
    _handlers: dict[str, RequestHandler] = attrs.field(factory=dict, init=False)
    _pending: dict[int, _Pending] = attrs.field(factory=dict, init=False)
    # A restarted process must not take an answer to its predecessor for its own.
    _numbers: Iterator[int] = attrs.field(
        factory=lambda: count(secrets.randbits(62)), init=False
    )

    def handle(self, topic: str, handler: RequestHandler) -> None:
        """Let ``handler`` take the questions and notices of a topic."""
        self._handlers[topic] = handler

    def request(
        self,
        peer: str,
        topic: str,
        payload: bytes,
        deadline_s: float,
        on_answer: AnswerObserver,
    ) -> int:
        """Ask a peer and return the number of the question."""
        number = next(self._numbers)
        if len(self._pending) >= MAX_PENDING:
            on_answer(Failure(PEER_UNREACHABLE, "too many questions are waiting"))
            return number
        self._pending[number] = _Pending(peer, topic, deadline_s, on_answer)
        if not self.send(peer, Question(number, topic, payload)):
            self._finish(number, Failure(PEER_UNREACHABLE, f"{topic} to {peer}"))
        return number

    def cancel(self, number: int) -> None:
        """Forget a question; a late answer is dropped."""
        self._pending.pop(number, None)

    def expire(self, now_s: float) -> None:
        """Fail the questions whose time is over."""
        over = [n for n, item in self._pending.items() if item.deadline_s <= now_s]
        for number in over:
            if item := self._pending.get(number):
                reason = f"{item.topic} to {item.peer}"
                self._finish(number, Failure(PEER_TIMEOUT, reason))

    def on_question(self, peer: str, question: Question) -> None:
        """Let the handler of its topic answer a question."""

        def reply(result: bytes | Failure) -> None:
            self.send(peer, _answer(question.number, result))

        handler = self._handlers.get(question.topic)
        if handler is None:
            reply(Failure(TOPIC_UNKNOWN, question.topic))
            return
        handler(PeerRequest(peer, question.payload, reply))

    def on_notice(self, peer: str, notice: Notice) -> None:
        """Let the handler of its topic take a notice."""
        if handler := self._handlers.get(notice.topic):
            handler(PeerRequest(peer, notice.payload, _ignore))

    def on_answer(self, peer: str, answer: Answer) -> None:
        """Hand an answer to who asked; one from another peer is dropped."""
        item = self._pending.get(answer.number)
        if item is None or item.peer != peer:
            logger.debug("peers: {} answered a question that is over", peer)
            return
        self._finish(answer.number, _result(answer))

    def _finish(self, number: int, result: bytes | Failure) -> None:
        if item := self._pending.pop(number, None):
            item.on_answer(result)


def _answer(number: int, result: bytes | Failure) -> Answer:
    if isinstance(result, Failure):
        return Answer(number, result.code.number, result.reason.encode())
    return Answer(number, 0, result)


def _result(answer: Answer) -> bytes | Failure:
    if answer.code == 0:
        return answer.payload
    code = CODES.get(answer.code, MESSAGE_MALFORMED)
    return Failure(code, answer.payload.decode(errors="replace"))


def _ignore(result: bytes | Failure) -> None:
    pass
