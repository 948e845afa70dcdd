from __future__ import annotations

from gentianfold.requests.headers import (
    ForwardingPolicy,
    answer_headers,
    request_headers,
)
from gentianfold.requests.retry_budget import RetryBudget

CALLER = [
    (b"host", b"gateway"),
    (b"connection", b"close, X-Hop , host"),
    (b"x-hop", b"1"),
    (b"te", b"trailers"),
    (b"trailer", b"x"),
    (b"expect", b"100-continue"),
    (b"transfer-encoding", b"chunked"),
    (b"proxy-authorization", b"p"),
    (b"x-forwarded-for", b"10.9.9.9"),
    (b"x-deadline-ms", b"999999"),
    (b"x-request-id", b"theirs"),
    (b"via", b"1.1 balancer"),
    (b"accept", b"a"),
    (b"accept", b"b"),
]


def test_request_keeps_end_to_end_fields_and_states_its_own():
    length = [(b"content-length", b"3")]
    sent = request_headers(CALLER, length, "10.0.0.1", b"r1", ForwardingPolicy())
    assert sent == [
        (b"host", b"gateway"),
        (b"accept", b"a"),
        (b"accept", b"b"),
        (b"content-length", b"3"),
        (b"via", b"1.1 balancer, 1.1 gentianfold"),
        (b"x-forwarded-for", b"10.0.0.1"),
        (b"x-forwarded-proto", b"http"),
        (b"x-request-id", b"r1"),
    ]


def test_forwarded_for_is_extended_only_for_trusted_balancers():
    policy = ForwardingPolicy(trusted_hosts=frozenset({"10.0.0.1"}))
    sent = dict(request_headers(CALLER, [], "10.0.0.1", b"r1", policy))
    assert sent[b"x-forwarded-for"] == b"10.9.9.9, 10.0.0.1"


def test_answer_drops_hop_by_hop_fields():
    received = [
        (b"Connection", b"x-hop"),
        (b"X-Hop", b"1"),
        (b"Transfer-Encoding", b"chunked"),
        (b"Set-Cookie", b"a"),
        (b"Set-Cookie", b"b"),
    ]
    assert answer_headers(received, b"r1") == [
        (b"set-cookie", b"a"),
        (b"set-cookie", b"b"),
        (b"via", b"1.1 gentianfold"),
        (b"x-request-id", b"r1"),
    ]


def test_retry_budget_is_a_ratio_of_recent_requests():
    budget = RetryBudget(ratio=0.1, reserve=0.0, capacity=5.0)
    assert not budget.take_retry()
    for _ in range(1000):
        budget.count_request()
    assert sum(budget.take_retry() for _ in range(100)) == 5
