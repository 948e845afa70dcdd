"""Result codes of requests, as callers see them."""

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
DEADLINE_EXCEEDED = define_code(
    7006,
    "deadline-exceeded",
    "The time for the request was over before it was sent.",
    "Retry later.",
    504,
    RunState.NOT_RUN,
    Retry.LATER,
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
CONNECTION_BUDGET_SPENT = define_code(
    7009,
    "connection-budget-spent",
    "All connections that this VM may open to the upstream are in use.",
    "Retry later; operators raise the connections or add upstreams.",
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
ANSWER_LOST = define_code(
    7011,
    "answer-lost",
    "An upstream ran the request and its answer was cut short.",
    "Look up the result before sending the request again.",
    502,
    RunState.RAN,
    Retry.IF_IDEMPOTENT,
)
REQUEST_MALFORMED = define_code(
    7012,
    "request-malformed",
    "The head of the request is not valid HTTP.",
    "Correct the method, target or header that the reason names.",
    400,
    RunState.NOT_RUN,
)
LENGTH_AMBIGUOUS = define_code(
    7013,
    "length-ambiguous",
    "The length of the request body can be read in more than one way.",
    "Send one Content-Length or one `Transfer-Encoding: chunked`, not both.",
    400,
    RunState.NOT_RUN,
)
UPGRADE_REFUSED = define_code(
    7014,
    "upgrade-refused",
    "The request asks for a tunnel or another protocol.",
    "Send plain HTTP/1.1 requests.",
    501,
    RunState.NOT_RUN,
)
HTTP_VERSION_REFUSED = define_code(
    7015,
    "http-version-refused",
    "The request is not HTTP/1.1.",
    "Send HTTP/1.1; older versions can't tell a whole answer from a cut one.",
    505,
    RunState.NOT_RUN,
)
EXPECTATION_REFUSED = define_code(
    7016,
    "expectation-refused",
    "The Expect header asks for something other than `100-continue`.",
    "Leave the header out.",
    417,
    RunState.NOT_RUN,
)
CALLER_GONE = define_code(
    7017,
    "caller-gone",
    "The caller hung up before its answer was ready.",
    "Look at the timeouts of the caller.",
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
IDEMPOTENCY_KEY_MISSING = define_code(
    7019,
    "idempotency-key-missing",
    "The route needs an Idempotency-Key header and the request carries none.",
    "Send a key that is new for each action and the same for each repeat of it.",
    400,
    RunState.NOT_RUN,
)
IDEMPOTENCY_KEY_REUSED = define_code(
    7020,
    "idempotency-key-reused",
    "The idempotency key was used with another request body.",
    "Send a new key for a new action.",
    422,
    RunState.NOT_RUN,
)
KEYED_IN_PROGRESS = define_code(
    7021,
    "keyed-in-progress",
    "A request with this idempotency key is being run.",
    "Repeat it later with the same key to get its answer.",
    409,
    RunState.UNKNOWN,
    Retry.LATER,
)
KEYED_OUTCOME_UNKNOWN = define_code(
    7022,
    "keyed-outcome-unknown",
    "A request with this idempotency key was sent, and its answer is not known.",
    "Look up whether it took effect; the key is not run again.",
    409,
    RunState.UNKNOWN,
)
KEY_HOME_IN_DOUBT = define_code(
    7023,
    "key-home-in-doubt",
    "The VM that admits this idempotency key can't be reached or told.",
    "Repeat it later with the same key.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
COPIES_MISSING = define_code(
    7024,
    "copies-missing",
    "Too few VMs took a copy of the record of this idempotency key in time.",
    "Repeat it later with the same key.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
LEDGER_FULL = define_code(
    7025,
    "ledger-full",
    "This VM holds as many idempotency keys as it may.",
    "Repeat it later with the same key; operators add VMs.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
RECORDS_LOST = define_code(
    7026,
    "records-lost",
    "Records of earlier idempotency keys may be lost; none is run until they expire.",
    "Repeat it later with the same key.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
QUEUE_FULL = define_code(
    7027,
    "queue-full",
    "Too many requests wait for the service, and this customer has the most of them.",
    "Retry after the time in `Retry-After`, or send fewer requests at once.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
QUEUE_DEADLINE = define_code(
    7028,
    "queue-deadline",
    "The request would wait longer for the service than its deadline allows.",
    "Retry after the time in `Retry-After`.",
    503,
    RunState.NOT_RUN,
    Retry.LATER,
)
WITHDRAWN_WHILE_WAITING = define_code(
    7029,
    "withdrawn-while-waiting",
    "The key was withdrawn while the request waited for the service.",
    "Ask the operators for a key.",
    401,
    RunState.NOT_RUN,
)
