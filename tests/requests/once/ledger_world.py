"""Ledgers over a network, an oracle of slot possession, and an upstream that counts."""

from __future__ import annotations

import itertools

import attrs

from gentianfold.codes.requests import KEY_HOME_IN_DOUBT
from gentianfold.errors import Failure, RunState
from gentianfold.requests.once.interfaces import LedgerOptions, Send
from gentianfold.requests.once.ledger import OnceLedger
from gentianfold.requests.once.messages import RunResult
from gentianfold.requests.once.records import CopyRule, Member, StoredAnswer
from gentianfold.requests.once.tickets import Permission

VMS = {f"vm{number}": f"zone{number % 3}" for number in range(6)}
ANSWER = StoredAnswer(200, (), b"booked")
OPTIONS = LedgerOptions()


@attrs.frozen
class Owned:
    slot: int
    since: int


@attrs.frozen
class Remote:
    vm: str


@attrs.define
class Authority:
    """What one VM knows of the only slot."""

    world: LedgerWorld
    vm: str
    believed: str = "vm0"

    def authority(self, slot_key, now_s):
        if self.world.owner == self.vm:
            return Owned(0, self.world.possession)
        if self.believed in (self.vm, ""):
            return Failure(KEY_HOME_IN_DOUBT)
        return Remote(self.believed)


@attrs.define
class WholeRoster:
    """Knows every member that ever was, and which ones live."""

    world: LedgerWorld
    started_at_s: float
    departed: set[Member] = attrs.field(factory=set)

    def depart(self, member):
        self.departed.add(member)

    def live(self, now_s):
        return [ledger.me for ledger in self.world.ledgers.values()]

    def recent(self, now_s):
        return [one for one in self.world.members if one not in self.departed]

    def history_s(self, now_s):
        return self.started_at_s + now_s


@attrs.define
class Permit:
    """A request that was allowed to run, on its way to the upstream."""

    ledger: OnceLedger
    ticket: str


class LedgerWorld:
    def __init__(self, rule=None, roster=WholeRoster) -> None:
        self.now_s = 0.0
        self.rule = rule or CopyRule()
        self.roster = roster
        self.owner = "vm0"
        self.possession = 1
        self.members: list[Member] = []
        self.ledgers: dict[str, OnceLedger] = {}
        self.beliefs: dict[str, Authority] = {}
        self.incarnations = itertools.count(1)
        self.network: list[tuple[str, Send]] = []
        self.permits: list[Permit] = []
        self.running: list[Permit] = []
        self.names: dict[str, tuple[str, bytes]] = {}
        self.decisions: dict[str, object] = {}
        self.runs: dict[tuple[str, bytes], list[float]] = {}
        self.ran: set[str] = set()
        for vm in VMS:
            # The first VMs have seen everything; restarted ones have not.
            self.start(vm, history_s=OPTIONS.retention_s)

    def start(self, vm: str, history_s: float | None = None) -> None:
        member = Member(vm, next(self.incarnations), VMS[vm])
        self.members.append(member)
        self.beliefs[vm] = Authority(self, vm)
        known_s = -self.now_s if history_s is None else history_s
        roster = self.roster(self, known_s)
        self.ledgers[vm] = OnceLedger(
            member, self.beliefs[vm], roster, self.rule, OPTIONS
        )

    def crash(self, vm: str) -> None:
        gone = self.ledgers.pop(vm, None)
        self.permits = [one for one in self.permits if one.ledger is not gone]
        self.running = [one for one in self.running if one.ledger is not gone]

    def stop(self, vm: str) -> None:
        """Stop a VM as planned, if the others take its records in time."""
        ledger = self.ledgers[vm]
        ledger.stop()
        for _ in range(6):
            self.now_s += 0.25
            self.tick(vm)
            self.settle()
        self.crash(vm)

    def apply(self, vm: str, effects) -> None:
        for effect in effects:
            if isinstance(effect, Send):
                self.network.append((vm, effect))
            else:
                self.decide(vm, effect)

    def decide(self, vm: str, decided) -> None:
        assert decided.ticket not in self.decisions, "decided twice"
        self.decisions[decided.ticket] = decided.decision
        if decided.decision is Permission.RUN:
            self.permits.append(Permit(self.ledgers[vm], decided.ticket))
        self.check_not_run()

    def check_not_run(self) -> None:
        refused = {
            ticket
            for ticket, decision in self.decisions.items()
            if isinstance(decision, Failure)
            and decision.code.run_state is RunState.NOT_RUN
        }
        assert not refused & self.ran, "refused as not run, and it ran"

    def request(self, vm: str, key: bytes, digest: bytes = b"d") -> str:
        ledger = self.ledgers[vm]
        ticket, effects = ledger.open("stall", key, digest, self.now_s + 2, self.now_s)
        self.names[ticket] = ("stall", key)
        self.apply(vm, effects)
        return ticket

    def deliver(self, index: int, keep: bool = False) -> None:
        sender, send = self.network[index]
        if not keep:
            del self.network[index]
        ledger = self.ledgers.get(send.vm)
        if ledger is not None:
            self.apply(send.vm, ledger.handle(sender, send.message, self.now_s))

    def settle(self) -> None:
        while self.network:
            self.deliver(0)

    def tick(self, vm: str) -> None:
        self.apply(vm, self.ledgers[vm].tick(self.now_s))

    def forward(self, permit: Permit, shed: bool = False) -> None:
        self.permits.remove(permit)
        if not permit.ledger.may_run(permit.ticket, self.now_s):
            return
        if shed:
            self.finish(permit, RunResult.NOT_RUN)
            return
        self.ran.add(permit.ticket)
        runs = self.runs.setdefault(self.names[permit.ticket], [])
        runs.append(self.now_s)
        self.running.append(permit)
        self.check_not_run()
        remembered_s = OPTIONS.retention_s - OPTIONS.ticket_limit_s
        for earlier, later in itertools.pairwise(runs):
            assert later - earlier >= remembered_s, "ran twice"

    def finish(self, permit: Permit, result: RunResult) -> None:
        if permit in self.running:
            self.running.remove(permit)
        answer = ANSWER if result is RunResult.ANSWERED else None
        ledger = permit.ledger
        effects = ledger.finish(permit.ticket, result, answer, self.now_s)
        self.apply(ledger.me.vm, effects)

    def own(self, vm: str) -> None:
        self.owner = vm
        self.possession += 1

    def believe(self, vm: str) -> None:
        for authority in self.beliefs.values():
            authority.believed = vm
