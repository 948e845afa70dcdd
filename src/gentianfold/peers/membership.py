"""Each VM's own view of its peers."""

from __future__ import annotations

from itertools import cycle, islice
from typing import TYPE_CHECKING

import attrs

from gentianfold.configuration.vm_list import VmState
from gentianfold.peers.bitmap import decode_bitmap, encode_bitmap
from gentianfold.peers.incarnation import Incarnation
from gentianfold.peers.membership_events import (
    MembershipEvent,
    Paused,
    PeerRestarted,
    StateChanged,
)
from gentianfold.peers.messages import Heartbeat, RelayedRow
from gentianfold.peers.neighbours import choose_neighbours
from gentianfold.peers.peer_row import NEVER_S, PeerRow, PeerState
from gentianfold.peers.replay_window import ReplayWindow

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Mapping

    from gentianfold.configuration.vm_list import VmList

HEARTBEAT_S = 1.0
"""Time between two heartbeats to a direct peer."""
SUSPECT_S = 3.0
"""Silence after which a direct peer is suspect."""
RELAYED_SUSPECT_S = 30.0
"""Silence after which a peer that is only heard of by relay is suspect."""
GONE_S = 60.0
"""Silence after which a peer is gone."""
PAUSE_S = 1.5
"""Gap between own ticks that counts as a pause of this process."""
RELAYED_ROWS = 8
"""Relayed rows in one heartbeat."""
GOLDEN_RATIO = 0.618034
"""Share of the relayed rows by which their start moves on each second."""


