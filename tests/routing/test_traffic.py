from __future__ import annotations

from gentianfold.routing.traffic import TrafficMix


def test_shares_follow_recent_traffic_and_rare_keys_are_forgotten():
    mix = TrafficMix()
    assert mix.share(1) == 0.0
    for index in range(1000):
        mix.record(index % 4)
    assert 0.2 < mix.share(1) < 0.3
    for _ in range(5000):
        mix.record(9)
    assert mix.share(9) > 0.99
    assert set(mix.counts) == {9}
