"""Memory goes back after a peak, and only then."""

from __future__ import annotations

from gentianfold.vm.heap_trimmer import MIN_DROP_BYTES, HeapTrimmer, trim_heap


def test_the_heap_is_trimmed_when_a_peak_has_passed():
    trimmer = HeapTrimmer(lambda: None)
    peak = 4 * MIN_DROP_BYTES
    for number, (used_bytes, trim_count) in enumerate(
        [
            (0, 0),
            (peak, 0),
            (peak // 2 + 1, 0),
            (peak // 2, 1),
            # Small ups and downs are no peaks.
            (peak // 2 + MIN_DROP_BYTES, 1),
            (peak // 2 + 1, 1),
            (0, 2),
            (0, 2),
        ]
    ):
        trimmer.advance(used_bytes, 2.0 * number)
        assert trimmer.trim_count == trim_count


def test_peaks_in_quick_succession_are_trimmed_once():
    trimmer = HeapTrimmer(lambda: None)
    for number in range(20):
        trimmer.advance(4 * MIN_DROP_BYTES * (number % 2), number / 20)
    assert trimmer.trim_count == 1
    trimmer.advance(0, 5.0)
    assert trimmer.trim_count == 2


def test_trimming_is_harmless():
    trim_heap()
