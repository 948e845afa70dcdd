"""Rules larger than a published value go over several shards and come back whole."""

from __future__ import annotations

from gentianfold.configuration.publication import publish_configuration
from gentianfold.configuration.root import MAX_VALUE_BYTES
from gentianfold.configuration.store import ConfigurationStore
from gentianfold.model import Upstream
from gentianfold.rules import parse_rules

LINE = "customer c{} rate=5/s burst=20  # Saraa (contracts): one of many"
UPSTREAMS = [Upstream("u", "s", "127.0.0.1", 1, "z")]


def load(rules_text):
    values = {}
    publish_configuration(
        values.__setitem__, version=1, rules_text=rules_text, upstreams=UPSTREAMS
    )
    store = ConfigurationStore(parse_rules)
    store.offer_root(values["config"], 0.0)
    for shard in reversed(store.missing()):
        store.offer_shard(shard.name, values[shard.name], 0.0)
    return values, store


def test_rules_over_the_size_of_a_value_are_split_and_joined():
    lines = ["service s floor=50%  # Saraa (contracts): all", "\u2028# \x0c whole"]
    lines += [LINE.format(number) for number in range(25_000)]
    values, store = load("\n".join(lines))
    assert sum(name.startswith("rules") for name in values) > 2
    assert max(map(len, values.values())) <= MAX_VALUE_BYTES
    assert len(store.snapshot.rules.customers) == 25_000
    broken = "\n".join([*lines, "customer"])
    _, refused = load(broken)
    assert refused.snapshot is None
    assert refused.refusal.failures[0].location.line == len(lines) + 1
