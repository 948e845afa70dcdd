"""One attempt at one upstream, and what may follow from it."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.codes.requests import (
    ANSWER_LOST,
    ANSWER_TIMEOUT,
    CONNECTION_BUDGET_SPENT,
    DEADLINE_EXCEEDED,
    OUTCOME_UNKNOWN,
    UPSTREAM_CONNECT_FAILED,
    UPSTREAM_SHED,
)
from gentianfold.errors import Failure, RunState
from gentianfold.routing.outcome import OutcomeKind

if TYPE_CHECKING:
    from gentianfold.errors import Code
    from gentianfold.model import Route
    from gentianfold.requests.proxy_request import Answer

SEVERITY = {RunState.NOT_RUN: 0, RunState.UNKNOWN: 1, RunState.RAN: 2}
"""Order in which the evidence of several attempts adds up."""


@attrs.frozen
class Attempt:
    """What came of one attempt."""

    kind: OutcomeKind
    """Evidence on the upstream."""
    run_state: RunState
    """Evidence on the request."""
    answer: Answer | None = None
    """The whole answer, if there is one and it isn't delivered yet."""
    failure: Failure | None = None
    """Why there is no answer."""
    status: int | None = None
    """HTTP status that came back, whole answer or not."""
    delivery_started: bool = False
    """Whether the caller saw a part of the answer already."""


def failed_attempt(
    kind: OutcomeKind, written: bool, status: int | None, reason: str
) -> Attempt:
    """Return an attempt without an answer.

    Args:
        kind: Evidence on the upstream.
        written: Whether a byte of the request may have left.
        status: The status that came back before the failure, if any.
        reason: What happened, in one sentence.
    """
    if not written:
        code = (
            DEADLINE_EXCEEDED
            if kind is OutcomeKind.TIMEOUT
            else UPSTREAM_CONNECT_FAILED
        )
        return Attempt(kind, RunState.NOT_RUN, failure=Failure(code, reason))
    code = _code_after_write(kind, status)
    assert code.run_state is not None
    return Attempt(kind, code.run_state, failure=Failure(code, reason), status=status)


def _code_after_write(kind: OutcomeKind, status: int | None) -> Code:
    # Only success proves a run: other statuses may come from before the work.
    if status is not None and 200 <= status < 300:
        return ANSWER_LOST
    return ANSWER_TIMEOUT if kind is OutcomeKind.TIMEOUT else OUTCOME_UNKNOWN


def shed_attempt(upstream: str) -> Attempt:
    """Return an attempt that the upstream refused before it ran."""
    failure = Failure(UPSTREAM_SHED, f"{upstream} did not run the request")
    return Attempt(OutcomeKind.SHED, RunState.NOT_RUN, failure=failure, status=503)


def may_repeat(attempt: Attempt, route: Route) -> bool:
    """Return whether running the request again is safe and may help."""
    if attempt.kind in (OutcomeKind.OK, OutcomeKind.CANCELLED):
        return False
    if attempt.delivery_started:
        return False
    return attempt.run_state is RunState.NOT_RUN or route.idempotent


def evidence_of(attempt: Attempt) -> OutcomeKind:
    """Return what an attempt says of the upstream.

    A VM that has no connection left says nothing of it.
    """
    if attempt.failure is not None and attempt.failure.code is CONNECTION_BUDGET_SPENT:
        return OutcomeKind.CANCELLED
    return attempt.kind


def costs_budget(attempt: Attempt) -> bool:
    """Return whether a retry after ``attempt`` adds load to the upstreams.

    A connection that was never made put no load on anybody.
    """
    return attempt.kind is not OutcomeKind.CONNECT_FAILED


def worst(first: RunState, second: RunState) -> RunState:
    """Return what is known of a request after two attempts."""
    return max(first, second, key=SEVERITY.__getitem__)


def final_failure(failure: Failure, run_state: RunState) -> Failure:
    """Return ``failure``, or one that admits that an earlier attempt may have run."""
    claimed = failure.code.run_state
    if claimed is not RunState.NOT_RUN or run_state is RunState.NOT_RUN:
        return failure
    code = ANSWER_LOST if run_state is RunState.RAN else OUTCOME_UNKNOWN
    return Failure(code, f"an earlier attempt was sent; then: {failure.reason}")
