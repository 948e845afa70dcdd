"""Configuration and keys under faults: nodes on an in-memory network."""

from __future__ import annotations

import hashlib
from random import Random

import attrs

from gentianfold.configuration.key_table import KeyRecord, KeyState
from gentianfold.configuration.publication import publish_configuration
from gentianfold.daemon.published_view import PublishedView
from gentianfold.errors import Failure
from gentianfold.peers.memory_fleet import MemoryFleet, MemoryVm
from gentianfold.peers.memory_link import MemoryNetwork
from gentianfold.reports._matrix_axes import Fault, Promise, Step
from gentianfold.reports._matrix_case import Case, Observation

VM_COUNT = 6
"""VMs of the fleet."""
WARM_S = 4.0
"""Time before the change."""
OLDER, GRANTED, CHANGED = 3, 5, 6
"""Versions: before the one in force, the one in force, and the change."""
KEY_LIMIT_S = 10.0
"""Time from the first VM that knows a withdrawal to the end of the key."""
SPREAD_LIMIT_S = 6.0
"""Time from the end of the faults until the change is in force everywhere."""
HEAL_S = 16.0
"""Time from the faults to their end."""
EARLY_S = 8.0
"""Time from the faults to the change, at the step to authenticate."""
STEP_S = 0.1
"""Time between two looks at every VM."""
LOSS = 0.3
"""Part of the messages that is lost or doubled."""
NAMES = [f"vm-{number:03}" for number in range(VM_COUNT)]
"""VMs of the fleet."""
DIGEST = hashlib.sha256(b"key").hexdigest()
"""Digest of the only key."""


def publish(fleet: MemoryFleet, version: int) -> None:
    """Publish a version; the key is granted in all but the last."""
    state = KeyState.WITHDRAWN if version == CHANGED else KeyState.GRANTED
    publish_configuration(
        fleet.values.__setitem__,
        version=version,
        rules_text=f"version {version}",
        upstreams=(),
        keys=[KeyRecord("stall", DIGEST, state)],
    )


