"""Compares what operators and their tools see of a director in short runs of two versions."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import trio

from rookbend.testing.cluster import allow_probes, open_cluster
from rookbend.testing.cluster.director_config import OWNERSHIP_SETTINGS
from rookbend.testing.cluster.process_cluster import ProcessCluster

REQUESTS_PER_S = 40.0
TIMEOUT_S = 60.0
ANSWERS_BETWEEN_STEPS = 40
COMMANDS = ([], ["serve"], ["check-config"], ["members"], ["demo"], ["fleet"], ["recovery"], ["version"])
PRINTED_ONLY = ("help", "log")  # help texts may be reworded; which events a short run logs depends on timing
ADMIN_PATHS = ("/members", "/background", "/fleet", "/recovery", "/owners")


class VersionMismatchError(Exception):
    """The two versions are incompatible; the message says how."""


def require(holds: bool, message: str) -> None:
    """Raises `VersionMismatchError` with the message unless the condition holds."""
    if not holds:
        raise VersionMismatchError(message)


def use_version(cluster: ProcessCluster, checkout: Path, *names: str) -> None:
    """Makes the named directors, or all of them, start from this checkout from now on."""
    for name in names or cluster.names:
        cluster.nodes[name].checkout = checkout


async def leader_of(cluster: ProcessCluster, scope: str) -> str:
    """Waits until a director holds the lease of the scope; returns its name."""
    with trio.fail_after(TIMEOUT_S):
        while True:
            for name in cluster.names:
                owners = (await cluster.admin_request(name, "/owners")).get("owners", ())
                if any(row["ours"] and row["scope"] == scope for row in owners):
                    return name
            await trio.sleep(0.05)


async def until_member_state(cluster: ProcessCluster, name: str, member: str, state: str) -> None:
    """Waits until a director reports this state of the member."""
    await cluster.wait_for_answer(
        name,
        "/members",
        lambda answer: any(row["member"] == member and row["state"] == state for row in answer["members"]),
    )


async def order_for_fleet(cluster: ProcessCluster, name: str, member: str, order: str) -> None:
    """Gives an order for all directors to one of them, and waits until it is in effect on each."""
    body = {"member": member, "order": order, "by": "kim", "fleet": True}
    answer = await cluster.admin_request(name, "/orders", "POST", body)
    require(answer["status"] == 200, f"the order on {member} at {name} was answered with {answer}")
    for director in cluster.names:
        await until_member_state(cluster, director, member, "maintenance" if order == "maintain" else "ready")


def keys_of(value: Any, path: str = "") -> set[str]:
    """The paths of all keys of a decoded JSON value; all elements of a list share a path."""
    if isinstance(value, dict):
        return {f"{path}.{key}" for key in value}.union(*(keys_of(v, f"{path}.{key}") for key, v in value.items()))
    if isinstance(value, list):
        return set().union(*(keys_of(v, f"{path}[]") for v in value))
    return set()


def metric_names(text: str) -> set[str]:
    """Names and labels of Prometheus samples, without values."""
    return {line.rpartition(" ")[0] for line in text.splitlines() if line and not line.startswith("#")}


def help_of(checkout: Path) -> dict[str, set[str]]:
    """The lines of the help of all sub-commands: usages, with flags, operands and choices, and texts."""
    usages, texts = set(), set()
    for command in COMMANDS:
        arguments = [sys.executable, "-m", "rookbend", *command, "--help"]
        completed = subprocess.run(
            arguments, cwd=checkout, text=True, capture_output=True, env={**os.environ, "COLUMNS": "200"}
        )
        usage, _, text = completed.stdout.partition("\n\n")
        usages |= {f"{' '.join(command)}: {' '.join(usage.split())}"}
        texts |= {f"{' '.join(command)}: {line.strip()}" for line in text.splitlines() if line.strip()}
    return {"usage": usages, "help": texts}


async def interface_of(checkout: Path, seed: int) -> dict[str, set[str]]:
    """What operators and their tools see of a director in a short run."""
    async with open_cluster(
        directors=1, caches=3, seed=seed, rate=REQUESTS_PER_S, operators=OWNERSHIP_SETTINGS.replace("0 1 2", "0")
    ) as cluster:
        cluster.change_settings = allow_probes
        use_version(cluster, checkout)
        await cluster.start_with_operator_endpoints()
        await cluster.wait_for_served(ANSWERS_BETWEEN_STEPS)
        await order_for_fleet(cluster, "n0", "c1", "maintain")
        await cluster.operator_request("n0", "PUT", "/maintenance/enter?member=c2")
        for number in (signal.SIGHUP, signal.SIGUSR1):
            cluster.nodes["n0"].signal(number)
        await cluster.nodes["n0"].wait_for_log("reloaded")
        await cluster.nodes["n0"].wait_for_log("counters")
        json_keys = {
            f"{path} {key}" for path in ADMIN_PATHS for key in keys_of(await cluster.admin_request("n0", path))
        }
        metrics = metric_names((await cluster.admin_request("n0", "/metrics"))["text"])
        operator_metrics = set(await cluster.read_operator_metrics("n0"))
        cluster.nodes["n0"].signal(signal.SIGTERM)
        await cluster.nodes["n0"].wait_for_exit()
        events = {f"{line['event']} {key}" for line in cluster.nodes["n0"].lines[-1] for key in line}
    for name, found in (("JSON keys", json_keys), ("metrics", metrics), ("operators' metrics", operator_metrics)):
        require(bool(found), f"the run of {checkout.name} has no {name}")
    return {"json": json_keys, "metrics": metrics, "operator metrics": operator_metrics, "log": events}


async def differences_by_kind(old: Path, new: Path, seed: int) -> dict[str, list[str]]:
    """The differences by kind, each with a sign: - for only in the old version, + for only in the new one."""
    before, after = await interface_of(old, seed), await interface_of(new, seed)
    before.update(help_of(old))
    after.update(help_of(new))
    return {
        kind: sorted([f"- {e}" for e in before[kind] - after[kind]] + [f"+ {e}" for e in after[kind] - before[kind]])
        for kind in before
    }
