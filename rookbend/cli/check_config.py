"""`rookbend check-config`: validates the configuration."""

from __future__ import annotations

import argparse

from rookbend.cli.loading import load_configuration

HELP = "read NODE_CONFIG and the operators' settings, print a summary, and exit"
EXAMPLE = "NODE_CONFIG=config.json NODE_SETTINGS=deploy/rookbend.conf rookbend check-config"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Adds no arguments."""


def run(args: argparse.Namespace) -> int:
    """Prints a summary; exit code 0."""
    config, operator_settings = load_configuration()
    member_count = sum(len(update.membership.members) for update in config.known.updates if update.membership)
    print(
        f"{config.name} would listen on {config.listen}: {len(config.settings.classes)} classes, "
        f"{member_count} members configured, {config.limits.memory_mb} MB, {config.limits.sockets} descriptors"
    )
    for name, section in (
        ("DNS", operator_settings.dns),
        ("agent-check", operator_settings.agent_server),
        ("HTTP health", operator_settings.http_server),
        ("gRPC health", operator_settings.grpc_server),
        ("admin listener", operator_settings.admin),
    ):
        print(f"{name}: " + ("{}:{}".format(*section.listen) if section else "off"))
    print(f"health: {'on' if operator_settings.health else 'off'}, {len(operator_settings.checks)} checks")
    for check in operator_settings.checks:
        print(f"  {check.name}: {check.type} of {check.tier} on port {check.port or 'from the membership'}")
    return 0
