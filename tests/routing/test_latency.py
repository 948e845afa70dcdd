from __future__ import annotations

from gentianfold.routing.latency import LatencyHistogram


def test_quantiles_are_close_and_old_samples_fade():
    histogram = LatencyHistogram()
    for index in range(1000):
        histogram.record(0.001 * (1 + index % 100))
    assert 0.045 < histogram.quantile_s(0.5) < 0.06
    assert 0.09 < histogram.quantile_s(0.95) < 0.11
    for _ in range(3000):
        histogram.record(1.0)
    assert histogram.quantile_s(0.05) > 0.9


def test_extremes_stay_in_range():
    histogram = LatencyHistogram()
    histogram.record(0.0)
    histogram.record(1e9)
    assert histogram.quantile_s(0.0) < histogram.quantile_s(1.0) < 400
