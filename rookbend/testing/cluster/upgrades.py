"""Upgrades: a second process of one director, whose configuration differs only in the address of its operator
endpoint."""

from __future__ import annotations

import signal

import trio

from rookbend.testing.cluster.process import HANG_TIMEOUT_S, HungProcessError, Node
from rookbend.testing.director_process import find_free_port


class Upgrades:
    """The part of `ProcessCluster` for upgrades. `nodes[name]` is the newest process, `predecessors` has the earlier
    ones."""

    predecessors: dict[str, list[Node]]

    async def start_with_operator_endpoints(self) -> None:
        """Starts all directors with their operator endpoints. Returns once the front has admitted them."""
        self.operator_endpoints = True
        await self.start()
        await self.wait_until_admitted()

    async def upgrade(self, name: str) -> Node:
        """Starts a new process beside the one that serves. Returns the old process."""
        await trio.lowlevel.checkpoint()
        old = self.nodes[name]
        new = Node(name, old.folder / "next", self.record, old.checkout, temporary=old.temporary)
        new.start_count = old.start_count
        self.predecessors.setdefault(name, []).append(old)
        self.nodes[name] = new
        host = self._host(name, 2)
        self.addresses[name]["operator"] = f"{host}:{find_free_port(host)}"
        new.start(self.nursery, self.config(name), self.settings_text(name))
        return old

    async def wait_until_accepting(self, name: str) -> None:
        """Waits until a director's newest process answers `/status` with 200: it accepts clients. Raises
        `HungProcessError`."""
        with trio.move_on_after(HANG_TIMEOUT_S):
            while self.nodes[name].running:
                try:
                    if (await self.operator_request(name, "GET", "/status"))[0] == 200:
                        return
                except (OSError, trio.BrokenResourceError):
                    pass
                await trio.sleep(0.01)
        raise HungProcessError(f"{name} never answered 200 to /status\n{self.report()}")

    async def stop_predecessor(self, old: Node) -> int:
        """Sends SIGTERM to the old process. Returns its exit code."""
        old.signal(signal.SIGTERM)
        return await old.wait_for_exit()

    def undo_upgrade(self, name: str, old: Node, address: str) -> None:
        """Makes the old process the newest one again, after the new one has ended."""
        self.predecessors[name].remove(old)
        self.nodes[name] = old
        self.addresses[name]["operator"] = address
