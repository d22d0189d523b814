"""Crowds of clients in a soak run, idle ones and hostile ones from a process of their own; the directors' memory."""

from __future__ import annotations

import random
import sys

import trio

from rookbend.protocol.coordinator_stream import split_address
from rookbend.testing.cluster.process_cluster import ProcessCluster
from rookbend.testing.hostile_clients import CROWDS, FLOODS, HOSTILE_ID_PREFIX
from rookbend.testing.invariant_rules import Rule, Violation
from rookbend.testing.process_memory import read_memory

IDLE_CONNECTIONS = 150  # idle connections to one director
IDLE_CONNECTION_S = 3.0
HOSTILE_CLIENTS = 200  # of a crowd; a flood has one client
HOSTILE_S = 4.0
MEMORY_PERIOD_S = 0.1
NOT_OPEN = "for a request that is not open"  # the end of the checker's text on a request that the record does not have
MEMORY_LIMIT_MB = 192  # of the cluster's configuration
KB_PER_MB = 1024


class SoakCrowds:
    """The crowd of one run; `kind` is chosen by the seed."""

    def __init__(self, cluster: ProcessCluster, chooser: random.Random, seconds: float, seed: int) -> None:
        self.cluster = cluster
        self.random = chooser
        self.seconds = seconds
        self.kind = ""
        if seed % 3 == 0:
            self.kind = "idle" if seed % 2 == 0 else chooser.choice(sorted({*CROWDS, *FLOODS} - {"idle"}))
        self.peak_mb = 0.0  # resident memory of any director

    async def run(self) -> None:
        """Plays the crowd at one director, at a time by the seed."""
        if not self.kind:
            return
        await trio.sleep(self.random.uniform(0, self.seconds / 2))
        host, port = split_address(self.cluster.addresses[self.random.choice(self.cluster.names)]["listen"])
        self.cluster.record.note("fault", self.kind, f"crowd at port {port}")
        if self.kind != "idle":
            clients = HOSTILE_CLIENTS if self.kind in CROWDS else 1
            command = [sys.executable, "-m", "rookbend.testing.hostile_clients", self.kind, host, str(port)]
            await trio.run_process([*command, "--clients", str(clients), "--seconds", str(HOSTILE_S)])
            return
        async with trio.open_nursery() as nursery:
            for _ in range(IDLE_CONNECTIONS):
                nursery.start_soon(_hold_idle_connection, (host, port))

    async def watch_memory(self) -> None:
        """Samples the memory of the directors until cancelled."""
        while True:
            for node in self.cluster.nodes.values():
                if node.running and (memory := read_memory(node.process.pid)) is not None:
                    self.peak_mb = max(self.peak_mb, memory.resident_peak_kb / KB_PER_MB)
            await trio.sleep(MEMORY_PERIOD_S)


def is_of_unrecorded_client(violation: Violation) -> bool:
    """Whether it only says that a request is unknown that a hostile client has sent: the record has none of theirs."""
    is_hostile = violation.subject.startswith(HOSTILE_ID_PREFIX)
    return is_hostile and violation.rule is Rule.ATTEMPTS and violation.text.endswith(NOT_OPEN)


async def _hold_idle_connection(address: tuple[str, int]) -> None:
    try:
        async with await trio.open_tcp_stream(*address) as stream:
            with trio.move_on_after(IDLE_CONNECTION_S):
                await stream.receive_some()
    except (OSError, trio.BrokenResourceError):
        pass  # the director is restarting, or has closed the connection
