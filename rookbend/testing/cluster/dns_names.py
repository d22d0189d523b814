"""A stand-in resolver for the directors' DNS fronts, and a client of these fronts. Messages use dnspython."""

from __future__ import annotations

import contextlib
from collections.abc import Callable

import dns.flags
import dns.message
import dns.rcode
import dns.rdatatype
import dns.rrset
import trio

from rookbend.testing.cluster.process import HANG_TIMEOUT_S, HungProcessError
from rookbend.testing.cluster.record import Record, now_us
from rookbend.testing.cluster.shared_state import group_of
from rookbend.testing.cluster.traffic_classes import WRITES
from rookbend.testing.invariant_events import ClientClosed, RequestSent, ResponseReceived

RETRY_INTERVAL_S = 1.0


class Resolver:
    """Answers `MEMBER.SUFFIX` with the address at which the querying director reaches the member.
    `address_of(director, member)` returns that address as HOST:PORT."""

    def __init__(self, director: str, address_of: Callable[[str, str], str]):
        self.director, self.address_of = director, address_of
        self.query_count = 0

    async def listen(self, nursery: trio.Nursery, host: str) -> str:
        sock = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await sock.bind((host, 0))
        nursery.start_soon(self._serve, sock)
        return "{}:{}".format(*sock.getsockname()[:2])

    async def _serve(self, sock) -> None:
        while True:
            try:
                wire, source = await sock.recvfrom(2048)
            except OSError:
                continue  # an ICMP error: an earlier reply was not delivered
            self.query_count += 1
            query = dns.message.from_wire(wire)
            reply = dns.message.make_response(query)
            asked = query.question[0]
            try:
                host = self.address_of(self.director, str(asked.name).split(".")[0]).partition(":")[0]
                if asked.rdtype == dns.rdatatype.A:
                    reply.answer.append(dns.rrset.from_text(asked.name, 0, "IN", "A", host))
            except KeyError:
                reply.set_rcode(dns.rcode.NXDOMAIN)
            # The querying director may have ended.
            with contextlib.suppress(OSError):
                await sock.sendto(reply.to_wire(), source)


def read_reply(reply: dns.message.Message) -> tuple[str, str, str]:
    """Returns (response code, member name, member address); name and address are empty if absent."""
    member_name = address = ""
    for rrset in reply.answer:
        if rrset.rdtype == dns.rdatatype.CNAME:
            member_name = rrset[0].target.to_text(omit_final_dot=True)
        elif rrset.rdtype == dns.rdatatype.A:
            address = rrset[0].address
    return dns.rcode.to_text(reply.rcode()), member_name, address


async def look_up(server: tuple[str, int], name: str) -> tuple[str, str, str]:
    """Looks a name up like a stub resolver that repeats its query every second. Raises `HungProcessError`."""
    query = dns.message.make_query(name, dns.rdatatype.A)
    query.flags |= dns.flags.RD
    with trio.move_on_after(HANG_TIMEOUT_S), trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM) as sock:
        await sock.connect(server)
        while True:
            try:
                await sock.send(query.to_wire())
                with trio.move_on_after(RETRY_INTERVAL_S):
                    reply = dns.message.from_wire(await sock.recv(4096))
                    if reply.id == query.id:
                        return read_reply(reply)
            except OSError:
                await trio.sleep(0.05)  # the director does not listen yet
    raise HungProcessError(f"no DNS reply for {name}")


async def submit(
    record: Record,
    director: str,
    server: tuple[str, int],
    number: int,
    deadline_us: int,
    zone: str = "route.example.org",
) -> tuple[str, str, str]:
    """Looks up the name of a write whose object and request id are `number`, and records request and response."""
    rid = key = f"{number:016x}"
    group = group_of(key)
    record.feed(RequestSent(now_us(), rid, director, True, now_us() + deadline_us, (key, 0), group))
    try:
        found = await look_up(server, f"r{rid}.p0.{key}.g{group}.{min(WRITES)}.{zone}")
    except trio.Cancelled:
        record.feed(ClientClosed(now_us(), rid))  # the client gives up
        raise
    verdict = {"NOERROR": "served", "REFUSED": "refused"}.get(found[0], "failed")
    record.feed(ResponseReceived(now_us(), rid, verdict, ""))
    return found
