"""`rookbend check-config`."""

from __future__ import annotations

import argparse

from rookbend.cli.loading import load

HELP = "read NODE_CONFIG and the operators' settings, say what they hold, and exit"
EXAMPLE = "NODE_CONFIG=config.json NODE_SETTINGS=deploy/rookbend.conf rookbend check-config"


def add(parser: argparse.ArgumentParser) -> None:
    pass


def run(args: argparse.Namespace) -> int:
    config, operators = load()
    members = sum(len(u.membership.members) for u in config.known.updates if u.membership)
    print(
        f"{config.name} would listen on {config.listen}: {len(config.settings.classes)} classes, "
        f"{members} members told, {config.limits.memory_mb} MB, {config.limits.sockets} descriptors"
    )
    for name, part in (
        ("DNS", operators.dns),
        ("agent-check", operators.agent_server),
        ("HTTP health", operators.http_server),
        ("gRPC health", operators.grpc_server),
        ("operators' listener", operators.admin),
    ):
        print(f"{name}: " + ("{}:{}".format(*part.listen) if part else "off"))
    print(f"health: {'on' if operators.health else 'off'}, {len(operators.checks)} checks")
    for check in operators.checks:
        print(f"  {check.name}: {check.type} of {check.tier} on port {check.port or 'of the membership'}")
    return 0
