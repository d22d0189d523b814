"""A shutdown answers what the DNS front and the operators' listeners have received, not only the platform's clients.

Guards against review case 7: the drain counted a lookup as finished once the engine had answered, though its name was
still with the resolver, so the process ended and the client was told nothing of a write that had run.
"""

import copy

import pytest
import trio
import trio.testing

from rookbend.drain import GRACE_US, MAX_ANSWER_TIME_US
from rookbend.operations.handover import ProcessHandover
from rookbend.protocol.admin_api import AdminApi
from rookbend.protocol.http_server import HttpResponse
from tests.director_scenario import OBJ, SETTINGS, play, run_with_director
from tests.test_operations_endpoint import REQUEST

READ = f"p0.{OBJ}.g1.video.route.example.org"
WRITE = f"r9b1f03aa5c7e2d41.p0.{OBJ}.g1.form.route.example.org"
AFTER_RETRY_WINDOW = "director wait 13\n"  # writes are not accepted for the first four deadlines after a start
KILL_S = (MAX_ANSWER_TIME_US + GRACE_US) / 1e6  # SIGKILL may come this long after SIGTERM, and not before
RESOLVER_S = 0.2
CROWD = 190  # ten times that of review case 7

transports = pytest.mark.parametrize("transport", ["udp", "tcp"])


@transports
def test_a_shutdown_waits_for_a_lookup_at_the_resolver(transport):
    play(
        AFTER_RETRY_WINDOW
        + f"""
        dns send {transport} {WRITE} id=1
        records expect do c=form
        director close
        director wait 0.6
        records send ok note=origin body=done
        resolver expect records.example.org
        director wait 0.3
        resolver send 127.0.0.31
        dns expect {transport} id=1 NOERROR records.example.org 127.0.0.31
        director expect
    """
    )


async def run_until_stopped(harness, scenario):
    """Plays a scenario that stops the director; returns how long that takes, in seconds."""
    await harness.play(scenario)
    stopped_s = trio.current_time()
    harness.service.stop()
    with trio.fail_after(KILL_S):
        await harness.done.wait()
    return trio.current_time() - stopped_s


@transports
@pytest.mark.parametrize("name, outcome", [(READ, "SERVFAIL"), (WRITE, "NOERROR")])
def test_a_lookup_whose_resolver_is_silent_is_replied_to_before_sigkill(name, outcome, transport):
    settings = copy.deepcopy(SETTINGS)
    for traffic_class in settings["lanes"]:
        traffic_class["hardLimitUs"] = 30_000_000  # longer than a shutdown may take
    member = "records" if name is WRITE else "cache1"

    async def check(harness):
        scenario = f"""
            director wait 121
            dns send {transport} {name} id=1
            {member} expect do
            {member} send ok note=mem body=done
            resolver expect {member}.example.org
        """
        await run_until_stopped(harness, scenario)
        await harness.play(f"dns expect {transport} id=1 {outcome} unnamed")

    run_with_director(check, settings=settings, dns="budget 30s")


@pytest.mark.parametrize("durable_after_s", [RESOLVER_S, 60])
def test_a_shutdown_waits_for_the_disk_and_replies_without_it_when_the_time_is_over(durable_after_s):
    class SlowDisk:
        """Takes its time for each outcome; what is in doubt is durable at once."""

        def __init__(self, nursery):
            self.nursery = nursery

        def persist_in_doubt(self, request_id, lookup, deadline_us, done):
            done()

        def persist(self, request_id, issued, deadline_us, done):
            self.nursery.start_soon(self.persist_later, done)

        async def persist_later(self, done):
            await trio.sleep(durable_after_s)
            done()

        def find(self, request_id):
            return None

    async def check(harness):
        completion = harness.service.dns.front.completion
        completion._issued_names = harness.service.dns.front._issued_names = SlowDisk(harness.nursery)
        scenario = f"""
            {AFTER_RETRY_WINDOW}
            dns send {WRITE} id=1
            records expect do c=form
            records send ok note=origin body=done
            resolver expect records.example.org
            resolver send 127.0.0.31
        """
        await run_until_stopped(harness, scenario)
        await harness.play("dns expect id=1 NOERROR records.example.org 127.0.0.31\ndns expect nothing")

    run_with_director(check)


