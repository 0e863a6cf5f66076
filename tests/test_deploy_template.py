"""The settings that the platform fills in from the template of the deploy file."""

import json
import pathlib
import re
import unittest

from hypothesis import given
from hypothesis import strategies as st

from comfreyusher.documents import build_from_text
from comfreyusher.node._profile import default_profile
from comfreyusher.node._shutdown_times import (
    END_MARGIN_S,
    ShutdownTimes,
    derive_shutdown_times,
)
from comfreyusher.settings import (
    Settings,
    ShutdownSettings,
    Switch,
    parse_duration_ms,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
TEMPLATE = (ROOT / "deploy" / "node.json.template").read_text()
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
VALUE = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def render(template, fields):
    """Fill in a template as the platform does: sections, values and JSON."""

    def find(path):
        value = fields
        for name in path.split("."):
            value = value[int(name)] if isinstance(value, list) else value[name]
        return value

    def find_items(path):
        try:
            value = find(path)
        except KeyError:
            return []
        return value if isinstance(value, list) else [value]

    def fill_section(match):
        items = find_items(match[1])
        texts = [match[2].replace("{{.}}", str(item)) for item in items]
        return "".join(
            text.replace("{{,}}", "," if index < len(items) - 1 else "")
            for index, text in enumerate(texts)
        )

    def fill_value(match):
        value = find(match[1])
        return json.dumps(value) if match[2] else str(value)

    return VALUE.sub(fill_value, SECTION.sub(fill_section, template))


def platform_fields(**bounds):
    """Return the fields that the platform knows, with some bounds replaced."""
    return {
        "node": "edge-1",
        "zone": "z-1",
        "region": "r",
        "ip": "10.1.0.1",
        "listen": {
            "front": "10.1.0.1:8381",
            "ready": "10.1.0.1:8388",
            "control": "10.1.0.1:8382",
        },
        "internal_ports": [7200, 7215],
        "infra": {"address": "10.200.1.7:8384"},
        "seeds": ["10.1.0.1:8382", "10.2.0.1:8382"],
        "zones": {"z-1": "r"},
        "contracts": ["base", "pool"],
        "bounds": {
            "drain": "2500ms",
            "config_apply": "2500ms",
            "retry_budget_ratio": 0.2,
            "retry_window": "10s",
            "budget_slack": 62,
            "floor_share": 0.7,
            "grace": "6s",
            **bounds,
        },
    }


def load(**bounds):
    """Return the settings that a node reads with some bounds."""
    return build_from_text(Settings, render(TEMPLATE, platform_fields(**bounds)), "t")


def durations(min_ms, max_ms):
    """Return a strategy for durations with a unit, whole or with decimals."""
    whole = st.integers(min_ms, max_ms)
    return st.one_of(
        whole.map(lambda ms: f"{ms}ms"),
        whole.map(lambda ms: f"{ms / 1000:.3f}s"),
        whole.map(lambda ms: f"{max(1, ms // 1000)}s"),
        st.floats(min_ms, max_ms).map(lambda ms: f"{ms:.2f}ms"),
    )


NUMBERS = st.one_of(st.integers(0, 5000), st.floats(0, 5000))
SHARES = st.one_of(st.integers(0, 1), st.floats(0, 1))


class TemplateTests(unittest.TestCase):
    @given(
        drain=durations(100, 60_000),
        config_apply=durations(100, 60_000),
        retry_window=durations(100, 60_000),
        grace=durations(500, 60_000),
        budget_slack=NUMBERS,
        retry_budget_ratio=SHARES,
        floor_share=SHARES,
    )
    def test_any_number_and_duration_of_the_platform_is_accepted(self, **bounds):
        # Guards against a fleet that does not start since a bound is fractional.
        fleet = load(**bounds).fleet
        self.assertEqual(fleet.retry_slack, bounds["budget_slack"])
        self.assertEqual(fleet.floor_share, bounds["floor_share"])
        self.assertEqual(fleet.upstream_drain, bounds["drain"])
        retries = default_profile(fleet).retries
        self.assertLessEqual(retries.budget_slack, bounds["budget_slack"])
        self.assertEqual(retries.window_ms, parse_duration_ms(bounds["retry_window"]))

    @given(window=durations(100, 60_000), overshoot=SHARES, slack=NUMBERS)
    def test_quotas_switch_fair_sharing_on(self, window, overshoot, slack):
        # Guards against quotas in the terms that the settings ignore or reject.
        quota = {"quota_window": window, "quota_overshoot": overshoot}
        fleet = load(**quota, quota_slack=slack).fleet
        self.assertIs(fleet.fair_sharing, Switch.ON)
        self.assertEqual(fleet.quota_window, window)
        self.assertEqual(fleet.quota_overshoot, overshoot)
        self.assertEqual(fleet.quota_slack, slack)
        self.assertIs(load().fleet.fair_sharing, Switch.OFF)

    def test_the_bound_of_a_shutdown_comes_from_the_platform(self):
        for grace, drain_timeout_s in (("6s", 2.7), ("10s", 6.7), ("6.5s", 3.2)):
            times = derive_shutdown_times(load(grace=grace).shutdown)
            self.assertAlmostEqual(times.drain_timeout_s, drain_timeout_s)
            self.assertEqual(times.leave_delay_s, 2.6)


class ShutdownTimesTests(unittest.TestCase):
    @given(
        grace_ms=st.integers(200, 120_000),
        leave_delay_s=st.floats(0, 30),
        drain_timeout_s=st.floats(0.1, 3600),
        flush_timeout_s=st.floats(0.1, 30),
    )
    def test_all_phases_end_before_the_platform_kills_the_process(
        self, grace_ms, leave_delay_s, drain_timeout_s, flush_timeout_s
    ):
        times = derive_shutdown_times(
            ShutdownSettings(
                f"{grace_ms}ms", leave_delay_s, drain_timeout_s, flush_timeout_s
            )
        )
        total_s = times.leave_delay_s + times.drain_timeout_s + times.flush_timeout_s
        self.assertLessEqual(total_s, grace_ms / 1000)
        if grace_ms >= 2000:
            others_s = leave_delay_s + flush_timeout_s + END_MARGIN_S
            needed_s = min(drain_timeout_s, grace_ms / 1000 - others_s)
            self.assertGreaterEqual(times.drain_timeout_s, needed_s - 1e-9)

    def test_without_a_grace_the_phases_are_as_configured(self):
        settings = ShutdownSettings(None, 1.0, 3600.0, 30.0)
        self.assertEqual(
            derive_shutdown_times(settings), ShutdownTimes(1.0, 3600.0, 30.0)
        )
