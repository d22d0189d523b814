"""The command line and the configuration: an error is one line on standard error, with exit code 2."""

import json
import os
import signal
import subprocess
import sys

import pytest

from rookbend import config as configuration
from tests.director_scenario import SETTINGS

GOOD = {"name": "n3", "listen": "127.0.0.1:0", "seed": "8c1f", "settings": SETTINGS}


def run(tmp_path, config, *arguments, **environ):
    path = tmp_path / "config.json"
    path.write_text(config if isinstance(config, str) else json.dumps(config))
    env = {**os.environ, "NODE_CONFIG": str(path), **environ}
    return subprocess.Popen(
        [sys.executable, "-m", "rookbend", *arguments],
        env=env,
        text=True,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )


def without(name, part="settings"):
    changed = json.loads(json.dumps(GOOD))
    changed[part].pop(name)
    return changed


@pytest.mark.parametrize(
    "config",
    [
        "{",
        "[]",
        without("lanes"),
        without("limits"),
        {**GOOD, "listen": "nowhere"},
        {**GOOD, "seed": "xyz"},
        {**GOOD, "settings": {**SETTINGS, "lanes": []}},
        {**GOOD, "limits": {"sockets": 3}},
        {**GOOD, "limits": {"memory_mb": 31}},
        {**GOOD, "settings": {**SETTINGS, "lanes": [{**SETTINGS["lanes"][0], "effect": "odd"}]}},
    ],
)
def test_a_bad_configuration_gives_an_error_of_one_line_and_exit_code_2(tmp_path, config):
    process = run(tmp_path, config)
    out, err = process.communicate()
    assert process.returncode == 2 and out == ""
    assert err.startswith("rookbend: ") and err.count("\n") == 1


@pytest.mark.parametrize(
    "text, fault",
    [
        ("[dns]\n  listen 5\n", "2: listen: no HOST:PORT"),
        ("[health]\n\n[check a]\n  type tcp\n", "3: [check a] probes members, which the platform's settings forbid"),
    ],
)
def test_bad_operator_settings_give_an_error_with_its_line_number_and_exit_code_2(tmp_path, text, fault):
    path = tmp_path / "rookbend.conf"
    path.write_text(text)
    process = run(tmp_path, GOOD, NODE_SETTINGS=str(path))
    _, err = process.communicate()
    assert process.returncode == 2 and err.count("\n") == 1 and f"{path}:{fault}" in err


def test_check_config_prints_a_summary(tmp_path):
    out, _ = run(tmp_path, GOOD, "check-config", NODE_NAME="n9").communicate()
    assert "n9 would listen on 127.0.0.1:0: 2 classes" in out and "DNS: off" in out


def test_version_lists_the_libraries(tmp_path):
    out, _ = run(tmp_path, GOOD, "version").communicate()
    assert out.startswith("rookbend ") and "\ntrio " in out


def test_serve_logs_counters_on_sigusr1_and_exits_with_0_on_sigterm(tmp_path):
    process = run(tmp_path, GOOD)
    assert "event=ready director=n3" in process.stderr.readline()
    process.send_signal(signal.SIGUSR1)
    assert "event=counters requests=0" in process.stderr.readline()
    process.send_signal(signal.SIGTERM)
    _, err = process.communicate()
    assert process.returncode == 0
    assert "event=draining" in err and "event=stopped" in err and "event=counters requests=0" in err


def test_sighup_reloads_the_configuration_and_a_bad_one_changes_nothing(tmp_path):
    process = run(tmp_path, GOOD)
    assert "event=ready director=n3" in process.stderr.readline()
    for text, line in (
        ("{", 'event=reload_failed reason="NODE_CONFIG is not usable'),
        (
            json.dumps({**GOOD, "seed": "2", "coordinator": "127.0.0.1:9", "listen": "127.0.0.1:1"}),
            "event=reloaded coordinator=127.0.0.1:9 changed=nothing restart_for=listen",
        ),
    ):
        (tmp_path / "config.json").write_text(text)
        process.send_signal(signal.SIGHUP)
        assert line in process.stderr.readline()
    process.send_signal(signal.SIGTERM)
    assert "reloads_ok=1 reloads_failed=1" in process.communicate()[1] and process.returncode == 0


def test_an_unusable_listen_address_gives_an_error_of_one_line_and_exit_code_1(tmp_path):
    process = run(tmp_path, GOOD, NODE_LISTEN="192.0.2.1:9")
    _, err = process.communicate()
    assert process.returncode == 1 and err.count("\n") == 1


def test_platform_settings_in_json_and_in_the_simulators_text_give_the_same_values():
    """The router's settings come as nested JSON from the platform, or as paths and values from the simulator."""
    import msgspec

    from rookbend import simulator_settings

    def paths(value, at=""):
        if isinstance(value, dict):
            return [line for k, v in value.items() for line in paths(v, f"{at}.{k}" if at else k)]
        if isinstance(value, list) and value and isinstance(value[0], dict):
            inner = [line for i, v in enumerate(value) for line in paths(v, f"{at}.{i}")]
            return [f"{at}.count={len(value)}", *inner]
        text = ",".join(map(str, value)) if isinstance(value, list) else str(value)
        return [
            f"{at}={text.lower() if isinstance(value, bool) else text.replace('True', 'true').replace('False', 'false')}"
        ]

    nested = configuration.to_router_settings(msgspec.convert(SETTINGS, configuration.PlatformSettings))
    assert nested == simulator_settings.parse_settings("\n".join(paths(SETTINGS)))


def test_modules_of_disabled_features_are_not_imported():
    """Guards the memory use on the platform: a director with only its own client listener imports none of these modules."""
    off = (
        "dns",
        "h2",
        "google.protobuf",
        "prometheus_client",
        "rookbend.health.registry",
        "rookbend.scheduling",
        "rookbend.net.checks",
        "rookbend.net.dns_server",
        "rookbend.net.dns_resolver",
        "rookbend.fronts.dns",
        "rookbend.net.http_server",
        "rookbend.net.bounded_server",
        "rookbend.net.check_exchange",
        "rookbend.net.status_servers",
        "rookbend.testing",
        "rookbend.state",
        "rookbend.recovery",
        "rookbend.net.state",
        "rookbend.net.recovery",
        "rookbend.protocol.gossip",
        "rookbend.leases",
        "rookbend.net.leases",
        "rookbend.protocol.leases",
        "rookbend.model_checking",
        "apsw",
        "xxhash",
    )
    code = (
        "import sys, msgspec, trio; from rookbend.service import Service; from rookbend.config import Config\n"
        "async def main(): Service(msgspec.json.decode(sys.argv[1], type=Config))\n"
        f"trio.run(main); print([m for m in {off!r} if m in sys.modules])"
    )
    result = subprocess.run([sys.executable, "-c", code, json.dumps(GOOD)], capture_output=True, text=True, check=True)
    assert result.stdout == "[]\n"


def test_components_drain_and_reload_do_not_import_the_service(tmp_path):
    code = (
        "import sys, rookbend.components, rookbend.drain, rookbend.reload; assert 'rookbend.service' not in sys.modules"
    )
    subprocess.run([sys.executable, "-c", code], check=True)