@attrs.define(eq=False)
class _Run:
    """One case while it runs."""

    case: Case
    seen: Observation = attrs.field(factory=Observation)
    fleet: MemoryFleet = attrs.field(init=False)
    known_s: float | None = None
    victim: str = NAMES[1]
    ready_versions: dict[str, int] = attrs.field(factory=dict)
    joiner: str = NAMES[4]

    def __attrs_post_init__(self) -> None:
        network = MemoryNetwork(Random(self.case.seed), jitter_s=0.02)
        self.fleet = MemoryFleet(VM_COUNT, network)
        self.victim = NAMES[1 + self.case.seed % 2]

    def play(self) -> None:
        """Let the fleet agree, change the configuration, and bring the faults."""
        publish(self.fleet, GRANTED)
        self._watch(WARM_S)
        if any(vm.store.version != GRANTED for vm in self.fleet.vms.values()):
            return
        self._break()
        self._watch(1.0)
        if self.case.step is Step.JOIN:
            self.fleet.start(self.joiner)
        if self.case.step is Step.LEAVE:
            self.fleet.stop(NAMES[0])
        self._watch(HEAL_S - 1.0)
        self._heal()
        self._watch(SPREAD_LIMIT_S)
        self._check_spread()

    def _break(self) -> None:
        """Withdraw the key where one VM reads it, together with the faults."""
        fleet, faults = self.fleet, set(self.case.faults)
        network = fleet.network
        network.loss = LOSS if Fault.LOST in faults else 0.0
        network.doubled = LOSS if Fault.DUPLICATED in faults else 0.0
        network.jitter_s = 1.0 if Fault.REORDERED in faults else 0.02
        others = set(NAMES) - {self.victim}
        if Fault.ONE_WAY in faults:
            odd = self.case.seed % 2 == 1
            pairs = ((self.victim, name) for name in others)
            network.cuts |= {(a, b) if odd else (b, a) for a, b in pairs}
        if Fault.SPLIT in faults:
            left = {NAMES[0], NAMES[2], NAMES[4]}
            network.split(left, set(NAMES) - left)
        if Fault.PAUSE in faults:
            fleet.vms[self.victim].paused = True
        if self.case.step is Step.AUTHENTICATE:
            # The faults have lasted when the key is withdrawn.
            self._watch(EARLY_S)
        fleet.informed = {NAMES[0]}
        publish(fleet, CHANGED)
        self._watch(0.2)
        self._break_platform(faults)
        if Fault.CRASH in faults:
            gone = self.victim if Fault.PAUSE not in faults else NAMES[3]
            fleet.start(gone)

    def _break_platform(self, faults: set[Fault]) -> None:
        """Let the platform answer as the faults say, or all VMs as usual."""
        fleet = self.fleet
        fleet.informed = set(NAMES)
        if Fault.PLATFORM_OLDER in faults:
            publish(fleet, OLDER)
        elif Fault.PLATFORM_STALE in faults:
            publish(fleet, GRANTED)
        if Fault.PLATFORM_DOWN in faults:
            fleet.informed = set()

    def _heal(self) -> None:
        """End all faults; a platform with an old version stays so."""
        network = self.fleet.network
        network.loss = network.doubled = 0.0
        network.jitter_s = 0.02
        network.cuts.clear()
        self.fleet.informed = set(NAMES)
        vm = self.fleet.vms.get(self.victim)
        if vm is not None and vm.paused:
            vm.resume()
            # A request may come before the first tick of the process.
            self._check_vm(vm)

    def _watch(self, duration_s: float) -> None:
        for _ in range(round(duration_s / STEP_S)):
            self.fleet.run(STEP_S)
            for vm in self.fleet.vms.values():
                if vm.store.version == CHANGED and self.known_s is None:
                    self.known_s = self.fleet.now_s
                    self.seen.reached = True
                if not vm.paused:
                    self._check_vm(vm)

    def _check_vm(self, vm: MemoryVm) -> None:
        """Look at one VM as a request with the key would."""
        now_s = vm.clock.now_s()
        if not vm.isolation.is_ready(now_s) or vm.isolation.is_isolated(now_s):
            return
        held = self.ready_versions.get(vm.name, 0)
        if vm.store.version < held:
            trace = f"{vm.name} went from version {held} to {vm.store.version}"
            self.seen.violate(Promise.CONFIGURATION, trace)
        self.ready_versions[vm.name] = vm.store.version
        if self.known_s is None or vm.store.snapshot is None:
            return
        late_s = self.fleet.now_s - self.known_s - KEY_LIMIT_S
        if late_s > 0.0:
            self._check_key(vm, late_s)

    def _check_key(self, vm: MemoryVm, late_s: float) -> None:
        self.seen.checked.add(Promise.KEY)
        assert vm.store.snapshot is not None
        identity = PublishedView(vm.store.snapshot).identify_digest(DIGEST)
        if not isinstance(identity, Failure):
            trace = f"{vm.name} serves the key {late_s + KEY_LIMIT_S:.1f} s after"
            self.seen.violate(Promise.KEY, trace)

    def _check_spread(self) -> None:
        self.seen.checked.add(Promise.CONFIGURATION)
        for vm in self.fleet.vms.values():
            if vm.store.version != CHANGED:
                trace = f"{vm.name} holds version {vm.store.version} at the end"
                self.seen.violate(Promise.CONFIGURATION, trace)


@attrs.frozen
class ConfigurationBench:
    """Withdraws a key and asks every VM about it all the time."""

    name: str = "configuration"
    """Name of the bench."""
    steps: tuple[Step, ...] = (
        Step.AUTHENTICATE,
        Step.JOIN,
        Step.SPREAD,
        Step.LEAVE,
    )
    """Steps at which the bench can strike."""
    faults: tuple[Fault, ...] = (
        Fault.ONE_WAY,
        Fault.SPLIT,
        Fault.PAUSE,
        Fault.CRASH,
        Fault.PLATFORM_DOWN,
        Fault.PLATFORM_STALE,
        Fault.PLATFORM_OLDER,
        Fault.WITHDRAWN,
        Fault.LOST,
        Fault.DUPLICATED,
        Fault.REORDERED,
    )
    """Faults that the bench can make."""

    def run(self, case: Case) -> Observation:
        """Run a case from start to end."""
        if Fault.WITHDRAWN in case.faults and len(case.faults) > 1:
            # The run of the other fault alone withdraws the key as well.
            return Observation()
        run = _Run(case)
        run.play()
        return run.seen
