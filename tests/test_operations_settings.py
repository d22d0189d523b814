"""Reload of settings: which files are rejected, and how a change affects the router."""

import copy
import json
from dataclasses import replace

import pytest

from rookbend import config as configuration
from rookbend import interface as api
from rookbend.operations import reload_validation
from rookbend.testing.measurement_settings import SETTINGS
from tests.router_harness import ORIGIN, Rig, sent_fetches, settings

FILE = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "coordinator": "",
    "seed": "7",
    "known": {"index": 0, "updates": []},
    "settings": SETTINGS,
}


def without(path):
    raw = copy.deepcopy(FILE)
    *way, last = path
    at = raw
    for step in way:
        at = at[step]
    del at[last]
    return raw


def changed(path, value):
    raw = copy.deepcopy(FILE)
    *way, last = path
    at = raw
    for step in way:
        at = at[step]
    at[last] = value
    return raw


def every_key(value, path=()):
    """The path of each required key of the file; in a list of objects, those keys that all of them have."""
    if isinstance(value, dict):
        for key, below in value.items():
            yield (*path, key)
            if key != "known":
                yield from every_key(below, (*path, key))
    elif isinstance(value, list) and value and all(isinstance(v, dict) for v in value):
        for i, v in enumerate(value):
            for found in every_key(v, (*path, i)):
                if all(found[len(path) + 1] in other for other in value):
                    yield found


def load(tmp_path, text, before=None):
    (tmp_path / "config.json").write_text(text)
    return configuration.load({"NODE_CONFIG": str(tmp_path / "config.json")}, before)


def test_a_file_that_lacks_a_key_present_at_the_start_is_rejected_with_its_path(tmp_path):
    before = load(tmp_path, json.dumps(FILE))
    assert load(tmp_path, json.dumps(FILE), before).name == "n0"
    paths = list(every_key(FILE))
    assert ("settings", "lanes", 0, "hardLimitUs") in paths and len(paths) > 40
    for path in paths:
        with pytest.raises(configuration.ConfigError) as error:
            load(tmp_path, json.dumps(without(path)), before)
        assert str(path[-1]) in str(error.value)


@pytest.mark.parametrize(
    "path, value",
    [
        (("settings", "lanes", 0, "hardLimitUs"), 0),
        (("settings", "lanes", 1, "hardLimitUs"), -1),
        (("settings", "lanes", 0, "hardLimitUs"), "soon"),
        (("settings", "lanes", 0, "hardLimitUs"), None),
        (("settings", "limits", "maxAttempts"), 0),
        (("settings", "limits", "maxAttempts"), -3),
        (("settings", "limits", "maxAttempts"), 2.5),
        (("settings", "lanes"), []),
        (("settings", "lanes"), {}),
        (("settings", "lanes", 0, "effect"), "odd"),
        (("settings", "lanes", 0, "name"), ""),
        (("settings", "lanes", 0, "name"), "form"),
        (("settings", "familyInfo", "goesThrough"), [True]),
        (("settings", "limits", "connectTimeoutUs"), 0),
        (("coordinator",), "nowhere"),
        (("seed",), "zz"),
    ],
)
def test_an_invalid_value_is_rejected(tmp_path, path, value):
    before = load(tmp_path, json.dumps(FILE))
    with pytest.raises(configuration.ConfigError):
        load(tmp_path, json.dumps(changed(path, value)), before)


def test_a_file_truncated_anywhere_is_rejected(tmp_path):
    text = json.dumps(FILE)
    before = load(tmp_path, text)
    for end in range(0, len(text), 37):
        with pytest.raises(configuration.ConfigError):
            load(tmp_path, text[:end], before)


def test_classes_keep_their_numbers_and_removed_ones_are_retired():
    old = settings()
    a, b, c, d = old.classes
    new = api.Settings(
        **{
            **{f: getattr(old, f) for f in old.__slots__},
            "max_attempts": 2,
            "zone": 9,
            "classes": (d, replace(b, idempotency=api.Idempotency.NOT_IDEMPOTENT), replace(a, name="new")),
        }
    )
    merged = reload_validation.merge_settings(old, new)
    assert [x.name for x in merged.classes] == ["media", "pages", "orders", "pay", "new"]
    assert [x.is_retired for x in merged.classes] == [True, False, True, False, False]
    assert merged.classes[1].idempotency is api.Idempotency.NOT_IDEMPOTENT and merged.max_attempts == 2
    assert merged.zone == old.zone and reload_validation.restart_required(old, new) == ["zone"]
    assert reload_validation.effective_changes(old, merged) == ["max_attempts", "+new", "-media", "-orders", "~pages"]
    restored = reload_validation.merge_settings(merged, old)
    assert [x.is_retired for x in restored.classes] == [False, False, False, False, True], "a retired class may return"


def test_the_router_applies_new_settings_to_requests_in_flight_and_to_new_ones():
    rig = Rig()
    first, actions = rig.arrive(5, class_index=0)
    sent = sent_fetches(actions)[0]
    new = replace(
        rig.router.settings,
        max_attempts=1,
        classes=(*rig.router.settings.classes, replace(rig.router.settings.classes[0], name="fresh")),
    )
    rig.feed(api.SettingsChanged(new))
    assert not sent_fetches(
        rig.finish(sent, api.AttemptStatus.CONNECT_FAILED)
    ), "the new settings allow one attempt only"
    _, actions = rig.arrive(6, class_index=4)
    assert sent_fetches(actions), "the new class is routed"
    assert rig.router.slow_start.settings is new and rig.router.membership.settings is new
    assert all(part.settings is new for part in vars(rig.router).values() if hasattr(part, "settings"))


def test_two_active_processes_share_the_budget_of_a_cold_cache():
    def sent_at_once(processes):
        cold = api.Member(100, weight=8.0, zone=1, started_us=100_000_000)
        rig = Rig(
            members=(cold, ORIGIN, api.Member(200, weight=30.0, kind=1)), now=100_000_000, allows_direct_to_source=False
        )
        rig.feed(api.ActiveProcessesChanged(processes), after=3_000_000)
        return sum(bool(sent_fetches(rig.arrive(1000 + i, size=100.0)[1])) for i in range(200))

    alone, shared = sent_at_once(1), sent_at_once(2)
    assert 0 < shared <= alone / 2 + 1
