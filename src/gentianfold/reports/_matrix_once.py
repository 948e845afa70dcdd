"""Keyed requests under faults: ledgers, callers that repeat, and runs that count."""

from __future__ import annotations

import itertools
from collections import Counter
from random import Random

import attrs

from gentianfold.errors import Failure, RunState
from gentianfold.reports._matrix_axes import (
    UPSTREAM_FAULTS,
    Fault,
    Promise,
    Step,
)
from gentianfold.reports._matrix_case import Case, Observation
from gentianfold.reports._matrix_ledgers import DELAY_S, LedgerFleet
from gentianfold.requests.once.interfaces import LedgerOptions
from gentianfold.requests.once.messages import (
    Admit,
    Collect,
    Collected,
    CopyHeld,
    CopyRecord,
    Finish,
    Message,
    RunResult,
)
from gentianfold.requests.once.records import CopyRule, StoredAnswer
from gentianfold.requests.once.tickets import Decided, Permission

VM_COUNT = 6
"""VMs of the fleet."""
REPEATS_S = (0.0, 0.02, 0.5, 3.0, 12.0, 45.0, 58.0)
"""When callers send the same request again, each time to the next VM."""
MOVE_S = 0.2
"""When the slot moves, in the case of a hand-over."""
FENCE_S = 9.0
"""Time after which the slot of a VM that is gone is in other possession."""
END_S = 64.0
"""End of a run."""
PAUSES_S = (4.0, 40.0)
"""Length of a pause, by parity of the seed."""
HEAL_S = 8.0
"""Time from the faults to their end."""
LOSS = 0.2
"""Part of the messages that is lost or doubled after the first one."""
WORK_S = 0.15
"""Work time of a request."""
KEYS = (b"booking-1", b"booking-2")
"""Idempotency keys in use."""
MESSAGES: dict[Step, tuple[type[Message], ...]] = {
    Step.ADMIT: (Admit,),
    Step.RECORD: (CopyRecord, CopyHeld),
    Step.ANSWER: (Finish,),
    Step.HAND_OVER: (Collect, Collected),
}
"""Messages of each step."""
LOST_ANSWERS = {Fault.TIMES_OUT, Fault.TRUNCATES, Fault.SILENT}
"""Upstream faults after which a run's outcome is unknown."""


