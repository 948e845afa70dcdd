from __future__ import annotations

from collections import Counter

import pytest

from gentianfold.routing.subset import choose_subset, connection_budget

from .fleet import make_upstreams


def test_small_fleets_use_every_upstream():
    upstreams = make_upstreams(count=15)
    assert choose_subset("vm0", upstreams, 36, 8) == upstreams
    assert connection_budget(upstreams[0], 15, 36, 8) == 6


@pytest.mark.parametrize("count", [2, 5, 22, 60])
def test_connections_stay_within_the_budget_of_each_server(count):
    upstreams = make_upstreams(count=count)
    vms = 550
    sharers = Counter(
        upstream.name
        for vm in range(vms)
        for upstream in choose_subset(f"vm{vm}", upstreams, vms, 8)
    )
    budget = connection_budget(upstreams[0], count, vms, 8)
    assert max(sharers.values()) * budget <= upstreams[0].max_connections
    mean = sum(sharers.values()) / count
    assert max(sharers.values()) <= mean + 3.5 * mean**0.5


def test_a_lost_upstream_changes_one_place_of_a_subset():
    upstreams = make_upstreams(count=22)
    before = {u.name for u in choose_subset("vm3", upstreams, 550, 8)}
    lost = min(before)
    left = [u for u in upstreams if u.name != lost]
    after = {u.name for u in choose_subset("vm3", left, 550, 8)}
    assert before - after == {lost}
