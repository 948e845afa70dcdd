from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianfold.routing.floor import Removal, admit_removals, floor_slots


def test_worst_go_first_and_the_least_bad_stay():
    wanted = [Removal("a", 6, 0.3), Removal("b", 6, 0.9), Removal("c", 6, 0.5)]
    removed = admit_removals(
        wanted, published_slots=24, live_slots=24, floor_fraction=0.5
    )
    assert removed == {"b", "c"}


def test_draining_slots_leave_less_to_eject():
    wanted = [Removal("a", 6, 0.9)]
    removed = admit_removals(
        wanted, published_slots=24, live_slots=12, floor_fraction=0.5
    )
    assert removed == frozenset()


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.tuples(st.integers(1, 8), st.floats(0, 1)), min_size=1, max_size=20),
    st.integers(0, 40),
    st.floats(0, 1),
)
def test_floor_holds(upstreams, draining_slots, fraction):
    wanted = [Removal(f"u{i}", s, b) for i, (s, b) in enumerate(upstreams)]
    live = sum(removal.slots for removal in wanted)
    removed = admit_removals(
        wanted,
        published_slots=live + draining_slots,
        live_slots=live,
        floor_fraction=fraction,
    )
    left = sum(r.slots for r in wanted if r.upstream not in removed)
    assert left >= min(live, floor_slots(live + draining_slots, fraction))
    assert left > 0
