"""Policies follow from the settings, and from what the platform states beside them."""

from __future__ import annotations

import importlib.util
import json
from pathlib import Path

import attrs
import pytest

from gentianfold.settings import Settings, parse_settings
from gentianfold.vm.policies import limit_overshoot, warmup_policy, zone_regions

ROOT = Path(__file__).resolve().parents[2]
FIELDS = {
    "node_name": "vm1",
    "ip": "127.0.0.1",
    "zone": "a",
    "region": "r",
    "listen": {
        "front": "127.0.0.1:81",
        "ready": "127.0.0.1:82",
        "control": "127.0.0.1:83",
    },
    "internal_port_range": [84, 99],
    "seed_nodes": ["127.0.0.1:83"],
    "limits": {"cpu_share": 0.86, "link_mbps": 1000.0, "memory_mb": 300},
    "bounds": {
        "retry_budget_ratio": 0.2,
        "budget_slack": 56,
        "budget_window_s": 10,
        "quota_window_s": 5,
        "grace_s": 6,
    },
    "platform_settings": {"address": "127.0.0.1:85"},
}
"""Fields that every platform states."""


def load_render():
    path = ROOT / "review/harness.py"
    spec = importlib.util.spec_from_file_location("review_harness", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module.render


def make_settings(**changes):
    """Return the settings of the deployment, filled in for a platform."""
    template = ROOT / "deploy/settings.json"
    settings = parse_settings(load_render()(template, FIELDS | changes), "vm")
    assert isinstance(settings, Settings), settings
    return settings


def test_the_template_needs_no_field_that_only_some_platforms_state():
    # VMs of deployments without zones and cold upstreams did not start.
    settings = make_settings()
    assert settings.stop.grace_s == 6
    assert zone_regions(settings) == {}
    policy = warmup_policy(settings)
    assert (policy.overshoot, policy.slack) == (1.0, 0.0)


def test_regions_and_the_bound_of_cold_upstreams_come_from_the_platform():
    bounds = FIELDS["bounds"] | {"warmup_overshoot": 1.5, "warmup_slack": 4}
    settings = make_settings(zones={"a": "r", "b": "s"}, bounds=bounds)
    assert zone_regions(settings) == {"a": "r", "b": "s"}
    policy = warmup_policy(settings)
    assert (policy.overshoot, policy.slack) == (1.5, 4.0)


def test_own_settings_go_before_those_of_the_platform():
    bounds = FIELDS["bounds"] | {"warmup_overshoot": 1.5, "warmup_slack": 4}
    fields = json.loads(
        load_render()(
            ROOT / "deploy/settings.json", FIELDS | {"bounds": bounds, "zones": {}}
        )
    )
    fields |= {"warmup": {"overshoot": 2, "slack": 0}, "zones": {"a": "north"}}
    settings = parse_settings(json.dumps(fields), "vm")
    policy = warmup_policy(settings)
    assert (policy.overshoot, policy.slack) == (2.0, 0.0)
    assert zone_regions(settings) == {"a": "north"}


@pytest.mark.parametrize(
    "stated",
    [
        {"zones": ["a"], "bounds": {"warmup_overshoot": "2"}},
        {"zones": {"a": 3, "b": ""}, "bounds": {"warmup_overshoot": 0.5}},
        {"zones": None, "bounds": {"warmup_slack": -1, "warmup_overshoot": True}},
        {"bounds": {"warmup_slack": float("inf")}},
    ],
)
def test_odd_statements_of_the_platform_are_left_out(stated):
    fields = FIELDS | stated
    fields["bounds"] = FIELDS["bounds"] | fields["bounds"]
    settings = make_settings(**fields)
    policy = warmup_policy(settings)
    assert zone_regions(settings) == {}
    assert (policy.overshoot, policy.slack) == (1.0, 0.0)


def test_what_limits_tolerate_is_as_stated_unless_the_settings_tell():
    bounds = FIELDS["bounds"]
    assert limit_overshoot(make_settings()) == 0.0
    for stated, used in ((0.1, 0.1), (0.25, 0.25), (3.0, 0.25), (-1, 0.0), ("x", 0.0)):
        settings = make_settings(bounds=bounds | {"quota_overshoot": stated})
        assert limit_overshoot(settings) == used
    own = attrs.evolve(settings.limits, overshoot=0.05)
    assert limit_overshoot(attrs.evolve(settings, limits=own)) == 0.05
