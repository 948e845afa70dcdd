"""The limiter of one VM, driven by explicit time and messages."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from gentianfold.limits.admission import Waiting
from gentianfold.limits.admission_system import AdmissionSystem
from gentianfold.limits.heartbeat_system import HeartbeatSystem
from gentianfold.limits.home_system import HomeSystem
from gentianfold.limits.home_table import HomeTable
from gentianfold.limits.lot_policy import LotPolicy, StandardLotPolicy
from gentianfold.limits.membership import desired_view
from gentianfold.limits.messages import (
    Ask,
    Grant,
    Heartbeat,
    Message,
    Report,
    ViewCopy,
    ViewQuery,
)
from gentianfold.limits.peer_table import PeerTable
from gentianfold.limits.pledge_giver import PledgeGiver
from gentianfold.limits.pledge_table import PledgeTable
from gentianfold.limits.share_table import (
    OwnSlot,
    RemoteOwner,
    SharePolicy,
    ShareTable,
    StrictSharePolicy,
)
from gentianfold.limits.timing import LOT_LIFETIME_S, lot_end_s
from gentianfold.limits.view_table import ViewTable

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from gentianfold.errors import Failure
    from gentianfold.limits.admission import Admission, Settled
    from gentianfold.model import RateLimit

STEP_S = 0.2
"""Time between two looks at membership and shares in a small fleet."""

EXPIRE_S = 5.0
"""Time between two looks for idle rows."""


class Limiter:
    """Decides admission on one VM; the daemon carries its messages.

    After each call the caller sends what ``take_outbox`` returns and wakes the
    requests that ``take_settled`` names. ``on_tick`` is due at ``next_due_s``.

    Args:
        own_vm: Name of this VM; at most one process uses it at a time.
        incarnation: A random positive number below 2**63, new in each process.
        now_s: Time on this VM's clock, suspended time included.
        share_policy: Proofs that possession of share slots rests on.
        lot_policy: Sizes of lots.
        giver: Decides which home gets which pledge.
    """

    def __init__(
        self,
        own_vm: str,
        incarnation: int,
        now_s: float,
        share_policy: SharePolicy | None = None,
        lot_policy: LotPolicy | None = None,
        giver: PledgeGiver | None = None,
    ) -> None:
        self.own_vm = own_vm
        self.views = ViewTable()
        self.shares = ShareTable(
            own_vm, PeerTable(incarnation), now_s, share_policy or StrictSharePolicy()
        )
        self.giver = giver or PledgeGiver()
        self.home_table = HomeTable(
            PledgeTable(own_vm, self.views),
            now_s + lot_end_s(LOT_LIFETIME_S),
            lot_policy or StandardLotPolicy(),
        )
        self.heartbeats = HeartbeatSystem(
            self.shares, self.giver, self.home_table, self.views, self._send
        )
        self.home = HomeSystem(self.home_table, self._send)
        self.admission = AdmissionSystem(own_vm, self, self._send)
        self._outbox: list[tuple[str, Message]] = []
        self._loopback: deque[Message] = deque()
        self._step_due_s = now_s
        self._expire_due_s = now_s
        self._fallback_homes = self.views.of(frozenset())

    @property
    def limits_version(self) -> int:
        """Return the configuration version of the limits passed to ``admit``."""
        return self.admission.limits_version

    @limits_version.setter
    def limits_version(self, version: int) -> None:
        self.admission.limits_version = version

    def admit(
        self,
        customer: str,
        limits: Sequence[tuple[str, RateLimit]],
        now_s: float,
    ) -> Admission:
        """Admit a request of a customer, have it wait, or refuse it.

        Args:
            customer: Name of the customer.
            limits: Names and limits that must all let the request pass.
            now_s: Time on this VM's clock, read for this call.
        """
        outcome = self.admission.admit(customer, limits, now_s)
        self._run_loopback(now_s)
        if not isinstance(outcome, Waiting):
            return outcome
        for index, settled in enumerate(self.admission.settled):
            if settled.ticket == outcome.ticket:
                del self.admission.settled[index]
                return settled.outcome
        return outcome

    def take_outbox(self) -> list[tuple[str, Message]]:
        """Return the messages to send, by VM name, and forget them."""
        outbox, self._outbox = self._outbox, []
        return outbox

    def take_settled(self) -> list[Settled]:
        """Return the outcomes of requests that waited, and forget them."""
        settled, self.admission.settled = self.admission.settled, []
        return settled

    def next_due_s(self) -> float:
        """Return when ``on_tick`` has work, unless a message comes first."""
        return min(
            self._step_due_s,
            self.heartbeats.next_due_s,
            self.home.next_due_s,
            self.admission.next_due_s,
        )

    def on_tick(self, now_s: float) -> None:
        """Do what is due by now."""
        self.heartbeats.step(now_s)
        if now_s >= self._step_due_s:
            self._step_due_s = now_s + STEP_S * self.shares.timing.heartbeat_s
            self._step(now_s)
        self.home.step(now_s)
        self.admission.step(now_s)
        if now_s >= self._expire_due_s:
            self._expire_due_s = now_s + EXPIRE_S
            self.admission.expire(now_s)
            self.home_table.expire(now_s)
        self._run_loopback(now_s)

    def on_message(self, sender: str, message: Message, now_s: float) -> None:
        """Take in a message of another VM's limiter."""
        self._dispatch(sender, message, now_s)
        self._run_loopback(now_s)

    def on_list(self, version: int, members: Iterable[str], now_s: float) -> None:
        """Take in a version of the VM list, without VMs that are leaving."""
        given_up = self.shares.on_list(
            version, frozenset(members), self.giver.generation + 1, now_s
        )
        self.heartbeats.refresh_recipients(now_s)
        if given_up:
            self._start_generation(now_s)

    def on_off(self, vms: Iterable[str], now_s: float) -> None:
        """Take the operators' word that VMs are switched off for good."""
        self.shares.on_off(frozenset(vms), now_s)

    def on_stop(self, now_s: float) -> None:
        """Begin a planned stop: give slots up and be no home any more."""
        self.shares.release_all(self.giver.generation + 1)
        self._start_generation(now_s)

    def stopped(self) -> bool:
        """Tell whether a planned stop has handed everything on."""
        return self.shares.stopping and not self.shares.releasing

    def authority(
        self, slot_key: bytes, now_s: float
    ) -> OwnSlot | RemoteOwner | Failure:
        """Say who exclusively possesses the share slot that a key falls into."""
        return self.shares.authority(slot_key, now_s)

    def homes_of(self, home_slot: int) -> list[str]:
        """Return the possible homes of a bucket, the likeliest first."""
        named = [self.giver.home_of(home_slot)]
        if self.giver.next_view is not None:
            named.append(self.giver.next_view.homes.owner(home_slot))
        if self._fallback_homes.members:
            named.append(self._fallback_homes.homes.owner(home_slot))
        homes = [home for home in dict.fromkeys(named) if home is not None]
        # No message is needed to learn that this VM holds no share.
        own_first = len(homes) > 1 and homes[0] == self.own_vm
        if own_first and not self.home_table.pledges.share(home_slot):
            return homes[1:]
        return homes

    def _step(self, now_s: float) -> None:
        shares, giver = self.shares, self.giver
        shares.step(lambda generation: giver.over(generation, now_s), now_s)
        self.heartbeats.refresh_recipients(now_s)
        self._move_view(now_s)
        self.heartbeats.pledge_to_self(now_s)

    def _move_view(self, now_s: float) -> None:
        giver = self.giver
        present = giver.view.members if giver.view else frozenset()
        members = desired_view(self.shares, present, now_s)
        if not members:
            return
        desired = self.views.of(members)
        self._fallback_homes = self.views.of(members - {self.own_vm})
        before = (giver.view, giver.next_view)
        giver.move_to(desired, now_s)
        if before != (giver.view, giver.next_view):
            # Homes should learn at once what they lost and what they gained.
            self.heartbeats.pledge_to_self(now_s)
            self.heartbeats.beat_all(now_s)

    def _start_generation(self, now_s: float) -> None:
        self.giver.start_generation()
        self.heartbeats.pledge_to_self(now_s)
        self.heartbeats.beat_all(now_s)

    def _send(self, vm: str, message: Message) -> None:
        if vm == self.own_vm:
            self._loopback.append(message)
        else:
            self._outbox.append((vm, message))

    def _run_loopback(self, now_s: float) -> None:
        while self._loopback:
            self._dispatch(self.own_vm, self._loopback.popleft(), now_s)

    def _dispatch(self, sender: str, message: Message, now_s: float) -> None:
        match message:
            case Ask():
                self.home.on_ask(sender, message, now_s)
            case Grant():
                self.admission.on_grant(sender, message, now_s)
            case Report():
                self.home.on_report(sender, message, now_s)
            case Heartbeat():
                self.heartbeats.on_heartbeat(sender, message, now_s)
            case ViewQuery():
                self.heartbeats.on_view_query(sender, message)
            case ViewCopy():
                self.heartbeats.on_view_copy(message, now_s)
