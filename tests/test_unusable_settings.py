"""Invalid configurations: a start exits with 2 and one line that names the file and the key; a reload changes nothing."""

import copy
import json
import signal

import pytest

from tests.test_cli import GOOD, run


def changed(path, value=None):
    """The valid configuration with the value at `path` set, or removed if `value` is None."""
    raw = copy.deepcopy(GOOD)
    *parents, key = path
    node = raw
    for parent in parents:
        node = node[parent]
    if value is None:
        del node[key]
    else:
        node[key] = value
    return json.dumps(raw)


TEXT = json.dumps(GOOD)
INVALID = {
    "empty": ("", "truncated"),
    "cut-off": (TEXT[: len(TEXT) // 2], "truncated"),
    "no-object": ("[]", "Expected `object`"),
    "wrong-type": (changed(["settings", "limits", "maxOpen"], "many"), "$.settings.limits.maxOpen"),
    "missing-key": (changed(["settings", "lanes", 0, "hardLimitUs"]), "hardLimitUs"),
    "no-deadline": (changed(["settings", "lanes", 1, "hardLimitUs"], 0), "settings.lanes[1].hardLimitUs"),
    "no-attempts": (changed(["settings", "limits", "maxAttempts"], -1), "settings.limits.maxAttempts"),
    "no-classes": (changed(["settings", "lanes"], []), "settings.lanes"),
    "unknown-effect": (changed(["settings", "lanes", 0, "effect"], "odd"), "settings.lanes[0].effect"),
    "rule-for-no-class": (changed(["settings", "familyInfo", "goesThrough"], [True]), "goes_through"),
}


@pytest.mark.parametrize("text, named", INVALID.values(), ids=INVALID)
def test_a_start_exits_with_2_and_one_line_that_names_file_and_key(tmp_path, text, named):
    process = run(tmp_path, text)
    out, err = process.communicate(timeout=20)
    assert process.returncode == 2 and out == ""
    assert err.startswith("rookbend: ") and err.count("\n") == 1
    assert str(tmp_path / "config.json") in err and named in err


def test_a_reload_is_rejected_logged_on_one_line_and_counted(tmp_path):
    process = run(tmp_path, GOOD)
    assert "event=ready" in process.stderr.readline()
    for text, named in INVALID.values():
        (tmp_path / "config.json").write_text(text)
        process.send_signal(signal.SIGHUP)
        line = process.stderr.readline()
        assert "event=reload_failed" in line and str(tmp_path / "config.json") in line
        assert named.replace("[", "").split(".")[-1][:8] in line.replace("[", "")
    process.send_signal(signal.SIGTERM)
    assert f"reloads_ok=0 reloads_failed={len(INVALID)}" in process.communicate(timeout=20)[1]
    assert process.returncode == 0