@attrs.define(eq=False)
class _Run:
    """One case while it runs."""

    case: Case
    rule: CopyRule
    random: Random = attrs.field(init=False)
    fleet: LedgerFleet = attrs.field(init=False)
    armed: bool = True
    struck: bool = False
    used: set[Fault] = attrs.field(factory=set)
    loss: float = 0.0
    doubling: float = 0.0
    jitter_s: float = 0.0
    cuts: set[tuple[str, str]] = attrs.field(factory=set)
    keys: dict[str, bytes] = attrs.field(factory=dict)
    runs: Counter[bytes] = attrs.field(factory=Counter)
    ran: set[str] = attrs.field(factory=set)
    decisions: dict[str, Permission | StoredAnswer | Failure] = attrs.field(
        factory=dict
    )

    def __attrs_post_init__(self) -> None:
        self.random = Random(self.case.seed)
        self.fleet = LedgerFleet(self._decided, self._carry, self.rule)
        for number in range(VM_COUNT):
            self.fleet.start(f"vm{number}", LedgerOptions().retention_s)

    def play(self) -> None:
        """Send all requests and let the time pass."""
        self.fleet.tick_all()
        for number, at_s in enumerate(REPEATS_S, start=1 + self.case.seed):
            self.fleet.at(at_s, lambda number=number: self._request(number))  # type: ignore[misc]
        if self.case.step is Step.HAND_OVER:
            self.fleet.at(MOVE_S, lambda: self.fleet.possession.move("vm5"))
        self.fleet.run_until(END_S)

    def _request(self, number: int) -> None:
        vm = f"vm{number % VM_COUNT}"
        ledger = self.fleet.ledgers.get(vm)
        if ledger is None or vm in self.fleet.paused:
            return
        for key in KEYS:
            now_s = self.fleet.now_s
            ticket, effects = ledger.open("stall", key, b"digest", now_s + 1.5, now_s)
            self.keys[ticket] = key
            self.fleet.apply(vm, effects)

    def _decided(self, vm: str, decided: Decided) -> None:
        self.decisions[decided.ticket] = decided.decision
        if decided.decision is not Permission.RUN:
            return
        if self.case.step is Step.SEND:
            self._strike(vm, vm)
        start_s = self.fleet.now_s + DELAY_S
        self.fleet.at_vm(vm, start_s, lambda: self._forward(vm, decided.ticket))

    def _forward(self, vm: str, ticket: str) -> None:
        if not self.fleet.ledgers[vm].may_run(ticket, self.fleet.now_s):
            return
        result = self._upstream_result()
        if result is not RunResult.NOT_RUN:
            self.runs[self.keys[ticket]] += 1
            self.ran.add(ticket)
        if self.case.step is Step.WAIT:
            self._strike(vm, vm)
        end_s = self.fleet.now_s + WORK_S
        self.fleet.at_vm(vm, end_s, lambda: self._finish(vm, ticket, result))

    def _upstream_result(self) -> RunResult:
        """Return what comes of a run; faulty upstreams are so until the end."""
        faults = [fault for fault in self.case.faults if fault in UPSTREAM_FAULTS]
        if not faults:
            return RunResult.ANSWERED
        fault = faults[sum(self.runs.values()) % len(faults)]
        self.used.add(fault)
        if fault is Fault.SHEDS:
            return RunResult.NOT_RUN
        if fault is Fault.FLAPS:
            return self.random.choice([RunResult.UNKNOWN, RunResult.ANSWERED])
        return RunResult.UNKNOWN if fault in LOST_ANSWERS else RunResult.ANSWERED

    def _finish(self, vm: str, ticket: str, result: RunResult) -> None:
        key = self.keys[ticket]
        answer = StoredAnswer(200, (), key) if result is RunResult.ANSWERED else None
        ledger = self.fleet.ledgers[vm]
        effects = ledger.finish(ticket, result, answer, self.fleet.now_s)
        self.fleet.apply(vm, effects)

    def _carry(self, sender: str, receiver: str, message: Message) -> list[float]:
        kinds = MESSAGES.get(self.case.step, ())
        first = self.armed and isinstance(message, kinds)
        if first:
            self._strike(sender, receiver)
        faults = set(self.case.faults)
        if (sender, receiver) in self.cuts or (first and Fault.LOST in faults):
            return []
        if self.random.random() < self.loss:
            return []
        doubled = first and Fault.DUPLICATED in faults
        copies = 2 if doubled or self.random.random() < self.doubling else 1
        return [DELAY_S + self.random.random() * self.jitter_s for _ in range(copies)]

    def _strike(self, sender: str, receiver: str) -> None:
        """Bring the faults, once."""
        if not self.armed:
            return
        self.armed, self.struck = False, True
        fleet, faults = self.fleet, set(self.case.faults)
        self.used |= faults - set(UPSTREAM_FAULTS)
        names = [f"vm{number}" for number in range(VM_COUNT)]
        victim = receiver if self.case.seed % 2 else sender
        self.loss = LOSS if Fault.LOST in faults else 0.0
        self.doubling = LOSS if Fault.DUPLICATED in faults else 0.0
        self.jitter_s = 1.0 if Fault.REORDERED in faults else 0.0
        if Fault.ONE_WAY in faults:
            odd = self.case.seed % 2 == 1
            pairs = ((sender, name) for name in names)
            self.cuts |= {(a, b) if odd else (b, a) for a, b in pairs}
        if Fault.SPLIT in faults:
            side = set(names[::2])
            self.cuts |= {
                pair
                for pair in itertools.product(names, names)
                if (pair[0] in side) != (pair[1] in side)
            }
        self._stop_processes(faults, names, victim)
        fleet.at(fleet.now_s + HEAL_S, self._heal)

    def _stop_processes(
        self, faults: set[Fault], names: list[str], victim: str
    ) -> None:
        fleet = self.fleet
        if Fault.PAUSE in faults:
            fleet.paused.add(victim)
            wake_s = fleet.now_s + PAUSES_S[self.case.seed % 2]
            fleet.at(wake_s, lambda: fleet.resume(victim))
            self._fence(victim, names)
        if Fault.CRASH in faults:
            gone = victim
            if Fault.PAUSE in faults:
                gone = names[(names.index(victim) + 1) % VM_COUNT]
            fleet.at(fleet.now_s, lambda: fleet.crash(gone))
            fleet.at(fleet.now_s + HEAL_S, lambda: fleet.start(gone))
            self._fence(gone, names)

    def _fence(self, gone: str, names: list[str]) -> None:
        """Take the slot from a VM that is gone, and give it to another in time."""
        fleet = self.fleet
        if fleet.possession.owner != gone:
            return
        fleet.possession.move("")
        heir = names[(names.index(gone) + 3) % VM_COUNT]
        fleet.at(fleet.now_s + FENCE_S, lambda: fleet.possession.move(heir))

    def _heal(self) -> None:
        self.loss = self.doubling = self.jitter_s = 0.0
        self.cuts.clear()


