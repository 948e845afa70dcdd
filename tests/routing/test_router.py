from __future__ import annotations

import attrs

from gentianfold.codes.routing import NO_FREE_SLOT, NO_UPSTREAM, UNKNOWN_SERVICE
from gentianfold.errors import Failure
from gentianfold.model import UpstreamState
from gentianfold.routing.choice import Choice
from gentianfold.routing.outcome import Outcome, OutcomeKind

from .fleet import Fleet, make_upstreams

NONE: frozenset[str] = frozenset()


def fail_from(fleet, upstream, vms, kind=OutcomeKind.ERROR, **scope):
    for vm in vms:
        marks = {"route": str(vm), "customer": str(vm), **scope}
        fleet.attempt(vm, upstream, kind, **marks)
        fleet.urgent()


def assert_ejected(fleet, upstream, vms):
    """Work stops at once; the ejection is confirmed a little later."""
    everyone = range(len(fleet.routers))
    assert [vm for vm in everyone if fleet.row(vm, upstream).removed] == vms
    fleet.advance(1.0)
    assert fleet.ejected_by(upstream) == vms


def test_failures_seen_from_two_zones_eject_everywhere_without_a_heartbeat():
    fleet = Fleet()
    fleet.warm()
    fail_from(fleet, "registry-0", [0, 1, 2])
    assert_ejected(fleet, "registry-0", list(range(9)))


def test_one_vm_ejects_for_nobody_but_pauses_for_itself():
    fleet = Fleet()
    fleet.warm()
    fail_from(fleet, "registry-0", [4] * 8)
    assert fleet.ejected_by("registry-0") == []
    assert fleet.row(4, "registry-0").removed
    assert not fleet.row(3, "registry-0").removed


def test_one_zone_ejects_for_itself_only():
    fleet = Fleet()
    fleet.warm()
    fail_from(fleet, "registry-0", [0, 3, 6, 0])
    assert_ejected(fleet, "registry-0", [0, 3, 6])


def test_single_failure_elsewhere_does_not_turn_a_lost_path_into_a_fault():
    fleet = Fleet()
    fleet.warm()
    fail_from(fleet, "registry-0", [1, 0, 3])
    for vm in (2, 4, 5, 7):
        fleet.attempt(vm, "registry-0")
    fail_from(fleet, "registry-0", [6, 0])
    fleet.advance(1.5)
    assert set(fleet.ejected_by("registry-0")) <= {0, 3, 6}


def test_one_customer_or_route_is_kept_away_but_ejects_nothing():
    fleet = Fleet()
    fleet.warm()
    fail_from(fleet, "registry-0", [0, 1, 2, 3], customer="1")
    fail_from(fleet, "registry-1", [3, 4, 5, 6], route="1")
    assert fleet.ejected_by("registry-0") == fleet.ejected_by("registry-1") == []
    router = fleet.routers[8]
    chosen = {
        router.choose("registry", NONE, fleet.now_s, customer="1", route="2")
        .upstream.name
        for _ in range(100)
    }  # fmt: skip
    assert "registry-0" not in chosen
    assert "registry-2" in chosen


def test_vm_to_which_most_upstreams_look_sick_suspects_itself():
    fleet = Fleet()
    fleet.warm()
    fleet.advance(12.0)
    for upstream in fleet.upstreams:
        fail_from(fleet, upstream.name, [0])
    router = fleet.routers[0]
    router.on_tick(fleet.now_s + 1.0)
    assert router.path_suspect(fleet.now_s)
    assert not fleet.routers[1].path_suspect(fleet.now_s)
    assert len(router.table.services["registry"].active) == 6
    assert all(fleet.ejected_by(u.name) == [] for u in fleet.upstreams)


def test_overdue_attempts_eject_before_their_timeout():
    fleet = Fleet()
    fleet.warm(rounds=8)
    for vm in range(3):
        fleet.routers[vm].started(
            "registry-0", fleet.now_s, route=str(vm), customer=str(vm)
        )
    fleet.advance(0.5)
    assert_ejected(fleet, "registry-0", list(range(9)))


def test_short_pause_of_an_upstream_ejects_nothing():
    fleet = Fleet()
    fleet.warm(rounds=8)
    begin_s = fleet.now_s
    for vm in range(4):
        mark = str(vm)
        fleet.routers[vm].started("registry-0", begin_s, route=mark, customer=mark)
    fleet.advance(0.5)
    assert fleet.row(8, "registry-0").removed
    for vm in range(4):
        late = Outcome("registry-0", OutcomeKind.OK, 0.5, str(vm), str(vm))
        fleet.routers[vm].finished(late, fleet.now_s)
    fleet.urgent()
    fleet.advance(2.5)
    assert fleet.ejected_by("registry-0") == []
    assert not fleet.row(8, "registry-0").removed


