"""Versions never revert, and what an informed peer knows reaches whom it reaches."""

from itertools import pairwise, product
from random import Random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gentianfold.configuration.publication import publish_configuration
from gentianfold.peers.isolation import ISOLATION_S
from gentianfold.peers.memory_fleet import MemoryFleet
from gentianfold.peers.memory_link import MemoryNetwork

NAMES = [f"vm-{number:03}" for number in range(6)]
SPREAD_S = 4.0
PAUSE_BEFORE_S = 6.0
names = st.sampled_from(NAMES)
sets_of_names = st.sets(names)


class FleetMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.version = 0
        self.old_values = []
        self.ready = []
        network = MemoryNetwork(Random(7), jitter_s=0.05, loss=0.02, doubled=0.05)
        self.fleet = MemoryFleet(len(NAMES), network)
        self.publish()
        self.fleet.run(3.0)

    @rule()
    def publish(self):
        self.old_values.append(dict(self.fleet.values))
        self.version += 1
        publish_configuration(
            self.fleet.values.__setitem__,
            version=self.version,
            rules_text=f"version {self.version}",
            upstreams=(),
        )

    @rule(reached=sets_of_names)
    def reach_platform(self, reached):
        self.fleet.informed = reached

    @rule(data=st.data())
    def serve_old_values(self, data):
        newest = dict(self.fleet.values)
        self.fleet.values = data.draw(st.sampled_from(self.old_values))
        self.fleet.run(0.5)
        self.fleet.values = newest

    @rule(senders=sets_of_names, receivers=sets_of_names)
    def cut(self, senders, receivers):
        self.fleet.network.cuts |= set(product(senders, receivers))

    @rule()
    def heal(self):
        self.fleet.network.cuts.clear()

    @rule(name=names)
    def pause(self, name):
        self.fleet.vms[name].paused = True

    @rule(name=names)
    def resume(self, name):
        self.fleet.vms[name].resume()

    @rule(name=names)
    def replace(self, name):
        self.fleet.start(name)

    @rule(duration_s=st.sampled_from([0.2, 1.0, 8.0]))
    def pass_time(self, duration_s):
        self.fleet.run(duration_s)

    @rule()
    def let_spread(self):
        """Let the network stand still as it is, and compare who reaches whom."""
        # Failed peers are avoided for a while, so the network settles first.
        self.fleet.run(PAUSE_BEFORE_S)
        before = {name: vm.store.version for name, vm in self.fleet.vms.items()}
        self.fleet.run(SPREAD_S)
        running = [name for name in NAMES if not self.fleet.vms[name].paused]
        for sender, receiver in product(running, running):
            if self.reach_each_other(sender, receiver):
                assert self.fleet.vms[receiver].store.version >= before[sender]

    @invariant()
    def versions_never_revert(self):
        for vm in self.fleet.vms.values():
            versions = [version for _, version in vm.adopted]
            assert all(a < b for a, b in pairwise(versions))

    @invariant()
    def a_vm_gets_ready_only_with_what_its_peers_have(self):
        for vm in self.fleet.vms.values():
            now_s = vm.clock.now_s()
            if vm.isolation.is_ready(now_s) and vm not in self.ready:
                self.ready.append(vm)
                rows = vm.node.table.rows.values()
                heard = [row for row in rows if row.is_heard(now_s, ISOLATION_S)]
                assert all(vm.store.version >= row.config_version for row in heard)

    def reach_each_other(self, a, b):
        cuts = self.fleet.network.cuts
        listed = all(self.fleet.vms[name].store.vm_list for name in (a, b))
        return listed and (a, b) not in cuts and (b, a) not in cuts


TestFleetMachine = FleetMachine.TestCase
TestFleetMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=40, stateful_step_count=20
)