@attrs.frozen
class OnceBench:
    """Repeats keyed requests through real ledgers and counts their runs."""

    rule: CopyRule = attrs.field(factory=CopyRule)
    """Where records must be."""
    name: str = "ledgers"
    """Name of the bench."""
    steps: tuple[Step, ...] = (
        Step.ADMIT,
        Step.RECORD,
        Step.SEND,
        Step.WAIT,
        Step.ANSWER,
        Step.HAND_OVER,
    )
    """Steps at which the bench can strike."""
    faults: tuple[Fault, ...] = (
        *UPSTREAM_FAULTS,
        Fault.ONE_WAY,
        Fault.SPLIT,
        Fault.PAUSE,
        Fault.CRASH,
        Fault.LOST,
        Fault.DUPLICATED,
        Fault.REORDERED,
    )
    """Faults that the bench can make."""

    def run(self, case: Case) -> Observation:
        """Run a case from start to end."""
        run = _Run(case, self.rule)
        run.play()
        upstream_only = set(case.faults) <= set(UPSTREAM_FAULTS)
        reached = run.struck or (upstream_only and case.step is Step.WAIT)
        seen = Observation(reached and run.used == set(case.faults))
        _check_runs(run, seen)
        _check_refusals(run, seen)
        _check_answers(run, seen)
        return seen


def _check_runs(run: _Run, seen: Observation) -> None:
    tickets = Counter(run.keys.values())
    if any(tickets[key] > 1 for key in run.runs):
        seen.checked.add(Promise.AT_MOST_ONCE)
    for key, count in run.runs.items():
        if count > 1:
            seen.violate(Promise.AT_MOST_ONCE, f"{key.decode()} ran {count} times")


def _check_refusals(run: _Run, seen: Observation) -> None:
    for ticket, decision in run.decisions.items():
        if not isinstance(decision, Failure):
            continue
        if decision.code.run_state is not RunState.NOT_RUN:
            continue
        seen.checked.add(Promise.NOT_RUN)
        if ticket in run.ran:
            seen.violate(Promise.NOT_RUN, f"{ticket}: {decision}, and it ran")


def _check_answers(run: _Run, seen: Observation) -> None:
    for ticket, decision in run.decisions.items():
        if not isinstance(decision, StoredAnswer):
            continue
        seen.checked.add(Promise.ANSWER)
        if decision.body != run.keys[ticket]:
            seen.violate(Promise.ANSWER, f"{ticket} got the answer of another key")
