from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from gentianfold.codes.routing import SKETCH_MALFORMED, SKETCH_TOO_LARGE
from gentianfold.errors import Failure
from gentianfold.routing.outcome import OutcomeKind
from gentianfold.routing.sketch import Sketch, SketchItem, decode, encode

from .fleet import Fleet, make_upstreams

COUNT = st.integers(0, 2**31)
ITEMS = st.builds(SketchItem, COUNT, COUNT, COUNT, load=st.integers(0, 96))


@settings(derandomize=True, deadline=None)
@given(st.builds(Sketch, COUNT, st.booleans(), st.lists(ITEMS).map(tuple)))
def test_sketches_survive_the_wire(sketch):
    assert decode(encode(sketch), 1 << 20) == sketch


@settings(derandomize=True, deadline=None)
@given(st.binary(max_size=200))
def test_noise_is_refused_with_a_code(noise):
    result = decode(noise, 100)
    if isinstance(result, Failure):
        too_large = len(noise) > 100
        assert result.code is (SKETCH_TOO_LARGE if too_large else SKETCH_MALFORMED)


def test_payloads_stay_within_their_limit_and_catch_up():
    fleet = Fleet(vms=2, upstreams=make_upstreams(count=300))
    for upstream in fleet.upstreams:
        fleet.attempt(0, upstream.name)
    limit = fleet.routers[0].policy.max_sketch_bytes
    payloads = [fleet.routers[0].heartbeat_payload(fleet.now_s) for _ in range(12)]
    assert all(len(payload) <= limit for payload in payloads)
    for payload in payloads:
        fleet.spread(fleet.routers[0], payload)
    heard = sum(fleet.row(1, u.name).recent_successes for u in fleet.upstreams)
    assert heard == 300


def test_repeated_and_lost_sketches_count_once():
    fleet = Fleet(vms=2)
    sender = fleet.routers[0]
    fleet.attempt(0, "registry-0")
    first = sender.heartbeat_payload(fleet.now_s)
    fleet.attempt(0, "registry-0")
    sender.heartbeat_payload(fleet.now_s)  # Lost on the way.
    fleet.attempt(0, "registry-0")
    third = sender.heartbeat_payload(fleet.now_s)
    for payload in (first, first, third, third):
        fleet.spread(sender, payload)
    assert fleet.row(1, "registry-0").recent_successes == 3


def test_heartbeats_of_large_fleets_keep_within_their_budget():
    fleet = Fleet(vms=2, upstreams=make_upstreams(count=100))
    sender = fleet.routers[0]
    for index in range(2, 40):
        fleet.routers[0].on_heartbeat(f"vm{index}", "z0", b"", fleet.now_s)
    for upstream in fleet.upstreams:
        fleet.attempt(0, upstream.name)
    fleet.attempt(0, "registry-99", OutcomeKind.ERROR)
    payload = sender.heartbeat_payload(fleet.now_s)
    assert len(payload) * 39 <= sender.policy.peer_bytes_per_s * 1.1
    fleet.spread(sender, payload)
    assert fleet.row(1, "registry-99").recent_failures == 1
    for index in range(40, 600):
        fleet.routers[0].on_heartbeat(f"vm{index}", "z0", b"", fleet.now_s)
    assert sender.heartbeat_payload(fleet.now_s) == b""
    fleet.attempt(0, "registry-98", OutcomeKind.ERROR)
    assert sender.urgent_payload(fleet.now_s)