@attrs.define(eq=False)
class MembershipTable:
    """Keeps a row for each listed peer; pure, with explicit time."""

    own: str
    """Name of this VM."""
    incarnation: Incarnation
    """Incarnation of this process."""
    rows: dict[str, PeerRow] = attrs.field(factory=dict)
    """Rows by peer name."""
    neighbours: frozenset[str] = frozenset()
    """Peers that exchange heartbeats with this VM directly."""
    vm_list_version: int = 0
    """Version of the VM list that the rows follow."""
    newest_config_version: int = 0
    """Newest configuration that any peer has in force."""
    newest_vm_list_version: int = 0
    """Newest VM list that any peer has adopted."""
    resumed_s: float = NEVER_S
    """When this process last went on after a pause."""
    _order: tuple[str, ...] = attrs.field(default=(), init=False)
    _born_s: float | None = attrs.field(default=None, init=False)
    _ticked_s: float | None = attrs.field(default=None, init=False)
    _relay_cycle: Iterator[int] = attrs.field(factory=lambda: iter(()), init=False)
    _relay_turn: int = attrs.field(default=0, init=False)
    _relayed_s: float = attrs.field(default=NEVER_S, init=False)
    _judged_s: float = attrs.field(default=NEVER_S, init=False)
    _hears: tuple[float, bytes] = attrs.field(default=(NEVER_S, b""), init=False)

    def adopt_vm_list(self, vm_list: VmList) -> None:
        """Follow a newer VM list; rows of VMs that left it are dropped."""
        if vm_list.version <= self.vm_list_version:
            return
        self.vm_list_version = vm_list.version
        listed = {vm.name: vm for vm in vm_list.vms if vm.name != self.own}
        self._order = tuple(sorted(vm.name for vm in vm_list.vms))
        self._hears = NEVER_S, b""
        self._relayed_s = NEVER_S
        self.neighbours = choose_neighbours(self.own, self._order)
        rows = {name: self.rows.get(name) or PeerRow(vm) for name, vm in listed.items()}
        for name, row in rows.items():
            row.vm = listed[name]
            row.hears, row.hears_bitmap = frozenset(), None
        self.rows = rows

    def on_tick(self, now_s: float) -> tuple[MembershipEvent, ...]:
        """Let time pass for all rows; call at least every second."""
        pauses = self.check_pause(now_s)
        names: Iterable[str] = self.neighbours
        if now_s - self._judged_s >= HEARTBEAT_S:
            self._judged_s, names = now_s, self.rows
        changes = (self._update_state(self.rows[name], now_s) for name in names)
        return pauses + tuple(change for change in changes if change)

    def check_pause(self, now_s: float) -> tuple[MembershipEvent, ...]:
        """Say whether this process paused; call before acting on any message."""
        last_s, self._ticked_s = self._ticked_s, now_s
        if last_s is None:
            self._born_s = now_s
            return ()
        if now_s - last_s <= PAUSE_S:
            return ()
        # Heartbeats that came in the meantime wait to be read; the silence
        # is this process's own, so peers get the full time again.
        self.resumed_s = now_s
        return (Paused(now_s - last_s),)

    def accept(
        self, sender: str, incarnation: Incarnation, seq: int, now_s: float
    ) -> tuple[MembershipEvent, ...] | None:
        """Check who sent a message; ``None`` means that it must be dropped."""
        row = self.rows.get(sender)
        if row is None:
            return None
        if row.incarnation == incarnation:
            return () if row.window.accept(seq) else None
        known = row.incarnation
        if known and incarnation < known and row.is_heard(now_s, RELAYED_SUSPECT_S):
            return None
        # A VM whose wall clock went back is accepted once the other is silent.
        self._restart(row, incarnation)
        row.window.accept(seq)
        return (PeerRestarted(sender, known, incarnation),) if known else ()

    def on_heartbeat(
        self, sender: str, heartbeat: Heartbeat, now_s: float
    ) -> tuple[MembershipEvent, ...] | None:
        """Learn from an accepted heartbeat; ``None`` means that a later one came."""
        row = self.rows[sender]
        if row.peer_sent_s is not None and heartbeat.sent_s < row.peer_sent_s:
            return None
        row.heard_s = row.evidence_s = now_s
        row.peer_sent_s = heartbeat.sent_s
        self._learn_versions(row, heartbeat.config_version, heartbeat.vm_list_version)
        row.leaving = heartbeat.leaving
        self._learn_echo(row, heartbeat, now_s)
        if heartbeat.vm_list_version == self.vm_list_version:
            self._learn_bitmap(row, heartbeat.hears)
            self._learn_relayed(heartbeat.relayed, now_s)
        change = self._update_state(row, now_s)
        return (change,) if change else ()

    def compose(
        self,
        peer: str,
        now_s: float,
        config_version: int = 0,
        leaving: bool = False,
        extensions: Mapping[str, bytes] | None = None,
    ) -> Heartbeat:
        """Build the heartbeat for a peer."""
        row = self.rows[peer]
        return Heartbeat(
            sent_s=now_s,
            echo_sent_s=row.peer_sent_s,
            echo_held_s=now_s - row.heard_s if row.peer_sent_s is not None else 0.0,
            config_version=config_version,
            vm_list_version=self.vm_list_version,
            hears=self._encode_heard(now_s),
            leaving=leaving,
            extensions=dict(extensions or {}),
            relayed=self._choose_relayed(peer, now_s),
        )

    def heard(self, now_s: float, within_s: float = SUSPECT_S) -> frozenset[str]:
        """Return the direct peers heard within the last ``within_s``."""
        rows = self.rows
        return frozenset(
            name for name in self.neighbours if rows[name].is_heard(now_s, within_s)
        )

    def acknowledging(self, now_s: float, within_s: float) -> frozenset[str]:
        """Return the direct peers known to hear this VM within ``within_s``."""
        rows = self.rows
        return frozenset(
            name for name in self.neighbours if rows[name].hears_us(now_s, within_s)
        )

    def live(self) -> frozenset[str]:
        """Return the peers that are live, neither leaving nor suspect."""
        rows = self.rows.items()
        return frozenset(n for n, row in rows if row.state is PeerState.LIVE)

    def _encode_heard(self, now_s: float) -> bytes:
        # All heartbeats of one tick carry the same bitmap.
        if self._hears[0] != now_s:
            self._hears = now_s, encode_bitmap(self.heard(now_s), self._order)
        return self._hears[1]

    def _learn_bitmap(self, row: PeerRow, bitmap: bytes) -> None:
        # The bitmap seldom changes between two heartbeats.
        if bitmap != row.hears_bitmap:
            row.hears_bitmap = bitmap
            row.hears = frozenset(decode_bitmap(bitmap, self._order))

    def _learn_versions(self, row: PeerRow, config: int, vm_list: int) -> None:
        row.config_version = max(row.config_version, config)
        row.vm_list_version = max(row.vm_list_version, vm_list)
        self.newest_config_version = max(self.newest_config_version, config)
        self.newest_vm_list_version = max(self.newest_vm_list_version, vm_list)

    def _learn_echo(self, row: PeerRow, heartbeat: Heartbeat, now_s: float) -> None:
        echo_s = heartbeat.echo_sent_s
        # The clock goes on when a process restarts: an echo of what an earlier
        # incarnation sent proves nothing about this one.
        if echo_s is None or self._born_s is None or echo_s < self._born_s:
            return
        if not row.acknowledged_s < echo_s <= now_s:
            return
        row.acknowledged_s = echo_s
        row.round_trip_s = max(0.0, now_s - echo_s - heartbeat.echo_held_s)

    def _learn_relayed(self, relayed: Iterable[RelayedRow], now_s: float) -> None:
        for item in relayed:
            if not 0 <= item.position < len(self._order) or item.age_ms < 0:
                continue
            row = self.rows.get(self._order[item.position])
            evidence_s = now_s - item.age_ms / 1000
            if row is None or evidence_s <= row.evidence_s:
                continue
            known = row.incarnation
            if known is None or known.nonce != item.nonce:
                incarnation = Incarnation(item.started_ms, item.nonce)
                if known and incarnation < known:
                    continue
                self._restart(row, incarnation)
            row.evidence_s = evidence_s
            self._learn_versions(row, item.config_version, item.vm_list_version)

    def _choose_relayed(self, peer: str, now_s: float) -> tuple[RelayedRow, ...]:
        if len(self.neighbours) + 1 >= len(self._order):
            return ()
        if now_s - self._relayed_s >= HEARTBEAT_S:
            self._choose_candidates(now_s)
        chosen = list(islice(self._relay_cycle, RELAYED_ROWS))
        named = ((place, self.rows[self._order[place]]) for place in chosen)
        return tuple(
            RelayedRow(
                place,
                row.incarnation.started_ms,
                row.incarnation.nonce,
                round((now_s - row.evidence_s) * 1000),
                row.config_version,
                row.vm_list_version,
            )
            for place, row in named
            if row.incarnation and row.vm.name != peer
            if self._is_relayable(row, now_s)
        )

    def _choose_candidates(self, now_s: float) -> None:
        # The newest evidence is relayed, since the fewest VMs have it yet; each
        # second, another neighbour gets the newest of all.
        self._relayed_s = now_s
        rows = ((i, self.rows.get(name)) for i, name in enumerate(self._order))
        known = sorted((now_s - row.evidence_s, i) for i, row in rows if row)
        fresh = [i for age_s, i in known if age_s < RELAYED_SUSPECT_S]
        fresh = fresh[: RELAYED_ROWS * len(self.neighbours)]
        self._relay_turn += 1
        start = int(self._relay_turn * GOLDEN_RATIO % 1 * len(fresh))
        self._relay_cycle = cycle(fresh[start:] + fresh[:start])

    def _is_relayable(self, row: PeerRow, now_s: float) -> bool:
        return now_s - row.evidence_s < RELAYED_SUSPECT_S

    def _restart(self, row: PeerRow, incarnation: Incarnation) -> None:
        row.incarnation, row.window = incarnation, ReplayWindow()
        row.heard_s = row.evidence_s = row.acknowledged_s = NEVER_S
        row.peer_sent_s, row.leaving = None, False
        row.hears, row.hears_bitmap = frozenset(), None
        row.config_version = row.vm_list_version = 0

    def _update_state(self, row: PeerRow, now_s: float) -> StateChanged | None:
        new = self._judge(row, now_s)
        if new is row.state:
            return None
        old, row.state = row.state, new
        return StateChanged(row.vm.name, old, new)

    def _judge(self, row: PeerRow, now_s: float) -> PeerState:
        if row.evidence_s == NEVER_S:
            return PeerState.UNHEARD
        direct = row.vm.name in self.neighbours
        seen_s = row.heard_s if direct else row.evidence_s
        silence_s = now_s - max(seen_s, self.resumed_s)
        if silence_s > GONE_S:
            return PeerState.GONE
        if silence_s > (SUSPECT_S if direct else RELAYED_SUSPECT_S):
            return PeerState.SUSPECT
        if row.leaving or row.vm.state is VmState.LEAVING:
            return PeerState.LEAVING
        return PeerState.LIVE