@transports
def test_a_crowd_of_lookups_at_the_resolver_is_replied_to(transport):
    async def check(harness):
        lookups = []
        harness.service.dns.front.completion._resolver.resolve = lambda *args: lookups.append(args[-1])
        for number in range(CROWD):
            await harness.play(f"dns send {transport if not number else 'udp'} {READ} id={number + 1}")
            await harness.actors["cache1"].expect(["do"])
            await harness.play("cache1 send ok note=mem body=hello")
        await trio.testing.wait_all_tasks_blocked()
        harness.service.stop()
        await trio.sleep(GRACE_US / 1e6 + RESOLVER_S)
        assert len(lookups) == CROWD and not harness.done.is_set()
        for done in lookups:
            done(["127.0.0.11"])
        for _ in range(CROWD):
            await harness.actors["dns"].expect(["NOERROR", "cache1.example.org"])
        await harness.play("director expect")

    run_with_director(check)


def test_a_shutdown_without_a_pending_lookup_takes_the_grace_period_only():
    async def check(harness):
        await harness.play(f"dns send {READ} id=1\ncache1 expect do\ncache1 send ok note=mem body=hello")
        await harness.play("resolver expect cache1.example.org\nresolver send 127.0.0.11\ndns expect id=1 NOERROR")
        assert await run_until_stopped(harness, "") < GRACE_US / 1e6 + 0.1

    run_with_director(check)


async def read_all(stream):
    return b"".join([data async for data in stream])


def test_a_shutdown_waits_for_the_answer_to_an_order(monkeypatch):
    async def check(harness):
        decided = trio.Event()

        async def decide(api, request):
            await decided.wait()
            return HttpResponse(200, b"in effect")

        monkeypatch.setattr(AdminApi, "answer", decide)
        async with await trio.open_tcp_stream(*harness.service.admin.address) as stream:
            await stream.send_all(b"POST /orders HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 0\r\n\r\n")
            await trio.testing.wait_all_tasks_blocked()
            harness.service.stop()
            await trio.sleep(GRACE_US / 1e6 + RESOLVER_S)
            assert not harness.done.is_set()
            decided.set()
            assert (await read_all(stream)).endswith(b"in effect")
        await harness.play("director expect")

    run_with_director(check, operators="[health]\n[admin]\n listen 127.0.0.1:0\n")


def test_a_call_in_the_backlog_of_the_operators_endpoint_is_answered_before_the_process_ends():
    async def check(harness):
        endpoint = harness.service.operations.endpoint
        finish_all = endpoint.finish_all
        answers = []

        async def call(stream):
            async with stream:
                answers.append(await read_all(stream))

        def connect_and_finish():
            """A call arrives in the moment in which the director stops to accept."""
            sock = trio.socket.socket()
            sock._sock.setblocking(True)
            sock._sock.connect(endpoint.address)
            sock._sock.send(REQUEST)
            sock._sock.setblocking(False)
            harness.nursery.start_soon(call, trio.SocketStream(sock))
            finish_all()

        endpoint.finish_all = connect_and_finish
        harness.service.stop()
        await harness.play("director expect")
        await trio.testing.wait_all_tasks_blocked()
        assert len(answers) == 1 and answers[0].startswith(b"HTTP/1.1 503")

    run_with_director(check, operator="127.0.0.1:0")


@pytest.mark.parametrize("name", ["admin", "dns"])
def test_beside_a_successor_process_new_clients_are_left_to_it(name):
    # Guards against a client that the ending process takes from the shared backlog and refuses.
    async def check(harness):
        server = getattr(harness.service, name)
        handover = ProcessHandover()
        handover.listeners_requested(1)
        handover.successor_serving(1)
        server.processes_changed(handover)
        async with await trio.open_tcp_stream(*server.address):
            harness.service.stop()
            await trio.sleep(GRACE_US / 1e6 - 0.1)
            assert not server.clients
        handover.successor_ended(1)
        server.processes_changed(handover)
        async with await trio.open_tcp_stream(*server.address):
            await trio.sleep(0.05)
            assert server.clients

    run_with_director(check, operators="[health]\n[admin]\n listen 127.0.0.1:0\n")
