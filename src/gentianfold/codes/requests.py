"""Result codes of failed requests, returned to callers."""

from __future__ import annotations

from gentianfold.errors import Retry, RunState, define_code

NO_ROUTE = define_code(
    7001,
    "no-route",
    "No route matches the request.",
    "Check method, path and headers with `gentianfold explain`.",
    404,
    RunState.NOT_RUN,
)
KEY_MISSING = define_code(
    7002,
    "key-missing",
    "The route needs a key and the request carries none.",
    "Send the key as `Authorization: Bearer KEY`.",
    401,
    RunState.NOT_RUN,
)
KEY_UNKNOWN = define_code(
    7003,
    "key-unknown",
    "The key is not known, or it was withdrawn.",
    "Ask the operators for a key.",
    401,
    RunState.NOT_RUN,
)
UPSTREAM_CONNECT_FAILED = define_code(
    7004,
    "upstream-connect-failed",
    "No connection to an upstream could be made.",
    "Retry; operators look at `gentianfold status`.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
OUTCOME_UNKNOWN = define_code(
    7005,
    "outcome-unknown",
    "The request was sent to an upstream and no whole answer came back.",
    "Look up whether it took effect before sending it again.",
    502,
    RunState.UNKNOWN,
    Retry.IF_IDEMPOTENT,
)
BODY_TOO_LARGE = define_code(
    7007,
    "body-too-large",
    "The request body is larger than the route allows.",
    "Send a smaller body.",
    413,
    RunState.NOT_RUN,
)
NOT_READY = define_code(
    7008,
    "not-ready",
    "This VM holds no configuration yet, or it is stopping.",
    "Retry; the balancer picks another VM.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
UPSTREAM_SHED = define_code(
    7010,
    "upstream-shed",
    "The upstreams that were asked said that they did not run the request.",
    "Retry later.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
REQUEST_MALFORMED = define_code(
    7012,
    "request-malformed",
    "The head of the request is not valid HTTP.",
    "Correct the method, target or header that the reason names.",
    400,
    RunState.NOT_RUN,
)
ANSWER_TIMEOUT = define_code(
    7018,
    "answer-timeout",
    "The request was sent to an upstream and no whole answer came in time.",
    "Look up whether it took effect before sending it again.",
    504,
    RunState.UNKNOWN,
    Retry.IF_IDEMPOTENT,
)
HEADERS_TOO_LARGE = define_code(
    7030,
    "headers-too-large",
    "The request line and headers are larger than the published limit.",
    "Send fewer or shorter headers.",
    431,
    RunState.NOT_RUN,
)
REQUEST_TIMEOUT = define_code(
    7031,
    "request-timeout",
    "The request was not sent completely in the time for it.",
    "Send the whole request without pauses.",
    408,
    RunState.NOT_RUN,
    Retry.LATER,
)
RETRY_BUDGET_SPENT = define_code(
    7032,
    "retry-budget-spent",
    "The service's budget of further attempts is used up.",
    "Retry later; operators look for failing upstreams.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
STOPPING = define_code(
    7033,
    "stopping",
    "The VM is about to end and takes no more requests.",
    "Send the request again: another VM takes it.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
CRASHED_UPSTREAMS = define_code(
    7034,
    "crashed-upstreams",
    "Upstreams crashed under this request; it is tried again later.",
    "Retry after the stated time; operators look for the fingerprint in the log.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
CRASHES_UPSTREAMS = define_code(
    7035,
    "crashes-upstreams",
    "Upstreams crash whenever they run this request; it is not sent to them.",
    "Do not send it again; operators look for the fingerprint in the log.",
    400,
    RunState.NOT_RUN,
)
MEMORY_FULL = define_code(
    7036,
    "memory-full",
    "This VM has no memory left for the request.",
    "Send the request again; operators look for `resources:` lines in the log.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
ANSWER_BROKEN_OFF = define_code(
    7037,
    "answer-broken-off",
    "An upstream broke off a long answer of which the caller had received a part.",
    "Send the request again if it may be repeated; the connection was closed.",
    502,
    RunState.UNKNOWN,
    Retry.IF_IDEMPOTENT,
)
