"""Tokens lent ahead and direct requests together keep to the exact limit."""

from __future__ import annotations

import random

import pytest
from placement.test_quota_table import WINDOW_S, make_table, max_in_window


@pytest.mark.parametrize("seed", range(40))
def test_lots_and_direct_requests_keep_to_rate_and_burst(seed):
    # Reports are late, lost, doubled or overtaken; the holder uses lots to their end.
    choose = random.Random(seed)
    rate, burst = choose.choice([(4.0, 32.0), (32.0, 8.0), (16.0, 64.0), (0.5, 1.0)])
    table, now_s, times = make_table(rate, burst), 100.0, []
    lots, held, reports, refused = [], {}, [], 0
    for _ in range(1500):
        now_s += choose.choice([0.0, 1 / 64, 1 / 16])
        action = choose.choice(["take", "lend", "use", "use", "return", "tell", "hear"])
        usable = [lot for lot in lots if held[lot][0] and lot.until_s >= now_s]
        if action == "take":
            granted = sum(table.try_acquire("a", now_s) for _ in range(9))
            times += [now_s] * granted
            refused += 9 - granted
        elif action == "lend":
            term_s = choose.choice([1 / 8, 1 / 2, 1.0])
            lot = table.lend("a", choose.randint(1, 20), now_s + term_s, now_s)
            lots.append(lot)
            held[lot] = [lot.count, 0, 0]
        elif action in ("use", "return") and usable:
            lot = choose.choice(usable)
            count = choose.randint(1, held[lot][0])
            held[lot][0] -= count
            held[lot][1 if action == "use" else 2] += count
            times += [now_s] * count if action == "use" else []
        elif action == "tell" and lots:
            lot = choose.choice(lots[-5:])
            reports.append((lot, *held[lot][1:]))
        elif action == "hear" and reports:
            table.settle(*choose.choice(reports[-5:]), now_s)
    assert refused
    assert max_in_window(times) <= rate * WINDOW_S + burst


def test_what_is_returned_is_granted_again_once():
    table = make_table(rate=0.0, burst=40.0)
    lot = table.lend("a", 20, 100.5, 100.0)
    assert lot.count == 20
    for _ in range(2):
        table.settle(lot, 5, 8, 100.25)
    table.settle(lot, 3, 6, 100.25)
    assert sum(table.try_acquire("a", 100.25) for _ in range(50)) == 28


def test_a_lot_of_which_nothing_is_heard_counts_as_used_at_its_end():
    table = make_table(rate=0.0, burst=40.0)
    table.lend("a", 20, 100.5, 100.0)
    assert sum(table.try_acquire("a", 100.0) for _ in range(50)) == 20
    assert sum(table.try_acquire("a", 105.25) for _ in range(50)) == 20
    assert sum(table.try_acquire("a", 105.5) for _ in range(50)) == 20


def test_what_is_told_after_the_end_changes_nothing():
    table = make_table(rate=0.0, burst=40.0)
    lot = table.lend("a", 20, 100.5, 100.0)
    table.settle(lot, 0, 20, 100.5)
    assert sum(table.try_acquire("a", 100.5) for _ in range(50)) == 20


def test_a_customer_near_its_limit_is_lent_nothing():
    table = make_table(rate=0.0, burst=8.0)
    assert [table.lend("a", 9, 101.0, 100.0).count for _ in range(5)] == [4, 2, 1, 0, 0]
    table = make_table(rate=0.0, burst=8.0)
    table.waiting["a"] = 7
    assert table.lend("a", 9, 101.0, 100.0).count == 0
    assert make_table().lend("a", 9, 100.0, 100.0).count == 0


def test_a_customer_without_a_limit_is_lent_any_number():
    table = make_table()
    lot = table.lend("unlimited", 5000, 101.0, 100.0)
    table.settle(lot, 4000, 1000, 100.5)
    assert lot.count == 5000


def test_a_share_that_was_given_away_gets_back_no_tokens_of_a_lot():
    table = make_table(rate=0.0, burst=40.0)
    lot = table.lend("a", 20, 101.0, 100.0)
    table.set_share(0.0, 0.0, 100.25)
    table.set_share(1.0, 0.0, 100.5)
    table.settle(lot, 0, 20, 100.75)
    assert not table.try_acquire("a", 100.75)
    lot = make_table().lend("a", 5, 101.0, 100.0)
    table.reset_usage(100.5)
    table.settle(lot, 0, 5, 100.75)
    assert not table.try_acquire("a", 100.75)
