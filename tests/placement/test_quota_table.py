"""Tests that a customer gets at most its rate and burst in any window."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gentianfold.model import Customer, RateLimit
from gentianfold.placement.quota_table import QuotaTable

WINDOW_S = 5.0


def make_table(rate=10.0, burst=10.0):
    """Return a table that has held the whole limits since time 0."""
    table = QuotaTable(WINDOW_S)
    table.set_share(1.0, 1.0, 0.0)
    table.replace_customers({"a": Customer("a", limit=RateLimit(rate, burst))})
    return table


def max_in_window(times):
    return max(
        sum(start <= at < start + WINDOW_S for at in times) for start in times or [0.0]
    )


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(st.floats(0, 0.5), max_size=300), st.floats(1, 30), st.floats(1, 60))
def test_no_window_exceeds_rate_and_burst(gaps, rate, burst):
    table, now_s, times = make_table(rate, burst), 100.0, []
    for gap_s in gaps:
        now_s += gap_s
        if table.try_acquire("a", now_s):
            times.append(now_s)
    assert max_in_window(times) <= rate * WINDOW_S + burst


def test_customer_within_its_rate_is_never_refused():
    table = make_table()
    assert all(table.try_acquire("a", 100 + number / 10) for number in range(500))


def test_usage_stays_within_tolerance_when_brokers_restart_under_overload():
    # A new broker has no usage history. When all VMs restarted while one customer sent
    # many times its rate, 563 requests ran in a window that allows 530.
    rate, burst, times = 68.0, 68.0, []
    for start_s in (0.0, 4.0, 8.6):
        table = make_table(rate, burst)
        for step in range(4000):
            now_s = start_s + step / 1000
            if table.try_acquire("a", now_s):
                times.append(now_s)
    allowed = (rate * WINDOW_S + burst) * 1.25 + 20
    assert max_in_window(times) <= allowed


def test_vms_without_broker_grant_only_their_shares():
    times = []
    tables = [make_table(2.0, 2.0) for _ in range(32)]
    for table in tables:
        table.set_share(1 / 32, 1 / 32, 0.0)
    for step in range(5000):
        for table in tables:
            if table.try_acquire("a", step / 1000):
                times.append(step / 1000)
    assert max_in_window(times) <= (2 * WINDOW_S + 2) * 1.25 + 20


def test_refund_undoes_the_count_of_a_refused_request():
    table = make_table(rate=0.1, burst=4)
    for number in range(50):
        now_s = 100.0 + number / 100
        assert table.try_acquire("a", now_s)
        table.refund("a", now_s)


def test_a_late_refund_does_not_shorten_the_window():
    # A refund took back the newest request, whichever was refused.
    table, times, waiting = make_table(rate=10.0, burst=10.0), [], []
    for step in range(2000):
        now_s = 100.0 + step / 100
        if table.try_acquire("a", now_s):
            (waiting if step % 2 else times).append(now_s)
        if waiting and now_s - waiting[0] > 3.0:
            table.refund("a", waiting.pop(0))
    assert max_in_window(times) <= 10.0 * WINDOW_S + 10.0


def test_a_share_from_another_vm_brings_no_tokens():
    table = make_table(rate=10.0, burst=40.0)
    table.reset_usage(100.0)
    table.set_share(1.0, 0.0, 100.0)
    assert not table.try_acquire("a", 100.0)
    count = sum(table.try_acquire("a", 100 + step / 1000) for step in range(1, 4001))
    assert 35 <= count <= 40


def test_a_table_that_starts_late_on_the_clock_has_no_tokens():
    # It counted its share from time 0 of the clock: the start of the machine.
    table = QuotaTable(WINDOW_S)
    table.replace_customers({"a": Customer("a", limit=RateLimit(2.0, 400.0))})
    table.set_share(0.125, 0.0, 5000.0)
    assert sum(table.try_acquire("a", 5000.5) for _ in range(100)) == 0
    assert sum(table.try_acquire("a", 5008.0) for _ in range(100)) == 2


def test_a_share_that_was_lent_meanwhile_brings_no_tokens():
    # A customer that the table had not seen got the tokens of the first time.
    table = make_table(rate=2.0, burst=400.0)
    table.set_share(0.0, 0.0, 100.0)
    table.set_share(0.125, 0.0, 200.0)
    assert not table.try_acquire("a", 200.1)
    assert sum(table.try_acquire("a", 204.0) for _ in range(100)) == 1


SHARES = st.sampled_from([0.0, 0.125, 0.25, 0.5, 1.0])


@settings(derandomize=True, max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.floats(0, 4), SHARES, st.booleans()), min_size=1, max_size=30)
)
def test_a_customer_not_seen_before_has_the_tokens_of_one_that_was(changes):
    seen, unseen, now_s = make_table(5.0, 40.0), make_table(5.0, 40.0), 10.0
    for elapsed_s, share, is_mature in changes:
        now_s += elapsed_s
        for table in (seen, unseen):
            table.set_share(share, share if is_mature else 0.0, now_s)
        seen.can_take("a", now_s)
    counts = [
        sum(table.try_acquire("a", now_s + 0.7) for _ in range(50))
        for table in (seen, unseen)
    ]
    assert counts[0] == counts[1]


@pytest.mark.parametrize("dropped_s", [0.0, 0.875, 3.0, 4.875])
@pytest.mark.parametrize("share", [1.0, 0.25])
def test_a_customer_that_is_dropped_and_restored_keeps_its_usage(dropped_s, share):
    # One version dropped it, the next restored it: 821 requests, 410 allowed.
    table, times = make_table(rate=2.0, burst=400.0), []
    table.set_share(share, share, 50.0)
    customers = {"a": Customer("a", limit=RateLimit(2.0, 400.0))}
    for step in range(768):
        now_s = 100.0 + step / 128
        if now_s == 100.5:
            table.replace_customers({})
        if now_s == 100.5 + dropped_s:
            table.replace_customers(customers)
        if not 100.5 <= now_s < 100.5 + dropped_s:
            times += [now_s for _ in range(9) if table.try_acquire("a", now_s)]
            table.set_share(share, share, now_s)
    assert max_in_window(times) <= share * (2.0 * WINDOW_S + 400.0)


def test_requests_for_a_dropped_customer_keep_to_its_limit():
    # VMs that still knew it asked a broker that did not, and were granted all.
    table = make_table(rate=10.0, burst=10.0)
    table.replace_customers({})
    assert sum(table.try_acquire("a", 100.0) for _ in range(50)) == 10
    table.replace_customers({})
    assert sum(table.try_acquire("a", 100.0) for _ in range(50)) == 0


def test_the_usage_of_a_customer_that_stays_away_is_forgotten():
    table = make_table()
    assert table.try_acquire("a", 100.0)
    table.replace_customers({})
    table.replace_customers({})
    assert table._usage
    assert table._dropped
    table.set_share(1.0, 1.0, 106.0)
    table.replace_customers({})
    assert not table._usage
    assert not table._dropped


def test_a_share_ends_unless_it_is_set_again():
    table = make_table()
    table.set_share(1.0, 1.0, 100.0, valid_s=0.3)
    assert table.try_acquire("a", 100.2)
    assert not table.try_acquire("a", 100.4)


def test_requests_that_wait_leave_no_room_for_more():
    table = make_table(rate=1.0, burst=3.0)
    table.waiting["a"] = 2
    assert table.has_room("a", 100.0)
    table.waiting["a"] = 3
    assert not table.has_room("a", 100.0)
    assert table.can_take("a", 100.0)


def test_request_is_allowed_after_retry_delay():
    table, now_s = make_table(), 10.0
    while table.try_acquire("a", now_s):
        pass
    assert 0 < table.retry_after_s("a", now_s) < 1
    assert table.try_acquire("a", now_s + table.retry_after_s("a", now_s) + 1e-6)
    assert (
        table.try_acquire("other", now_s) and table.retry_after_s("other", now_s) == 0
    )
