"""Random faults over several limiters, checked in true time after each step."""

from __future__ import annotations

import itertools
from collections import Counter

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from xxhash import xxh3_64_digest

from gentianfold.limits import Limiter
from gentianfold.limits.slot_map import HOME_SLOTS, slot_of_key
from gentianfold.limits.timing import LOT_LIFETIME_S
from gentianfold.model import RateLimit
from gentianfold.reports.limits_fleet import Fleet
from tests.limits.bucket_oracle import BucketOracle

RATES = {
    "stall": RateLimit(0.5, 6.0),
    "depot": RateLimit(8.0, 5.0),
    "large": RateLimit(16.0, 12.0),
}
ROUTE_LIMIT = RateLimit(4.0, 3.0)
CLOCK_RATES = (0.9995, 1.0, 1.0005)
PICK = st.integers(0, 10**6)


class FleetMachine(RuleBasedStateMachine):
    """Joins, leaves, crashes, pauses, cuts, stale lists and changed limits."""

    build = Limiter

    @initialize(
        count=st.sampled_from([3, 5, 7]),
        seed=st.integers(0, 2**32),
        loss=st.sampled_from([0.0, 0.0, 0.1]),
        duplication=st.sampled_from([0.0, 0.2]),
        jitter_s=st.sampled_from([0.0, 0.01, 0.4]),
    )
    def boot(self, count, seed, loss, duplication, jitter_s):
        self.cuts = set()
        self.fleet = Fleet(
            seed=seed,
            duplication=duplication,
            jitter_s=jitter_s,
            build=type(self).build,
            connected=lambda sender, receiver: (sender, receiver) not in self.cuts,
        )
        self.created = 0
        self.version = 0
        self.limits_version = 1
        self.large = RATES["large"]
        self.oracles = {name: BucketOracle(limit) for name, limit in RATES.items()}
        self.checked = 0
        names = [self._start() for _ in range(count)]
        self._publish(names, names)
        self.fleet.run_until(9.0)
        self.fleet.loss = loss
        for customer, limit in RATES.items():
            self._send_requests(customer, 0.8 * limit.rate_per_s)
        self.fleet.run_until(10.0)

    @rule(span_s=st.sampled_from([0.05, 0.6, 1.5, 4.0, 10.0]))
    def advance(self, span_s):
        self.fleet.run_until(self.fleet.now_s + span_s)

    @rule(times=st.integers(1, 3))
    def flood(self, times):
        """Use up what every VM can get, several times within a short time."""
        for _ in range(times):
            for vm, customer in itertools.product(self.fleet.vms, RATES):
                for _ in range(8):
                    self._request(customer, vm)
            self.fleet.run_until(self.fleet.now_s + 0.4)

    @rule(pick=PICK)
    def crash(self, pick):
        down = [vm for vm in self.members if not self.fleet.vms[vm].up]
        if 3 * len(down) < len(self.members):
            self.fleet.crash(self._pick(pick))

    @rule(pick=PICK, listed=st.booleans())
    def restart(self, pick, listed):
        down = [vm for vm in self.members if not self.fleet.vms[vm].up]
        name = down[pick % len(down)] if down else self._pick(pick)
        self.fleet.crash(name)
        self._boot_limiter(name)
        if listed:
            self.fleet.publish(self.version, self.members, [name])

    @rule(pick=PICK)
    def pause_or_resume(self, pick):
        paused = [vm.name for vm in self.fleet.vms.values() if vm.up and vm.paused]
        if paused:
            self.fleet.resume(paused[pick % len(paused)])
        else:
            self.fleet.pause(self._pick(pick))

    @rule()
    def recover_and_wait(self):
        self.recover()

    def recover(self):
        """Let the fleet become whole, so that later faults meet a working one."""
        self.cuts = set()
        for name in self.members:
            vm = self.fleet.vms[name]
            if not vm.up or vm.limiter.shares.stopping:
                self.fleet.crash(name)
                self._boot_limiter(name)
            if vm.paused:
                self.fleet.resume(name)
        self.fleet.publish(self.version, self.members, list(self.fleet.vms))
        self.fleet.run_until(self.fleet.now_s + 12.0)

    @rule(pick=PICK, cut=st.booleans(), span_s=st.sampled_from([0.0, 10.0]))
    def replace_unreachable(self, pick, cut, span_s):
        """Take a VM off the list that lives on, cut off or just not informed."""
        if len(self.members) < 4:
            return
        self.recover()
        gone = self._home_of_large() if pick % 2 else self._pick(pick // 2)
        if gone not in self.members:
            return
        others = [vm for vm in self.fleet.vms if vm != gone]
        if cut:
            self.cuts |= {(gone, vm) for vm in others} | {(vm, gone) for vm in others}
        self._publish([vm for vm in self.members if vm != gone], others)
        self.flood(6)
        self.fleet.run_until(self.fleet.now_s + span_s)

    @rule(informed=st.integers(0, 2**8 - 1))
    def join(self, informed):
        if len(self.members) < 8:
            self._publish([*self.members, self._start()], self._some(informed))

    @rule(pick=PICK, informed=st.integers(0, 2**8 - 1), crashes=st.booleans())
    def leave(self, pick, informed, crashes):
        if len(self.members) < 3:
            return
        gone = self.members[pick % len(self.members)]
        if crashes:
            self.fleet.crash(gone)
        self._publish([vm for vm in self.members if vm != gone], self._some(informed))

    @rule(informed=st.integers(0, 2**8 - 1))
    def spread_list(self, informed):
        self.fleet.publish(self.version, self.members, self._some(informed))

    @rule(pick=PICK)
    def stop(self, pick):
        vm = self.fleet.vms[self._pick(pick)]
        if vm.up and not vm.paused:
            vm.limiter.on_stop(vm.local_s(self.fleet.now_s))

    @rule(pick=PICK)
    def cut_one_way(self, pick):
        names = list(self.fleet.vms)
        sender = names[pick % len(names)]
        receiver = names[pick // 7 % len(names)]
        self.cuts.add((sender, receiver))

    @rule(side=st.integers(1, 2**8 - 1))
    def split(self, side):
        sides = {vm: side >> i & 1 for i, vm in enumerate(self.fleet.vms)}
        self.cuts = {(a, b) for a in sides for b in sides if sides[a] != sides[b]}

    @rule()
    def heal(self):
        self.cuts = set()

    @rule(rate_per_s=st.sampled_from([4.0, 16.0]), burst=st.sampled_from([4.0, 12.0]))
    def change_limit(self, rate_per_s, burst):
        widest = RateLimit(
            max(rate_per_s, self.large.rate_per_s), max(burst, self.large.burst)
        )
        self.limits_version += 1
        self.large = RateLimit(rate_per_s, burst)
        for vm in self.fleet.vms.values():
            vm.limiter.limits_version = self.limits_version
        self.oracles["large"] = BucketOracle(widest, self.fleet.now_s)
        # Lots of the earlier limit may be spent until they end.
        self.fleet.run_until(self.fleet.now_s + 1.002 * LOT_LIFETIME_S)
        self.admits_within_limits()
        self.oracles["large"] = BucketOracle(self.large, self.fleet.now_s)

    @invariant()
    def admits_within_limits(self):
        outcomes = self.fleet.outcomes
        for outcome in outcomes[self.checked :]:
            if outcome.failure is None:
                self.oracles[outcome.customer].admit(outcome.settled_s)
        self.checked = len(outcomes)
        excess = {name: oracle.excess for name, oracle in self.oracles.items()}
        assert not any(excess.values()), f"too many tokens: {excess}"

    @invariant()
    def possesses_each_slot_once(self):
        holders = Counter(
            slot
            for vm in self.fleet.vms.values()
            if vm.up and vm.limiter.shares.usable(vm.local_s(self.fleet.now_s))
            for slot in vm.limiter.shares.held
        )
        assert all(count == 1 for count in holders.values()), holders.most_common(1)

    def _send_requests(self, customer, rate_per_s):
        fleet = self.fleet

        def send():
            self._request(customer, fleet.random.choice(list(fleet.vms)))
            fleet.at(fleet.now_s + fleet.random.expovariate(rate_per_s), send)

        fleet.at(fleet.now_s, send)

    def _request(self, customer, vm):
        limit = self.large if customer == "large" else RATES[customer]
        limits = [("all", limit)]
        if customer == "depot":
            limits.append(("route", ROUTE_LIMIT))
        self.fleet.request(vm, customer, limits)

    def _start(self):
        self.created += 1
        name = f"vm{self.created}"
        self._boot_limiter(name)
        return name

    def _boot_limiter(self, name):
        rate = CLOCK_RATES[self.created % len(CLOCK_RATES)]
        vm = self.fleet.start(name, clock_rate=rate)
        vm.limiter.limits_version = self.limits_version

    def _publish(self, members, informed):
        self.version += 1
        self.members = members
        self.fleet.publish(self.version, members, informed)

    def _pick(self, pick):
        names = list(self.fleet.vms)
        return names[pick % len(names)]

    def _home_of_large(self):
        key = xxh3_64_digest(b"large\0all")
        slot = slot_of_key(key, HOME_SLOTS)
        homes = self.fleet.vms[self.members[0]].limiter.homes_of(slot)
        return homes[0] if homes else None

    def _some(self, informed):
        return [vm for i, vm in enumerate(self.fleet.vms) if informed >> (i % 8) & 1]
