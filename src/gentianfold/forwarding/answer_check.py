"""Decides what an upstream's complete response means for the request and its caller.

The load that it answers: upstreams that fail in part and state more than they know. To a
caller, some statuses promise that its request has not run and never will; it then sends
again what may run only once. Such a status is passed on in no other case.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from gentianfold.placement.outcome import Outcome

if TYPE_CHECKING:
    from gentianfold.forwarding.header_names import HeaderNames
    from gentianfold.forwarding.messages import Response

PROMISES_NOT_RUN = frozenset({408, 421, 429, 503})
"""Statuses that promise a caller that its request has not run and never will."""


@attrs.frozen
class AnswerCheck:
    """What a response means."""

    outcome: Outcome
    """How the attempt ended."""
    is_passed_on: bool = False
    """Whether the caller may get the response."""
    detail: str = ""
    """Cause of a failure, for the log; empty if there is none."""


def check_answer(response: Response, names: HeaderNames) -> AnswerCheck:
    """Return what a response means; only its status and headers are read.

    Args:
        response: A response with the identifier of the request.
        names: Header names of the deployment.
    """
    status = response.status
    has_seal = response.header(names.seal) is not None
    is_not_run = response.header(names.not_run) is not None
    if status == 421 and (is_not_run or not has_seal):
        return AnswerCheck(Outcome.MISDIRECTED, detail="another upstream")
    if is_not_run:
        return AnswerCheck(Outcome.SHED, detail=f"status {status}")
    if status in PROMISES_NOT_RUN:
        return AnswerCheck(Outcome.FAILED, detail=f"status {status}, may have run")
    if 200 <= status < 300 and (
        not has_seal or response.header(b"content-encoding") is not None
    ):
        return AnswerCheck(Outcome.FAILED, detail="not the upstream's answer")
    if status == 504:
        # The upstream exceeded the time limit sent with the request.
        return AnswerCheck(Outcome.TIMED_OUT, True, "status 504")
    if status >= 500:
        return AnswerCheck(Outcome.FAILED, True, f"status {status}")
    return AnswerCheck(Outcome.SUCCEEDED, True)
