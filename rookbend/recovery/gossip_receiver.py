"""Receives gossip: checks messages, stores replicated rows, and requests those that are missing."""

from __future__ import annotations

from rookbend.coordination.action_queue import ActionQueue
from rookbend.coordination.actions import PersistRow
from rookbend.coordination.events import DatagramReceived
from rookbend.protocol import gossip
from rookbend.recovery.actions import Action, RaiseBootNumber
from rookbend.recovery.config import LocalIdentity
from rookbend.recovery.gossip_sender import GossipSender
from rookbend.recovery.missed_purges import MissedPurgeWindow
from rookbend.recovery.origin_ramp import OriginRamp, OriginSample
from rookbend.recovery.peer_rows import PeerRowIntake
from rookbend.recovery.peers import Peers, Phase, Rejection
from rookbend.recovery.replicated_rows import PURGE
from rookbend.recovery.startup_admission import StartupAdmission

MAX_CALLS_OF_PEER = 200  # per sample, so that a faulty sample can't outweigh all others
MAX_BOOT_NUMBER_STEP = 1_000_000
PEER_KIND, BOOT_NUMBER_BYTES = "peer", 8


class GossipReceiver:
    """Handles datagrams from peers. `unreadable` counts datagrams and rows that are malformed or of another fleet."""

    def __init__(
        self,
        identity: LocalIdentity,
        peers: Peers,
        sender: GossipSender,
        intake: PeerRowIntake,
        missed_purges: MissedPurgeWindow,
        ramp: OriginRamp,
        admission: StartupAdmission,
        actions: ActionQueue[Action],
    ):
        self._unreadable_datagrams = 0
        self._identity = identity
        self._peers = peers
        self._sender = sender
        self._intake = intake
        self._missed_purges = missed_purges
        self._ramp = ramp
        self._admission = admission
        self._actions = actions

    @property
    def unreadable(self) -> int:
        """Datagrams and rows that were malformed or of another fleet."""
        return self._unreadable_datagrams + self._intake.unreadable

    def receive(self, now: int, event: DatagramReceived) -> bool:
        """Handles a datagram; returns whether it was a Hello that passed the checks."""
        try:
            message = gossip.decode(event.data)
        except gossip.GossipDecodeError:
            self._unreadable_datagrams += 1
            return False
        sender = event.sender
        from_itself = sender == self._identity.number
        if message.fleet != self._identity.fleet_hash or message.number != sender or from_itself:
            self._unreadable_datagrams += 1
            return False
        if isinstance(message, gossip.Hello):
            return self._receive_hello(now, sender, message)
        if isinstance(message, gossip.RowRequest):
            self._sender.send_rows(now, sender, message.kind, message.after)
        else:
            self._receive_rows(now, sender, message)
        return False

    # Hello

    def _receive_hello(self, now: int, sender: int, hello: gossip.Hello) -> bool:
        self._raise_boot_number(sender, hello.known)
        peer = self._peers.rows.get(sender)
        known_boot_number = peer.boot_number if peer is not None else 0
        if not self._peers.receive(now, sender, hello):
            self._rejected(now, sender, hello)
            return False
        if hello.phase == Phase.DARK and self._admission.phase is not Phase.DARK:
            self._sender.send_hello(now, sender)  # the peer waits for one, and the next heartbeat may be 1 s away
        self._add_origin_sample(now, sender, hello.origin)
        if hello.boot_number > known_boot_number:
            data = hello.boot_number.to_bytes(BOOT_NUMBER_BYTES, "big")
            self._actions.append(PersistRow(PEER_KIND, str(sender), data))
        self._compare_rows(now, sender, hello)
        return True

    def _raise_boot_number(self, sender: int, known: gossip.KnownIncarnation) -> None:
        """Raises the boot number above that of an earlier incarnation that a peer knows. Needed if the disk was
        lost, or restored from an old copy."""
        identity = self._identity
        other_incarnation = known.incarnation not in (0, identity.incarnation)
        is_outdated = known.boot_number > identity.boot_number or (
            known.boot_number == identity.boot_number and other_incarnation
        )
        if is_outdated and known.boot_number - identity.boot_number < MAX_BOOT_NUMBER_STEP:
            identity.boot_number = known.boot_number + 1
            self._actions.append(RaiseBootNumber(identity.boot_number))
            self._actions.log("boot_raised", "warning", boot=identity.boot_number, by=sender)

    def _rejected(self, now: int, sender: int, hello: gossip.Hello) -> None:
        peer = self._peers.rows.get(sender)
        if peer is None or peer.rejection is None:
            return
        reason = peer.rejection.value
        self._actions.log(
            "peer_doubted", "warning", peer=sender, why=reason, boot=hello.boot_number, known=peer.boot_number
        )
        if peer.rejection is Rejection.OLD_BOOT_NUMBER:
            self._sender.send_hello(now, sender)

    def _add_origin_sample(self, now: int, sender: int, load: gossip.OriginLoad) -> None:
        calls = min(load.calls, MAX_CALLS_OF_PEER)
        failures = min(load.failures, calls)
        slow_calls = min(load.slow_calls, calls)
        sample = OriginSample(now, load.rate_tenths / 10, calls, failures, slow_calls, load.fastest_ms * 1000)
        self._ramp.add_peer_sample(sender, sample)

    def _compare_rows(self, now: int, sender: int, hello: gossip.Hello) -> None:
        """Requests rows of each wanted kind whose digest differs from the peer's."""
        for kind, name in enumerate(gossip.ROW_KINDS):
            if not self._intake.wants(name):
                continue
            if hello.digests[kind] != self._intake.rows.by_name[name].digest:
                self._sender.request_rows(now, sender, kind, "")
            elif name == PURGE.name and hello.purges_covered:
                self._purges_complete(now, sender)

    def _purges_complete(self, now: int, sender: int) -> None:
        self._missed_purges.peer_complete(sender, self._peers)
        self._admission.announce_coverage(now)

    # Rows

    def _receive_rows(self, now: int, sender: int, batch: gossip.RowBatch) -> None:
        peer = self._peers.rows[sender]
        if not peer.last_received_us or peer.incarnation != batch.incarnation or peer.rejection is not None:
            return  # no accepted Hello yet, another incarnation, or the last Hello was rejected
        name = gossip.ROW_KINDS[batch.kind]
        for key, data in batch.rows:
            self._intake.add(now, sender, name, key, data)
        if batch.more and batch.rows:
            self._sender.request_rows(now, sender, batch.kind, batch.rows[-1][0])
        elif name == PURGE.name:
            self._purges_complete(now, sender)
