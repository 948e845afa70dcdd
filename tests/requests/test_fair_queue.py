from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianfold.requests.fair_queue import FairQueue, Waiting


def waiting(number: int, customer: str, deadline_s: float = 1e9, **fields) -> Waiting:
    return Waiting(str(number), customer, deadline_s, **fields)


def drain(queue: FairQueue, count: int) -> list[str]:
    return [queue.pop(0.0)[0].customer for _ in range(count)]


def test_backlogged_customers_are_served_by_weight():
    queue = FairQueue(100)
    for number in range(30):
        queue.push(waiting(number, "large"), 0.0)
        queue.push(waiting(number, "heavy", weight=2.0), 0.0)
    served = drain(queue, 30)
    assert served.count("heavy") == 20


def test_newcomer_does_not_wait_behind_a_backlog():
    queue = FairQueue(100)
    for number in range(50):
        queue.push(waiting(number, "large"), 0.0)
    drain(queue, 10)
    queue.push(waiting(0, "small"), 0.0)
    assert "small" in drain(queue, 2)


def test_idle_customer_saves_up_no_share():
    queue = FairQueue(100)
    queue.push(waiting(0, "small"), 0.0)
    for number in range(40):
        queue.push(waiting(number, "large"), 0.0)
    drain(queue, 20)
    for number in range(10):
        queue.push(waiting(number, "small"), 0.0)
    assert 4 <= drain(queue, 10).count("small") <= 6


def test_customer_with_one_request_at_a_time_gets_no_more_than_its_share():
    queue = FairQueue(100)
    for number in range(50):
        queue.push(waiting(number, "large"), 0.0)
    served = []
    for number in range(30):
        if "closed" not in queue._lines:
            queue.push(waiting(number, "closed"), 0.0)
        served += drain(queue, 1)
    assert 14 <= served.count("closed") <= 16


def test_full_queue_drops_the_newest_of_the_worst_offender():
    queue = FairQueue(4)
    for number in range(4):
        assert queue.push(waiting(number, "large"), 0.0) == []
    (refused,) = queue.push(waiting(9, "small"), 0.0)
    assert (refused.waiting.customer, refused.waiting.request_id) == ("large", "3")
    assert refused.failure.code.name == "queue-full"
    assert refused.failure.retry_after_s >= 1.0


def test_early_refusal_names_a_wait_that_holds():
    queue = FairQueue(1000)
    for number in range(100):
        queue.push(waiting(number, "large"), 0.0)
    now_s = 0.0
    for _ in range(50):
        now_s += 0.1
        assert queue.pop(now_s)[0] is not None
    (refused,) = queue.push(waiting(200, "large", now_s + 1.0), now_s)
    assert refused.failure.code.name == "queue-deadline"
    assert 4.9 <= refused.failure.retry_after_s <= 5.1
    assert queue.push(waiting(201, "small", now_s + 1.0), now_s) == []
    assert queue.pop(now_s + 0.1)[0].customer in ("small", "large")


def test_late_requests_are_refused_and_not_served():
    queue = FairQueue(10)
    queue.push(waiting(1, "a", deadline_s=1.0), 0.0)
    queue.push(waiting(2, "b", deadline_s=5.0, work_s=1.0), 0.0)
    served, refused = queue.pop(2.0)
    assert served.request_id == "2"
    assert [one.waiting.request_id for one in refused] == ["1"]
    queue.push(waiting(3, "a", deadline_s=3.0), 2.0)
    assert [one.waiting.request_id for one in queue.expire(4.0)] == ["3"]
    assert len(queue) == 0


def test_withdrawn_keys_and_customers_leave_the_queue():
    queue = FairQueue(10)
    for number, (customer, key) in enumerate([("a", "k1"), ("a", "k2"), ("b", "k3")]):
        queue.push(waiting(number, customer, key=key), 0.0)
    assert [one.waiting.key for one in queue.remove_key("k1")] == ["k1"]
    (refused,) = queue.remove_customer("a")
    assert refused.failure.code.status == 401
    assert drain(queue, 1) == ["b"]


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from("abc"), st.floats(0.1, 5.0), st.booleans()),
        max_size=80,
    )
)
def test_every_request_is_served_or_refused_once(steps):
    queue = FairQueue(10)
    left: list[str] = []
    pushed = 0
    for now_s, (customer, patience_s, serve) in enumerate(steps):
        pushed += 1
        item = waiting(pushed, customer, now_s + patience_s)
        left += [one.waiting.request_id for one in queue.push(item, now_s)]
        if serve:
            served, refused = queue.pop(now_s)
            left += [one.waiting.request_id for one in refused]
            left += [served.request_id] if served else []
        assert len(queue) <= 10
    left += [one.waiting.request_id for one in queue.expire(1e9)]
    assert sorted(left, key=int) == [str(number) for number in range(1, pushed + 1)]
