"""Keeps a service's upstreams by their state, so that a choice looks at few of them.

Answers the load of about a thousand requests a second at a hundred upstreams and more:
walking all upstreams for each request took most of the broker's processor time. Events
file an upstream anew; a decision reads the first upstreams of the groups that it may
use, and an update of the working sets puts the groups in order.
"""

from __future__ import annotations

import itertools
import math
from typing import TYPE_CHECKING, TypeAlias

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from gentianfold.placement.slot_request import SlotRequest
    from gentianfold.placement.upstream_tracker import UpstreamTracker

Group: TypeAlias = dict[str, "UpstreamTracker"]
"""Upstreams of equal state by name."""

MAX_PREFERRED = 64
"""Members looked at in the order of their last accepted requests (count): under a usual
load half of them have unused slots."""
MAX_HOMES = 64
"""Sets of zones for which a service's upstreams are kept apart (count): more than the
homes of its routes and customers differ."""

LIMITED_REFRESH_S = 0.05
"""Time for which the slots of upstreams that are held to a rate are not added up again
(seconds): one tick."""


@attrs.define(eq=False, repr=False)
class ZoneGroups:
    """Healthy upstreams of one availability zone that have unused slots.

    Within a group those used last are at the end.
    """

    members: Group = attrs.field(factory=dict)
    """Members of the working set."""
    others: Group = attrs.field(factory=dict)
    """Those outside of the working set."""
    preferred: list[UpstreamTracker] = attrs.field(factory=list)
    """Members at the last update of the working set, those that accepted requests last
    at the front; some may have no unused slot now, or be suspect."""

    def sort(self) -> None:
        """Put both groups in the order of their last use."""
        for group in (self.members, self.others):
            ordered = sorted(group.items(), key=lambda item: item[1].last_used_s)
            group.clear()
            group.update(ordered)


@attrs.define(eq=False, repr=False)
class _Filing:
    """Where an upstream is filed."""

    group: Group
    counted: int = 0
    """Its slots in use that count as those of healthy upstreams (count)."""
    slots: int = 0
    """Its slots that count as those of healthy upstreams (count)."""


