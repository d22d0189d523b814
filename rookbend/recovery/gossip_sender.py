"""Sends gossip: heartbeats to randomly chosen peers, requests for rows, and the rows that peers request."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from rookbend.coordination.action_queue import ActionQueue
from rookbend.protocol import gossip
from rookbend.recovery.actions import Action
from rookbend.recovery.config import LocalIdentity
from rookbend.recovery.peers import Peers, Phase
from rookbend.recovery.replicated_rows import ReplicatedState
from rookbend.recovery.startup_stages import Stage

FANOUT = 3  # peers per heartbeat
POLL_INTERVAL_US = 500_000  # between two requests for one kind of row to one peer


class LocalStatus(NamedTuple):
    """The status of this director that a Hello carries in addition to its identity."""

    phase: Phase
    stage: Stage
    purges_covered: bool
    revision: int
    origin: gossip.OriginLoad


class GossipSender:
    """`status(now)` returns this director's present status; `rows` are the rows it can send to peers."""

    def __init__(
        self,
        identity: LocalIdentity,
        peers: Peers,
        rows: ReplicatedState,
        status: Callable[[int], LocalStatus],
        actions: ActionQueue[Action],
    ):
        self._identity = identity
        self._peers = peers
        self._rows = rows
        self._status = status
        self._actions = actions
        self._heartbeat = 0
        self._polled_us: dict[tuple[int, int], int] = {}

    def send_heartbeats(self, now: int) -> None:
        """Sends a Hello with summaries of other peers to `FANOUT` randomly chosen peers."""
        summaries = self._peers.summaries(now)
        self._heartbeat += 1
        for peer in self._peers.sample(FANOUT):
            self._actions.send(now, peer, gossip.encode_hello(self._hello(now, peer), summaries))

    def send_hello(self, now: int, peer: int) -> None:
        """Sends a Hello outside the heartbeat. It tells a rejected peer which of its boot numbers is known."""
        self._actions.send(now, peer, gossip.encode(self._hello(now, peer)))

    def request_rows(self, now: int, peer: int, kind: int, after: str) -> None:
        """Requests the rows after a key; a request from the start is sent at most once per `POLL_INTERVAL_US`."""
        last_us = self._polled_us.get((peer, kind), -POLL_INTERVAL_US)
        if not after and now - last_us < POLL_INTERVAL_US:
            return
        self._polled_us[peer, kind] = now
        identity = self._identity
        request = gossip.RowRequest(identity.fleet_hash, identity.number, identity.incarnation, kind, after)
        self._actions.send(now, peer, gossip.encode(request))

    def send_rows(self, now: int, peer: int, kind: int, after: str) -> None:
        """Sends the rows of a kind after a key, as many as fit into a datagram."""
        rows = self._rows.by_name[gossip.ROW_KINDS[kind]].after(after)
        identity = self._identity
        data = gossip.encode_rows(identity.fleet_hash, identity.number, identity.incarnation, kind, rows)
        self._actions.send(now, peer, data)

    def _hello(self, now: int, peer: int) -> gossip.Hello:
        identity = self._identity
        status = self._status(now)
        return gossip.Hello(
            fleet=identity.fleet_hash,
            number=identity.number,
            incarnation=identity.incarnation,
            boot_number=identity.boot_number,
            heartbeat=self._heartbeat,
            phase=int(status.phase),
            stage=int(status.stage),
            age_ms=(now - identity.began_us) // 1000,
            purges_covered=status.purges_covered,
            revision=status.revision,
            digests=self._rows.digests(),
            origin=status.origin,
            known=self._peers.known_incarnation(peer),
        )
