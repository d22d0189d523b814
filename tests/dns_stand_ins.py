"""Further actors of the scenario language: DNS clients and resolvers, load balancers, and members' health agents."""

import dns.message
import dns.rdatatype
import dns.rrset
import trio

from rookbend.net.dns_server import bind_tcp_and_udp
from rookbend.net.listeners import Listeners
from rookbend.protocol import dns_tcp
from rookbend.testing.health_agents import Behavior, HealthAgent, ResponseMode, http_response
from tests.platform_stand_ins import Actor, pairs


class DnsClient(Actor):
    """Queries over UDP, or over TCP if the first word of `send` is tcp; `raw` sends the bytes of a hex string over UDP."""

    async def open(self):
        self.udp = trio.socket.socket(trio.socket.AF_INET, trio.socket.SOCK_DGRAM)
        await self.udp.bind(("127.0.0.1", 0))
        self.harness.nursery.start_soon(self.read)

    async def send(self, words):
        if words[0] == "raw":
            return await self.udp.sendto(bytes.fromhex(words[1]), self.harness.service.dns.address)
        args = pairs(words)
        name = next(w for w in words if "." in w)
        wire = dns.message.make_query(
            name, args.get("type", "A"), id=int(args.get("id", 1)), use_edns=None if "plain" in words else 0
        ).to_wire()
        if words[0] != "tcp":
            return await self.udp.sendto(wire, self.harness.service.dns.address)
        stream = await trio.open_tcp_stream(*self.harness.service.dns.address)
        await stream.send_all(dns_tcp.frame(wire))
        self.streams.append(stream)
        self.harness.nursery.start_soon(self.read_tcp, stream)

    async def read(self):
        while True:
            self.handle_message((await self.udp.recvfrom(65535))[0], "udp")

    async def read_tcp(self, stream):
        messages = dns_tcp.MessageReader()
        async for data in stream:
            for wire in messages.feed(data):
                self.handle_message(wire, "tcp")

    def handle_message(self, wire, transport):
        reply = dns.message.from_wire(wire, raise_on_truncation=False)
        records = [
            word
            for rrset in reply.answer
            for record in rrset
            for word in (f"ttl={rrset.ttl}", record.to_text().rstrip("."))
        ]
        extra_texts = [o.text for o in reply.options if isinstance(o, dns.edns.EDEOption)]
        flags = ["truncated"] if reply.flags & dns.flags.TC else []
        self.record(
            transport,
            f"id={reply.id}",
            dns.rcode.to_text(reply.rcode()),
            *flags,
            *records,
            *(extra_texts[0].split(" ") if extra_texts else ()),
            *([] if records else ["unnamed"]),
        )


class Resolver(Actor):
    """A recursive resolver without knowledge of the membership.

    Records the name of each query over UDP or TCP; `send` answers the latest query.
    """

    async def open(self):
        tcp, udp = map(trio.socket.from_stdlib_socket, bind_tcp_and_udp(Listeners(), ("127.0.0.1", 0)))
        self.address, self.udp = tcp.getsockname(), udp
        self.harness.nursery.start_soon(trio.serve_listeners, self.read_tcp, [trio.SocketListener(tcp)])
        self.harness.nursery.start_soon(self.read)

    async def read(self):
        while True:
            wire, self.requester = await self.udp.recvfrom(4096)
            self.handle_message(wire)

    async def read_tcp(self, stream):
        self.requester, (wire,) = stream, dns_tcp.MessageReader().feed(await stream.receive_some())
        self.handle_message(wire)
        await trio.sleep_forever()

    def handle_message(self, wire):
        self.query = dns.message.from_wire(wire)
        self.record(self.query.question[0].name.to_text().rstrip("."))

    async def send(self, words):
        reply = dns.message.make_response(self.query)
        if words[0] == "truncated":
            reply.flags |= dns.flags.TC
        elif words[0] == "hesiod":
            name = self.query.question[0].name
            reply.answer.append(dns.rrset.from_text(name, 300, "HS", "A", r"\# 4 7f00000b"))
        elif words[0].isalpha():
            reply.set_rcode(dns.rcode.from_text(words[0]))
        else:
            reply.answer.append(dns.rrset.from_text(self.query.question[0].name, 300, "IN", "A", *words))
        if isinstance(self.requester, trio.SocketStream):
            await self.requester.send_all(dns_tcp.frame(reply.to_wire()))
        else:
            await self.udp.sendto(reply.to_wire(), self.requester)


class BalancerProbe(Actor):
    """A load balancer: `send agent` queries the agent-check, `send METHOD PATH` the HTTP health server."""

    async def send(self, words):
        server = self.harness.service.balancer[0 if words[0] == "agent" else 1]
        async with await trio.open_tcp_stream(*server.address) as stream:
            if words[0] != "agent":
                await stream.send_all(
                    f"{words[0]} {words[1]} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n".encode()
                )
            data = b""
            async for received in stream:
                data += received
            self.record(*data.decode().split())


class Agent(Actor):
    """A member's agent or health service.

    `send` sets the answer to all later polls: an agent's line, or a response mode and its text (`stall up 100%`,
    `http 200 fine`, `grpc serving`). `expect ask` waits for a poll.
    """

    def __init__(self, harness, host):
        super().__init__(harness)
        self.health_agent = HealthAgent(host, on_poll=self.on_poll)

    def on_poll(self, data):
        # A test may leave polls unread; the channel holds 1000 entries.
        if self.observed.statistics().current_buffer_used < 500:
            self.record("ask", *data.decode("latin-1").split())

    async def send(self, words):
        kind, health_agent = words[0], self.health_agent
        if kind == "grpc":
            if health_agent.behavior.mode != ResponseMode.GRPC:
                health_agent.behavior = Behavior(ResponseMode.GRPC, is_serving="serving" in words)
            health_agent.behavior.ignores_grpc = "deaf" in words
            if not health_agent.behavior.ignores_grpc:
                await health_agent.set_serving("serving" in words)
        elif kind == "http":
            health_agent.behavior = Behavior(ResponseMode.RESPOND, http_response(int(words[1]), words[2], *words[3:]))
        elif kind in ("stall", "dribble", "flood", "silent", "reset", "leave"):
            health_agent.behavior = Behavior(
                ResponseMode(kind), " ".join(words[1:]).encode() + (b"" if kind == "flood" else b"\n")
            )
        else:
            health_agent.behavior = Behavior(ResponseMode.RESPOND, " ".join(words).encode() + b"\n")

    async def expect(self, words):
        """Waits for a poll that begins after this call: an earlier poll may have received the previous answer."""
        while self.observed.statistics().current_buffer_used:
            self.observed.receive_nowait()
        await super().expect(words)

    async def close(self):
        self.health_agent.close()
