"""A cluster on one machine: directors as processes, all other systems in this process, and relays between them.

    async with open_cluster(directors=3, seed=7) as cluster:
        await cluster.start()
        await cluster.wait_until_admitted()
        cluster.power_off()
        await cluster.power_on()
        await cluster.nodes["n1"].wait_for_log("ready")
        cluster.check_invariants()

Directors are n0, n1, ...; caches c0, c1, ...; parents p0, ...; the origin is `records`.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from pathlib import Path

import trio

from rookbend.net.fault_containment import EVENT as COMPONENT_FAULT
from rookbend.protocol.coordinator_stream import split_address
from rookbend.testing import fault_timeline, fault_timeline_format
from rookbend.testing.cluster.address_block import AddressBlock
from rookbend.testing.cluster.admin_client import AdminRequests
from rookbend.testing.cluster.clients import Front
from rookbend.testing.cluster.coordinator import Coordinator
from rookbend.testing.cluster.director_config import HEALTH_PORT, OPERATORS, PURGE_LIFE_US, settings_for
from rookbend.testing.cluster.dns_names import Resolver
from rookbend.testing.cluster.faults import Faults
from rookbend.testing.cluster.members import SimulatedMember
from rookbend.testing.cluster.process import HANG_TIMEOUT_S, HungProcessError, Node
from rookbend.testing.cluster.record import Record
from rookbend.testing.cluster.relay import Links, TcpRelay, UdpRelay
from rookbend.testing.cluster.report_ledger import Ledger
from rookbend.testing.cluster.shared_state import CACHE, ORIGIN, PARENT, MemberProfile, SharedState
from rookbend.testing.cluster.upgrades import Upgrades
from rookbend.testing.director_process import find_free_port
from rookbend.testing.invariant_rules import InvariantLimits
from rookbend.testing.weighted_score import earned_weight


class ProcessCluster(Faults, AdminRequests, Upgrades):
    def __init__(
        self,
        nursery: trio.Nursery,
        folder: Path,
        directors: int,
        caches: int,
        parents: int,
        seed: int,
        operators: str | Callable[[str], str],
        rate: float,
        profiles: dict[str, MemberProfile],
        checkout: Path | None,
        notice_s: float,
    ):
        self.nursery, self.folder, self.seed, self.operators = nursery, folder, seed, operators
        self.address_block = AddressBlock()
        self.address_prefix = self.address_block.prefix
        self.record = Record(InvariantLimits(slack_us=150_000, purge_retention_us=2 * PURGE_LIFE_US))
        self.shared, self.links = SharedState(self.record, seed), Links()
        self.names = [f"n{i}" for i in range(directors)]
        profiles = {"cache": CACHE, "parent": PARENT, "origin": ORIGIN, **profiles}
        for i in range(caches):
            SimulatedMember(
                f"c{i}", "cache", f"{self.address_prefix}.100.{i + 1}", "edge", self.shared, profiles["cache"]
            )
        for i in range(parents):
            SimulatedMember(
                f"p{i}", "parent", f"{self.address_prefix}.101.{i + 1}", "hub", self.shared, profiles["parent"]
            )
        SimulatedMember("records", "origin", f"{self.address_prefix}.102.1", "hub", self.shared, profiles["origin"])
        self.members = self.shared.members
        self.caches = [b for b in self.members.values() if b.role == "cache"]
        self.origin = self.members["records"]
        self.coordinator = Coordinator(self.shared, self._address_of)
        checkout_option = {} if checkout is None else {"checkout": checkout}
        self.nodes = {n: Node(n, folder / n, self.record, **checkout_option) for n in self.names}
        self.ledger = Ledger(self.record)
        self.front = Front(self.record, seed, rate, notice_s=notice_s)
        self.predecessors: dict[str, list[Node]] = {}
        self.relays: dict[tuple[str, str], TcpRelay] = {}
        self.addresses: dict[str, dict[str, str]] = {}
        self.peers: dict[str, str] = {}
        self.fault_schedule: tuple[fault_timeline.Fault, ...] = ()
        self.change_settings: Callable[[dict], dict] = lambda settings: settings  # applied to the directors' settings
        self.operator_endpoints = False  # whether directors serve their operator endpoint
        self.powered_off: dict[str, None] = {}  # names without power, in the order in which they lost it

    def _host(self, name: str, number: int) -> str:
        return f"{self.address_prefix}.{1 + self.names.index(name)}.{number}"

    def _address_of(self, director: str, member: str) -> str:
        return "{}:{}".format(*self.relays[director, member].address)

    async def open(self) -> None:
        for member in self.members.values():
            await member.listen(self.nursery)
            await member.listen_health(self.nursery)
        await self.ledger.listen(self.nursery, f"{self.address_prefix}.103.1")
        for name in self.names:
            for i, member in enumerate(self.members.values()):
                relay = TcpRelay(self.links, self.record, name, member.name, lambda member=member: member.address)
                await relay.listen(self.nursery, self._host(name, 10 + i))
                self.relays[name, member.name] = relay
                health = TcpRelay(self.links, self.record, name, member.name, lambda member=member: member.health)
                await health.listen(self.nursery, self._host(name, 10 + i), HEALTH_PORT)
            relay = TcpRelay(self.links, self.record, name, "ledger", lambda: self.ledger.address)
            await relay.listen(self.nursery, self._host(name, 8))
            self.relays[name, "ledger"] = relay
            target = await self.coordinator.listen(self.nursery, name, self._host(name, 9))
            relay = TcpRelay(self.links, self.record, name, "coordinator", lambda target=target: target)
            await relay.listen(self.nursery, self._host(name, 8))
            self.relays[name, "coordinator"] = relay
            self.addresses[name] = {
                "listen": f"{self._host(name, 1)}:{find_free_port(self._host(name, 1))}",
                "admin": f"{self._host(name, 2)}:{find_free_port(self._host(name, 2))}",
                "peers": f"{self._host(name, 3)}:{find_free_port(self._host(name, 3), socket.SOCK_DGRAM)}",
                "operator": f"{self._host(name, 2)}:{find_free_port(self._host(name, 2))}",
                "dns": f"{self._host(name, 5)}:{find_free_port(self._host(name, 5))}",
                "resolver": await Resolver(name, self._address_of).listen(self.nursery, self._host(name, 6)),
            }
        peer_listeners = {n: split_address(self.addresses[n]["peers"]) for n in self.names}
        self.peers = await UdpRelay(self.links, self.record, peer_listeners, self.seed).listen(
            self.nursery, lambda name: self._host(name, 4)
        )
        for name in self.names:
            listens = split_address(self.addresses[name]["listen"])
            relay = TcpRelay(self.links, self.record, "clients", name, lambda listens=listens: listens)
            await relay.listen(self.nursery, self._host(name, 7))
            self.front.add(name, relay.address, self.nursery)

    # Directors

    def config(self, name: str, known: dict | None = None) -> dict:
        i, own_addresses = self.names.index(name), self.addresses[name]
        seed = (self.seed * 1000 + i) * 1000 + self.nodes[name].start_count
        return {
            "name": name,
            "listen": own_addresses["listen"],
            "operator": own_addresses["operator"] if self.operator_endpoints else "",
            "seed": f"{seed:x}",
            "settings": self.change_settings(settings_for(len(self.names), len(self.caches), i)),
            "coordinator": self._address_of(name, "coordinator"),
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peer_listen": own_addresses["peers"],
            "peers": [self.peers[n] for n in self.names],
            "known": known if known is not None else self.coordinator.known_at_start(name, PURGE_LIFE_US),
        }

    def settings_text(self, name: str) -> str:
        text = self.operators(name) if callable(self.operators) else self.operators
        for placeholder, value in (
            ("{state}", str(self.nodes[name].state)),
            ("{dns}", self.addresses[name]["dns"]),
            ("{resolver}", self.addresses[name]["resolver"]),
            ("{ledger}", self._address_of(name, "ledger")),
        ):
            text = text.replace(placeholder, value)
        return OPERATORS.format(admin=self.addresses[name]["admin"], more=text)

    async def start(self, *names: str, known: dict | None = None) -> None:
        """Starts the named directors, or all that do not run. Returns once the processes exist."""
        await trio.lowlevel.checkpoint()
        for name in names or [n for n in self.names if not self.nodes[n].running]:
            # A start finds an empty $TMPDIR; only an upgrade keeps its files.
            for leftover in self.nodes[name].temporary.iterdir():
                leftover.unlink()
            self.nodes[name].start(self.nursery, self.config(name, known), self.settings_text(name))

    async def wait_until_admitted(self, *names: str) -> None:
        """Waits until the front has admitted the named directors, or all."""
        await self.wait_until(
            lambda: all(self.front.targets[n].admitted for n in names or self.names), f"{names or self.names} admitted"
        )

    async def wait_until(self, holds: Callable[[], bool], condition: str) -> None:
        """Waits until `holds` returns true, checked at each change at the front and every 50 ms. Raises
        `HungProcessError` on a time-out; `condition` describes it in the error."""
        with trio.move_on_after(HANG_TIMEOUT_S):
            while not holds():
                # With clients, answers trigger checks all the time; the time-out serves an idle cluster.
                with trio.move_on_after(0.05):
                    await self.front.changed.wait()
            return
        raise HungProcessError(f"time-out while waiting for: {condition}\n{self.report()}")

    async def wait_for_served(self, count: int) -> None:
        """Waits until clients have received `count` more served answers."""
        wanted = self.record.counts["answer", "served"] + count
        await self.wait_until(lambda: self.record.counts["answer", "served"] >= wanted, f"{count} more served")

    # Results

    def report(self) -> str:
        """Returns what is needed to repeat the run, and its events."""
        lines = [f"seed {self.seed}", fault_timeline_format.format_faults(self.fault_schedule), self.record.timeline()]
        for name, node in self.nodes.items():
            if node.lines:
                lines.append(f"-- {name}, life {node.start_count}, last lines:")
                lines += [str(line) for line in node.lines[-1][-12:]]
        return "\n".join(lines)

    def check_invariants(self) -> None:
        """Raises AssertionError with the violations and the report if an invariant was violated."""
        found = self.record.find_violations()
        assert not found, "\n".join([*(f"{b.rule}: {b.subject} {b.text}" for b in found[:10]), self.report()])

    def assert_no_component_fault(self) -> None:
        """Raises AssertionError if a director has logged a contained component fault."""
        logged = [line for node in self.all_nodes() for life in node.lines for line in life]
        faults = [line for line in logged if line.get("event") == COMPONENT_FAULT]
        assert not faults, "\n".join(str(fault.get("traceback")) for fault in faults[:3])

    def earned_share(self, since_us: int = 0, until_us: int = 1 << 62) -> float:
        """Returns the weight earned as a share of the weight requested in that time."""
        outcomes = self.front.outcomes(since_us, until_us)
        requested = sum(self.front.traffic_classes[e.traffic_class].objective.priority_weight for e in outcomes)
        return (
            sum(earned_weight(self.front.traffic_classes[e.traffic_class].objective, e) for e in outcomes) / requested
            if requested
            else 1.0
        )

    def all_nodes(self) -> list[Node]:
        """Returns the newest process of each director and all its predecessors."""
        return [*self.nodes.values(), *(old for processes in self.predecessors.values() for old in processes)]

    async def stop(self) -> None:
        """Kills the processes that this cluster has started, and no others."""
        processes = self.all_nodes()
        for node in processes:
            if node.running:
                node.kill()
        for node in processes:
            if node.process is not None:
                await node.wait_for_exit()
        self.address_block.release()