def test_late_success_takes_an_overdue_failure_back():
    fleet = Fleet()
    fleet.warm(rounds=8)
    router = fleet.routers[0]
    router.started("registry-0", fleet.now_s, route="r", customer="c")
    fleet.advance(0.5)
    assert fleet.row(5, "registry-0").fleet.score > 0
    start_s = fleet.now_s - 0.5
    fleet.attempt(0, "registry-0")
    router.finished(_late(fleet.now_s - start_s), fleet.now_s)
    fleet.urgent()
    assert fleet.row(5, "registry-0").fleet.score == 0


def _late(latency_s):
    return Outcome("registry-0", OutcomeKind.OK, latency_s, "r", "c")


def test_trials_readmit_and_flappers_wait_longer():
    fleet = Fleet()
    fleet.warm()
    fail_from(fleet, "registry-0", [0, 1, 2])
    fleet.advance(1.0)
    first_s = fleet.row(5, "registry-0").backoff_s
    fleet.advance(first_s + 0.5)
    for vm in range(9):
        fleet.attempt(vm, "registry-0")
        fleet.attempt(vm, "registry-0")
    fleet.urgent()
    assert fleet.ejected_by("registry-0") == []
    assert fleet.row(5, "registry-0").weight < 0.5
    fail_from(fleet, "registry-0", [0, 1, 2])
    fleet.advance(1.0)
    assert fleet.row(5, "registry-0").backoff_s == 2 * first_s


def test_health_probes_neither_eject_nor_readmit():
    fleet = Fleet()
    fleet.warm()
    for router in fleet.routers:
        for _ in range(50):
            router.on_probe("registry-0", False)
    fleet.advance(1.0)
    assert fleet.ejected_by("registry-0") == []
    fail_from(fleet, "registry-0", [0, 1, 2])
    for router in fleet.routers:
        router.on_probe("registry-0", True)
    fleet.advance(2.0)
    assert fleet.ejected_by("registry-0") == list(range(9))


def test_drained_upstream_gets_no_new_work():
    fleet = Fleet()
    drained = [
        attrs.evolve(u, state=UpstreamState.DRAINING) if i < 5 else u
        for i, u in enumerate(make_upstreams())
    ]
    fleet.publish(drained)
    router = fleet.routers[0]
    choice = router.choose("registry", NONE, fleet.now_s)
    assert isinstance(choice, Choice)
    assert choice.upstream.name == "registry-5"
    failure = router.choose("registry", frozenset({"registry-5"}), fleet.now_s)
    assert isinstance(failure, Failure)
    assert failure.code is NO_UPSTREAM


def test_taken_slots_and_unknown_services_have_codes():
    fleet = Fleet(upstreams=make_upstreams(count=2, slots=1))
    router = fleet.routers[0]
    assert router.free_slots("registry", fleet.now_s) == 2
    for name in ("registry-0", "registry-1"):
        router.started(name, fleet.now_s)
    failure = router.choose("registry", NONE, fleet.now_s)
    assert isinstance(failure, Failure)
    assert failure.code is NO_FREE_SLOT
    assert router.free_slots("registry", fleet.now_s) == 0
    unknown = router.choose("other", NONE, fleet.now_s)
    assert isinstance(unknown, Failure)
    assert unknown.code is UNKNOWN_SERVICE


def test_shed_is_load_not_sickness():
    fleet = Fleet()
    fleet.warm()
    fail_from(fleet, "registry-0", [0, 1, 2] * 3, OutcomeKind.SHED)
    assert fleet.ejected_by("registry-0") == []
    names = {
        fleet.routers[0].choose("registry", NONE, fleet.now_s).upstream.name
        for _ in range(50)
    }
    assert "registry-0" not in names


def test_work_goes_first_to_an_upstream_without_news():
    fleet = Fleet(upstreams=make_upstreams(count=3, zones=1))
    fleet.advance(5.0)
    for name in ("registry-0", "registry-1"):
        fleet.attempt(1, name)
    fleet.exchange()
    choices = [
        fleet.routers[0].choose("registry", NONE, fleet.now_s).upstream.name
        for _ in range(60)
    ]
    assert choices.count("registry-2") > 30


def test_load_of_peers_counts_until_it_ages():
    fleet = Fleet()
    for _ in range(6):
        fleet.routers[1].started("registry-0", fleet.now_s - 2.0)
    fleet.exchange()
    assert fleet.row(0, "registry-0").remote_load == 6.0
    fleet.routers[0].on_tick(fleet.now_s + 4.0)
    assert fleet.row(0, "registry-0").remote_load == 0.0
