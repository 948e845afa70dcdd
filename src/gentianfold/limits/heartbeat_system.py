"""Exchanges heartbeats, and the pledges that they carry."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

import attrs

from gentianfold.limits.messages import Heartbeat, Message, ViewCopy, ViewQuery

if TYPE_CHECKING:
    from collections.abc import Callable

    from gentianfold.limits.home_table import HomeTable
    from gentianfold.limits.messages import Pledge
    from gentianfold.limits.pledge_giver import PledgeGiver
    from gentianfold.limits.share_table import ShareTable
    from gentianfold.limits.view_table import ViewTable


@attrs.define
class HeartbeatSystem:
    """Sends each peer a heartbeat a period, and takes theirs in."""

    shares: ShareTable
    """Share slots in possession."""
    giver: PledgeGiver
    """Pledges given."""
    homes: HomeTable
    """Buckets that rest on pledges received."""
    views: ViewTable
    """Known views."""
    send: Callable[[str, Message], None]
    """Sends a message to a VM."""
    recipients: frozenset[str] = frozenset()
    """The peers."""
    _due: list[tuple[float, str]] = attrs.field(factory=list)
    _sequence: int = 0
    _queried: set[bytes] = attrs.field(factory=set)

    @property
    def next_due_s(self) -> float:
        """Return when the next heartbeat is due."""
        return self._due[0][0] if self._due else float("inf")

    def step(self, now_s: float) -> None:
        """Send the heartbeats that are due."""
        while self._due and self._due[0][0] <= now_s:
            _, vm = heapq.heappop(self._due)
            if vm not in self.recipients:
                continue
            self.beat(vm, now_s)
            due_s = now_s + self.shares.timing.heartbeat_s
            heapq.heappush(self._due, (due_s, vm))

    def refresh_recipients(self, now_s: float) -> None:
        """Follow the VM list; peers that are new get a heartbeat soon."""
        departed = self.shares.history.departed()
        wanted = (self.shares.members | departed) - {self.shares.own_vm}
        if wanted == self.recipients:
            return
        queued = {vm for _, vm in self._due}
        period_s = self.shares.timing.heartbeat_s
        added = sorted(wanted - self.recipients - queued)
        for index, vm in enumerate(added):
            # Spread over a period, so that a large fleet sends evenly.
            offset_s = period_s * index / len(added) if period_s > 1.0 else 0.0
            heapq.heappush(self._due, (now_s + offset_s, vm))
        self.recipients = frozenset(wanted)
        self.shares.peers.keep_only(wanted)

    def beat_all(self, now_s: float) -> None:
        """Send every peer a heartbeat at once, because pledges changed."""
        for vm in sorted(self.recipients):
            self.beat(vm, now_s)

    def beat(self, vm: str, now_s: float) -> None:
        """Send one heartbeat, with the pledge that the peer is due."""
        shares, row = self.shares, self.shares.peers.rows.get(vm)
        pledge = None
        if row is not None and shares.usable(now_s):
            pledge = self.giver.pledge_for(
                vm, len(shares.held), shares.timing, row.heard_s
            )
        self._sequence += 1
        self.send(
            vm,
            Heartbeat(
                incarnation=shares.peers.incarnation,
                sequence=self._sequence,
                ping_s=now_s,
                echo_incarnation=row.heartbeat.incarnation if row else 0,
                echo_s=row.heartbeat.ping_s if row else 0.0,
                version=shares.version,
                established=shares.established,
                founder=shares.founder,
                young=shares.young,
                stopping=shares.stopping,
                held_count=len(shares.held) + len(shares.releasing),
                releasing=tuple(shares.releasing),
                open_versions=tuple(shares.history.open_lists),
                generation=self.giver.generation,
                generation_ack=row.heartbeat.generation if row else 0,
                pledge=pledge,
            ),
        )

    def on_heartbeat(self, vm: str, heartbeat: Heartbeat, now_s: float) -> None:
        """Take a heartbeat in: peer state, acknowledgements and the pledge."""
        peers = self.shares.peers
        before = peers.rows.get(vm)
        known = before.heartbeat if before else None
        if not peers.on_heartbeat(vm, heartbeat, now_s):
            return
        answers_me = heartbeat.echo_incarnation == peers.incarnation
        if answers_me:
            self.giver.on_ack(vm, heartbeat.generation_ack, now_s)
        pledge = heartbeat.pledge if answers_me else None
        self._put(vm, heartbeat.incarnation, pledge, heartbeat.echo_s, now_s)
        for digest in (pledge.view, pledge.next_view) if pledge else ():
            if self.views.get(digest) is None and digest not in self._queried:
                self._queried.add(digest)
                self.send(vm, ViewQuery(digest))
        is_news = (
            known is None
            or known.incarnation != heartbeat.incarnation
            or known.generation != heartbeat.generation
        )
        if is_news and vm in self.recipients:
            # The peer waits for the acknowledgement before it pledges elsewhere.
            self.beat(vm, now_s)

    def pledge_to_self(self, now_s: float) -> None:
        """Count the own share towards the buckets that this VM is home of."""
        shares, own_vm = self.shares, self.shares.own_vm
        pledge = None
        if shares.usable(now_s):
            pledge = self.giver.pledge_for(
                own_vm, len(shares.held), shares.timing, now_s
            )
        self._put(own_vm, shares.peers.incarnation, pledge, now_s, now_s)
        self.giver.on_ack(own_vm, self.giver.generation, now_s)

    def on_view_query(self, vm: str, query: ViewQuery) -> None:
        """Tell the members of a view, if it is known."""
        view = self.views.get(query.digest)
        if view is not None:
            self.send(vm, ViewCopy(tuple(sorted(view.members))))

    def on_view_copy(self, copy: ViewCopy, now_s: float) -> None:
        """Learn a view; pledges by it count from now on."""
        digest = self.views.of(frozenset(copy.members)).digest
        self._queried.discard(digest)
        self.homes.lapse(now_s)
        self.homes.settle_all(now_s)
        self.homes.pledges.on_view_known(digest, now_s)
        self.homes.settle_all(now_s)

    def _put(
        self,
        vm: str,
        incarnation: int,
        pledge: Pledge | None,
        ping_s: float,
        now_s: float,
    ) -> None:
        homes, pledges = self.homes, self.homes.pledges
        homes.lapse(now_s)
        changes = pledges.changes_share(vm, incarnation, pledge)
        if changes:
            homes.settle_all(now_s)
        pledges.put(vm, incarnation, pledge, ping_s, now_s)
        if changes:
            homes.settle_all(now_s)
