"""Health checks by protocol, and members and settings that change during a check."""

import pytest
import trio
import trio.testing

from tests.director_scenario import OBJ, run_with_director
from tests.health_scenarios import GRPC, HTTP, caches_used, play_health, run_health_scenario


@pytest.mark.parametrize(
    "response, state",
    [
        ("http 200 fine", "ready"),
        ("http 200 broken", "down"),
        ("http 503 fine", "down"),
        ("http 200 fine X-Envoy-Degraded:true", "degraded"),
        ("http 200 fine X-Envoy-Immediate-Health-Check-Fail:true", "down"),
        ("stall HTTP/1.1 200 x", "down"),
        ("flood HTTP/1.1_200_x_", "down"),
        ("leave HTTP", "down"),
    ],
)
def test_an_http_check_evaluates_status_body_and_headers(response, state):
    async def steps(harness):
        await harness.play(f"agent2 send http 200 fine\n agent1 send {response}\n all wait 6")
        assert harness.state("cache1")[0] == state, harness.service.health.service.table()
        assert b"GET /health HTTP/1.1" in harness.actors["agent2"].health_agent.received[-1]

    run_health_scenario(steps, operators=HTTP)


@pytest.mark.parametrize("kind", ["grpc", "grpc-watch"])
def test_a_grpc_check_uses_the_reported_status(kind):
    async def steps(harness):
        await harness.play("""
            agent1 send grpc serving
            agent2 send grpc serving
            all wait 3
            cache1 wait ready
            agent1 send grpc refusing
            cache1 wait down
            agent1 send grpc serving
            cache1 wait degraded
        """)
        assert harness.state("cache2") == ("ready", 100, "nothing")

    run_health_scenario(steps, operators=GRPC.format(type=kind))


def test_a_dead_grpc_watch_is_detected_by_unanswered_pings():
    """A watch sends no messages while the status is unchanged, so only an unanswered ping shows that it is dead."""

    async def steps(harness):
        await harness.play("agent1 send grpc serving\n agent2 send grpc serving\n all wait 5")
        first_polls = harness.actors["agent1"].health_agent.polls
        assert harness.state("cache1")[0] == "ready" and first_polls == 1, "a single stream stays open"
        await harness.play("agent1 send grpc deaf\n cache1 wait down")
        assert harness.actors["agent1"].health_agent.polls > first_polls

    run_health_scenario(steps, operators=GRPC.format(type="grpc-watch"))


def test_a_tcp_check_passes_on_a_connection():
    async def steps(harness):
        await harness.play("all wait 3")
        assert harness.state("cache1")[0] == "ready"
        await harness.actors["agent1"].close()
        await harness.play("cache1 wait down")

    run_health_scenario(
        steps, operators="[health]\n hold 1s\n[check up]\n type tcp\n port AGENTS\n interval 1s\n proxy local\n"
    )


def test_a_proxy_header_precedes_the_check_request():
    async def steps(harness):
        await harness.play("agent1 send http 200 fine\n all wait 3")
        return list(harness.actors["agent1"].health_agent.received)

    received = run_health_scenario(steps, operators=HTTP + "    proxy proxy\n")
    assert received and all(
        h.startswith(b"\r\n\r\n\0\r\nQUIT\n\x21\x11\0\x0c\x7f\0\0") and b"GET /" in h for h in received
    )


# Members and settings that change during a check


def test_the_result_of_a_check_that_a_reload_removes_is_ignored():
    async def steps(harness):
        await harness.play("agent1 send stall down\n agent1 expect ask")
        harness.operators = type(harness.operators)(health=harness.operators.health)
        harness.service.reload()
        harness.actors["agent1"].health_agent.behavior.text = b"down\n"
        await trio.sleep(30)
        assert harness.state("cache1") == ("ready", 100, "nothing")
        assert not harness.service.health.runner.scheduler.jobs
        polls = harness.actors["agent1"].health_agent.polls
        await trio.sleep(30)
        assert harness.actors["agent1"].health_agent.polls == polls

    run_health_scenario(steps)


def test_a_member_replaced_at_the_same_address_does_not_get_the_result_of_a_running_check():
    async def steps(harness):
        service, coordinator = harness.service.health.service, harness.actors["coordinator"]
        await harness.play("agent1 send down\n cache1 wait down\n agent1 send stall down\n agent1 expect ask")
        gone = harness.member("cache1", "DELETED")
        new = {**harness.member("cache1"), "id": "cache9"}
        await harness.send_members(coordinator, gone, new)
        while service.find("cache9") is None:
            await trio.sleep(0.01)
        assert service.find("cache1") is None and harness.state("cache9") == ("ready", 100, "nothing")
        await trio.sleep(2)
        assert harness.state("cache9")[0] == "ready" and service.registry.overtaken >= 1

    run_health_scenario(steps)


def test_orders_hold_despite_agent_reports_and_restarts():
    async def steps(harness):
        await harness.play("""
            director send order maintain cache1
            agent1 send ready up 100%
            all wait 3
        """)
        assert harness.state("cache1") == ("maintenance", 0, "order")
        await harness.send_members(
            harness.actors["coordinator"], {**harness.member("cache1"), "up_since_ms": int(harness.unix() * 1000)}
        )
        await trio.sleep(1)
        assert harness.state("cache1") == ("maintenance", 0, "order") and await caches_used(harness, 1) == {"cache2"}
        await harness.play("director send order ready cache1\n cache1 wait degraded")

    run_health_scenario(steps)


def test_dns_does_not_name_a_member_that_its_agent_drains():
    play_health(
        f"""
        dns send p0.{OBJ}.g17.video.route.example.org id=5
        cache1 expect do k={OBJ}
        cache1 send ok note=mem body=hello
        resolver expect cache1.example.org
        agent1 send drain
        cache1 wait draining
        resolver send 127.0.0.11
        dns expect REFUSED unnamed
    """,
        members=("cache1", "upper", "records"),
    )


def test_grpc_health_watchers_are_notified_of_the_drain_at_once():
    from rookbend.core.check_result import CheckOutcome
    from rookbend.protocol.grpc_health_client import GrpcHealthClient

    async def steps(harness):
        client, statuses = GrpcHealthClient("x", "", watch=True), []
        async with await trio.open_tcp_stream(*harness.service.balancer[2].address) as stream:
            await stream.send_all(client.start())
            while len(statuses) < 2:
                await stream.send_all(client.feed(await stream.receive_some(65536)) or b"")
                if client.result is not None:
                    statuses.append(client.result)
                    client.result = None
                    harness.service.stop()
        assert statuses == [(CheckOutcome.PASSED, ""), (CheckOutcome.FAILED, "NOT_SERVING")]
        assert trio.current_time() < 0.5, "before the grace period for late requests ends"

    run_with_director(steps)