@attrs.define(eq=False, repr=False)
class UpstreamPool:
    """Upstreams of one service that accept new requests, by state."""

    trackers: list[UpstreamTracker] = attrs.field(factory=list)
    """All of them."""
    zones: dict[str, ZoneGroups] = attrs.field(factory=dict)
    """Healthy ones with unused slots, by availability zone."""
    suspects: Group = attrs.field(factory=dict)
    """Suspect ones with unused slots, those that changed last at the end."""
    _suspect_names: set[str] = attrs.field(factory=set)
    _full: Group = attrs.field(factory=dict)
    _limited: Group = attrs.field(factory=dict)
    _filings: dict[str, _Filing] = attrs.field(factory=dict)
    healthy_in_use: int = 0
    """Slots in use of the healthy upstreams that state no limit (count)."""
    healthy_slots: int = 0
    """Slots of these upstreams (count)."""
    _limited_slots: float = 0.0
    _limited_until_s: float = -math.inf
    _homes: dict[tuple[str, ...], UpstreamPool] = attrs.field(factory=dict)

    def add_all(
        self, trackers: Iterable[UpstreamTracker], draw: Callable[[], float]
    ) -> None:
        """Add upstreams; those that were never used get a random order.

        Args:
            trackers: The upstreams.
            draw: Returns a random number from 0 to below 1.
        """
        self.trackers.extend(trackers)
        for tracker in sorted(
            self.trackers, key=lambda tracker: (tracker.last_used_s, draw())
        ):
            self.zones.setdefault(tracker.upstream.zone, ZoneGroups())
            self._filings[tracker.upstream.name] = _Filing(self._full)
            self.file(tracker, to_end=True)

    def within(self, zones: tuple[str, ...] | None) -> UpstreamPool:
        """Return the pool of the upstreams in some zones; ``None`` for any zone.

        It shares the groups of its zones with this one and is filed along with it.
        """
        if zones is None:
            return self
        pool = self._homes.get(zones)
        if pool is None:
            if len(self._homes) >= MAX_HOMES:
                self._homes.clear()
            pool = self._homes[zones] = self._make_part(zones)
        return pool

    def _make_part(self, zones: tuple[str, ...]) -> UpstreamPool:
        part = UpstreamPool(
            [tracker for tracker in self.trackers if tracker.upstream.zone in zones],
            {zone: self.zones[zone] for zone in zones if zone in self.zones},
        )
        part._filings = {
            tracker.upstream.name: _Filing(part._full) for tracker in part.trackers
        }
        # Those that failed longest ago stay at the front.
        for tracker in (*self.suspects.values(), *part.trackers):
            part.file(tracker)
        return part

    def file(self, tracker: UpstreamTracker, to_end: bool = False) -> None:
        """File an upstream whose state may have changed; ignore one not in the pool.

        Args:
            tracker: The upstream.
            to_end: Whether it goes to the end of its group although it is in it.
        """
        name = tracker.upstream.name
        filing = self._filings.get(name)
        if filing is None:
            return
        is_suspect = tracker.suspect_since_s is not None
        is_limited = tracker.rate_limiter.is_limited or tracker.warmup.is_started
        counted = 0 if is_suspect or is_limited else tracker.in_use
        self.healthy_in_use += counted - filing.counted
        filing.counted = counted
        slots = 0 if is_suspect or is_limited else tracker.upstream.slots
        self.healthy_slots += slots - filing.slots
        filing.slots = slots
        if is_suspect:
            self._suspect_names.add(name)
        else:
            self._suspect_names.discard(name)
        if (is_limited and not is_suspect) != (name in self._limited):
            self._limited_until_s = -math.inf
            if self._limited.pop(name, None) is None:
                self._limited[name] = tracker
        group = self._group_of(tracker, is_suspect)
        if to_end or group is not filing.group:
            filing.group.pop(name, None)
            group[name] = tracker
            filing.group = group
        for part in self._homes.values():
            part.file(tracker, to_end)

    def file_all(self) -> None:
        """File all upstreams, whose states may have changed, and sort the groups."""
        for tracker in self.trackers:
            self.file(tracker)
        for groups in self.zones.values():
            groups.sort()

    @property
    def has_healthy(self) -> bool:
        """Whether any upstream is healthy."""
        return len(self._suspect_names) < len(self.trackers)

    def held_slots(self, slot_time_s: float, now_s: float) -> float:
        """Return the slots of healthy upstreams that are held under load (count).

        Args:
            slot_time_s: Usual time for which a request holds a slot (seconds).
            now_s: Current time (seconds).
        """
        return self.healthy_in_use + self._slots_of_limited(slot_time_s, now_s)

    def usable_slots(self, slot_time_s: float, now_s: float) -> float:
        """Return the slots of healthy upstreams, those without requests among them (count).

        Args:
            slot_time_s: Usual time for which a request holds a slot (seconds).
            now_s: Current time (seconds).
        """
        return self.healthy_slots + self._slots_of_limited(slot_time_s, now_s)

    def _slots_of_limited(self, slot_time_s: float, now_s: float) -> float:
        """Return the slots that upstreams held to a rate use under load (count)."""
        if now_s >= self._limited_until_s:
            self._limited_until_s = now_s + LIMITED_REFRESH_S
            self._limited_slots = sum(
                tracker.held_slots(slot_time_s, now_s)
                for tracker in self._limited.values()
            )
        return self._limited_slots

    def has_free_slot(self, now_s: float) -> bool:
        """Tell whether any healthy upstream would start a request at once."""
        return any(
            tracker.has_free_slot(now_s)
            for groups in self.zones.values()
            for group in (groups.members, groups.others)
            for tracker in group.values()
        )

    def may_start(self, now_s: float) -> bool:
        """Tell whether any request could start now: in a free slot, or as a trial."""
        return self.has_free_slot(now_s) or any(
            tracker.has_free_slot(now_s)
            for tracker in self.suspects.values()
            if not self.has_healthy
            or (now_s >= tracker.next_trial_s and not tracker.trials_in_use)
        )

    def other_zones(self, zone: str) -> Iterator[ZoneGroups]:
        """Yield the groups of all availability zones but one."""
        return (groups for name, groups in self.zones.items() if name != zone)

    def members(
        self, groups: ZoneGroups, request: SlotRequest, now_s: float, by_proof: bool
    ) -> Iterator[UpstreamTracker]:
        """Yield members of a working set on which a request could start at once.

        Args:
            groups: The upstreams of the availability zone.
            request: The request.
            now_s: Current time (seconds).
            by_proof: Whether those that accepted requests last come first, else those
                that were used least recently.
        """
        names = set()
        if by_proof:
            preferred = itertools.islice(groups.preferred, MAX_PREFERRED)
            for tracker in usable(preferred, request, now_s):
                if tracker.suspect_since_s is None and tracker.in_working_set:
                    names.add(tracker.upstream.name)
                    yield tracker
        for tracker in usable(groups.members.values(), request, now_s):
            if tracker.upstream.name not in names:
                yield tracker

    def _group_of(self, tracker: UpstreamTracker, is_suspect: bool) -> Group:
        if tracker.in_use >= tracker.upstream.slots:
            return self._full
        if is_suspect:
            return self.suspects
        groups = self.zones[tracker.upstream.zone]
        return groups.members if tracker.in_working_set else groups.others


def usable(
    trackers: Iterable[UpstreamTracker], request: SlotRequest, now_s: float
) -> Iterator[UpstreamTracker]:
    """Yield the upstreams on which a request could start at once."""
    vm, excluded = request.vm, request.excluded
    for tracker in trackers:
        if (
            tracker.has_free_slot(now_s)
            and tracker.upstream.name not in excluded
            and not tracker.is_blocked_for(vm, now_s)
        ):
            yield tracker
