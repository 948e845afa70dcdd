"""VMs agree on the upstreams of a store that returns to copies of earlier contents."""

from __future__ import annotations

import random

import attrs
import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from gentianfold.fleet.messages import UpstreamEntry, decode, encode
from gentianfold.fleet.store_revision import NO_REVISION, StoreRevision
from gentianfold.fleet.upstream_list import UpstreamList

VM_COUNT = 3
MAX_DATAGRAMS = 12


@attrs.define
class Store:
    era: int = 1
    number: int = 1
    items: dict = attrs.field(factory=dict)
    history: list = attrs.field(factory=list)

    def write(self, entry):
        self.number += 1
        revision = StoreRevision(self.era, self.number)
        entry = msgspec.structs.replace(entry, revision=revision)
        self.items.pop(entry.name, None)
        if not entry.is_deleted:
            self.items[entry.name] = entry
        self.history.append(entry)

    def revision(self):
        return StoreRevision(self.era, self.number)

    def read(self):
        # Items keep their numbers, and are stated in the present era.
        return [stated_in(self.era, entry) for entry in self.items.values()]

    def changes(self, number):
        return [entry for entry in self.history if entry.revision.number > number]


def stated_in(era, entry):
    revision = StoreRevision(era, entry.revision.number)
    return msgspec.structs.replace(entry, revision=revision)


class RestoredStore(RuleBasedStateMachine):
    """Upstreams start, drain and leave; VMs read or are told; copies come back."""

    @initialize(seed=st.integers(0, 10_000))
    def start(self, seed):
        self.random = random.Random(seed)
        self.store = Store()
        self.copy = attrs.evolve(self.store)
        self.living = {}
        self.starts = 0
        self.is_settled = True
        self.list_due = set()
        self.lists = [UpstreamList() for _ in range(VM_COUNT)]
        self.read_revisions = [NO_REVISION] * VM_COUNT
        self.gone = [set() for _ in range(VM_COUNT)]
        for number in range(12):
            self.start_upstream(number)
        self.take_copy()

    def write(self, name, is_draining):
        start, sequence, _ = self.living[name]
        self.living[name] = (start, sequence + 3, is_draining)
        self.store.write(
            UpstreamEntry(
                name,
                NO_REVISION,
                service="s",
                host="h",
                port=1,
                slots=1,
                is_draining=is_draining,
                start_time_ms=start,
                sequence=sequence + 3,
            )
        )

    @rule(number=st.integers(0, 24))
    def start_upstream(self, number):
        self.starts += 1
        self.living[f"u{number}"] = (self.starts, 0, False)
        self.write(f"u{number}", is_draining=False)

    @rule()
    def drain(self):
        ready = [name for name, state in self.living.items() if not state[2]]
        if ready:
            self.write(self.random.choice(sorted(ready)), is_draining=True)

    @rule()
    def leave(self):
        if self.living:
            name = self.random.choice(sorted(self.living))
            del self.living[name]
            if name in self.store.items:
                self.store.write(UpstreamEntry(name, NO_REVISION, is_deleted=True))

    @rule()
    def take_copy(self):
        self.copy = attrs.evolve(
            self.store, items=dict(self.store.items), history=list(self.store.history)
        )

    @rule()
    def restore(self):
        self.store = attrs.evolve(
            self.copy,
            era=self.store.era + 1,
            items=dict(self.copy.items),
            history=list(self.copy.history),
        )
        self.is_settled = False

    @rule()
    def write_again(self):
        """Write what was lost, and let what only the copy holds expire."""
        for name, (start, _, is_draining) in sorted(self.living.items()):
            item = self.store.items.get(name)
            if item is None or (item.start_time_ms, item.is_draining) != (
                start,
                is_draining,
            ):
                self.write(name, is_draining)
        for name in sorted(set(self.store.items) - set(self.living)):
            self.store.write(UpstreamEntry(name, NO_REVISION, is_deleted=True))
        self.is_settled = True

    @rule(vm=st.integers(0, VM_COUNT - 1))
    def read(self, vm):
        upstreams, known = self.lists[vm], self.read_revisions[vm]
        if upstreams.revision.era > self.store.era:
            return
        revision = self.store.revision()
        if known.era == self.store.era and known.number <= self.store.number:
            for entry in self.store.changes(known.number):
                upstreams.put(stated_in(self.store.era, entry))
            upstreams.advance(revision)
        elif self.is_settled:
            upstreams.replace(self.store.read(), revision)
            upstreams.accept_withheld()
            self.list_due.discard(vm)
        else:
            upstreams.add_listed(self.store.read(), revision)
            if not upstreams.names() <= set(self.store.items):
                self.list_due.add(vm)
        self.read_revisions[vm] = revision
        self.note_gone(vm)

    @rule(
        source=st.integers(0, VM_COUNT - 1),
        receiver=st.integers(0, VM_COUNT - 1),
        is_late=st.booleans(),
    )
    def send(self, source, receiver, is_late):
        if source == receiver:
            return
        changes = self.lists[source].changes_after(self.lists[receiver].revision)
        if is_late:
            self.delayed = (receiver, encode(changes))
            return
        self.lists[receiver].merge(decode(encode(changes)))
        self.note_gone(receiver)

    @rule()
    def deliver_delayed(self):
        target, data = getattr(self, "delayed", (0, None))
        if data is not None:
            self.lists[target].merge(decode(data))
            self.note_gone(target)

    def note_gone(self, vm):
        upstreams = self.lists[vm]
        for name in [*upstreams._entries, *upstreams._tombstones]:
            entry = upstreams._entries.get(name) or upstreams._tombstones[name]
            if entry.is_draining and entry.start_time_ms:
                self.gone[vm].add((name, entry.start_time_ms))

    @invariant()
    def what_drained_is_not_used_again(self):
        for upstreams, gone in zip(
            getattr(self, "lists", []), getattr(self, "gone", []), strict=True
        ):
            for upstream in upstreams.upstreams():
                is_gone = (upstream.name, upstream.start_time_ms) in gone
                assert not (is_gone and upstreams.is_usable(upstream.name))

    def teardown(self):
        if not hasattr(self, "lists"):
            return
        self.write_again()
        self.read_revisions[0] = NO_REVISION
        self.read(0)
        for vm in range(1, VM_COUNT):
            for _ in range(MAX_DATAGRAMS):
                self.send(0, vm, is_late=False)
            primary, replica = self.lists[0], self.lists[vm]
            if vm in self.list_due or not replica.advance_revision(
                primary.last_change_revision, primary.revision
            ):
                # It may know what the first VM lacks, and lists all items then.
                self.read_revisions[vm] = NO_REVISION
                self.read(vm)
        expected = {(name, state[2]) for name, state in self.living.items()}
        for upstreams in self.lists:
            assert expected == {
                (entry.name, entry.is_draining) for entry in upstreams._entries.values()
            }


RestoredStore.TestCase.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=30, deadline=None
)
TestRestoredStore = RestoredStore.TestCase
