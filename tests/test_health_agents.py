"""Members' health agents: precedence of the membership, misbehaving agents, flapping, panic."""

import pytest
import trio
import trio.testing

from tests.health_scenarios import AGENT, HTTP, caches_used, run_health_scenario


def test_an_agents_ready_does_not_override_the_membership():
    """An agent reports ready 20 times per second while the membership drains, then removes its cache: it stays out."""

    async def steps(harness):
        await harness.play("""
            agent1 send up ready 100%
            coordinator send DRAINING cache1
            cache1 wait draining
        """)
        for _ in range(40):
            harness.actors["agent1"].health_agent.behavior.text = b"up ready 100%\n"
            await trio.sleep(0.05)
            assert harness.state("cache1") == ("draining", 0, "roster")
        assert await caches_used(harness, 1) == {"cache2"}
        await harness.play("coordinator send DELETED cache1\n all wait 3")
        assert harness.service.health.service.find("cache1") is None and await caches_used(harness, 50) == {"cache2"}

    run_health_scenario(
        steps,
        operators=AGENT.replace("interval 1s", "interval 50ms")
        .replace("fast 200ms", "fast 50ms")
        .replace("[check agent]", "[check agent]\n answer-by 50ms"),
    )


@pytest.mark.parametrize(
    "report, state",
    [
        ("drain", "draining"),
        ("maint # cables", "maintenance"),
        ("down#disk", "down"),
        ("0%", "draining"),
    ],
)
def test_an_agents_report_takes_out_a_member_that_the_membership_lists_as_ready(report, state):
    async def steps(harness):
        await harness.play(f"agent1 send {report}\n cache1 wait {state}")
        assert await caches_used(harness, 1) == {"cache2"}
        await harness.play("agent1 send ready up 100%\n cache1 wait degraded")
        assert harness.state("cache1")[2] == "slow-start"
        await harness.play("all wait 16\n cache1 wait ready")
        assert await caches_used(harness, 50) == {"cache1", "cache2"}

    run_health_scenario(steps)


def test_an_attempt_that_waits_for_a_connection_is_withheld_once_the_agent_reports_drain():
    """Guards the limit of 500 ms: an attempt that was placed before a drain must not be sent to the member after it."""

    async def steps(harness):
        harness.service.pool.max_connections = 0  # no attempt can be sent: it waits for a connection
        await harness.play("client send request 1 video\n all wait 0.05")
        waiting_caches = [
            n for n in ("cache1", "cache2") if harness.service.pool.members.get(harness.service.health.service.find(n))
        ]
        agent, other = ("agent1", "cache2") if waiting_caches == ["cache1"] else ("agent2", "cache1")
        await harness.play(f"{agent} send drain\n {waiting_caches[0]} wait draining")
        harness.service.pool.max_connections = 8
        for member_pool in list(harness.service.pool.members.values()):
            member_pool.dispatch_waiting()
        await harness.play(f"""
            {other} expect do rid=0000000000000001
            {other} send ok note=mem body=x
            client expect served 1
            {waiting_caches[0]} expect nothing
        """)
        assert harness.service.counters.withheld == 1

    run_health_scenario(steps)


def test_a_draining_parent_is_no_longer_used_as_a_source():
    async def steps(harness):
        await harness.play("agent3 send drain\n upper wait draining\n client send request 1 video")
        harness.nursery.start_soon(trio.sleep, 0)
        await trio.sleep(0.1)
        fill_cache = next(
            n for n in ("cache1", "cache2") if harness.actors[n].observed.statistics().current_buffer_used
        )
        await harness.play(f"{fill_cache} expect do next=records")

    run_health_scenario(steps, operators=AGENT + "    tier all\n")


# Misbehaving agents


@pytest.mark.parametrize(
    "behavior",
    [
        "stall up 100%",
        "dribble up ready 100% # a long line of words",
        "flood x",
        "silent",
        "reset up ready",
        "leave",
        "\x00\x01 gibberish",
    ],
)
def test_a_misbehaving_agent_changes_no_state_and_delays_no_request(behavior):
    async def steps(harness):
        await harness.play(f"agent1 send {behavior}\n agent2 send {behavior}\n all wait 5")
        assert harness.state("cache1")[:2] == ("ready", 100) and harness.state("cache2")[:2] == ("ready", 100)
        before = trio.current_time()
        assert await caches_used(harness, 1) == {"cache1", "cache2"} and trio.current_time() - before < 2
        health = harness.service.health
        assert all(c["trouble"] for row in health.service.table() for c in row["checks"]), "the table shows the error"
        assert health.runner.scheduler.running <= 2 and health.service.table()[0]["checks"]
        for name in ("agent1", "agent2"):
            health_agent = harness.actors[name].health_agent
            # Data beyond the maximum line length stays in the socket buffers and is not read.
            assert health_agent.sent_bytes / health_agent.polls < 8 << 20

    run_health_scenario(steps)


def test_a_silent_agents_weight_expires_and_its_drain_holds():
    """A weight and `down` expire after `stale`; a `drain` is an order of the member's operators and does not expire."""

    async def steps(harness):
        await harness.play("""
            agent1 send up 40%
            cache1 wait degraded
            agent2 send drain
            cache2 wait draining
            agent1 send silent
            agent2 send silent
            all wait 2
        """)
        assert harness.state("cache1") == ("degraded", 40, "agent")
        await trio.sleep(30)
        assert harness.state("cache1")[:2] == ("ready", 100) and harness.state("cache2")[0] == "draining"

    run_health_scenario(steps)


def test_each_flap_lengthens_the_ejection():
    async def steps(harness):
        service, ejection_times = harness.service.health.service, []
        for _ in range(5):
            await harness.play("agent1 send down\n cache1 wait down")
            began = trio.current_time()
            await harness.play("agent1 send up\n cache1 wait ready degraded")
            ejection_times.append(trio.current_time() - began)
        assert ejection_times[4] > 2 * ejection_times[2] > 2 * ejection_times[0], ejection_times
        assert service.table()[[r["member"] for r in service.table()].index("cache1")]["flaps"] == 4

    run_health_scenario(steps, operators=AGENT.replace("hold 100ms", "hold 1s"))


def test_panic_keeps_a_tier_in_use_when_all_checks_fail_at_once():
    """If all agents report down, the director's own network is probably at fault: panic keeps the members in use."""

    async def steps(harness):
        await harness.play("agent1 send down\n cache1 wait down\n agent2 send down\n cache1 wait degraded")
        assert harness.state("cache1")[2] == "panic" and harness.state("cache2")[2] == "panic"
        assert await caches_used(harness, 1) == {"cache1", "cache2"}
        # Within the limit again, the checks count after `panic-hold`.
        await harness.play("agent2 send up\n all wait 1")
        assert harness.state("cache1")[2] == "panic"
        await harness.play("cache1 wait down")
        assert await caches_used(harness, 50) == {"cache2"}

    run_health_scenario(steps)


def test_a_member_whose_process_was_not_running_counts_as_cold_when_it_returns():
    """Its process was not running, so its cache is empty: the budgets for cold members apply, whatever start time the
    membership gives."""

    async def steps(harness):
        service = harness.service.health.service
        server = service.find("cache1")
        await harness.play("agent1 send http 200 fine\n agent2 send http 200 fine\n all wait 2")
        await harness.actors["agent1"].close()
        await harness.play("cache1 wait down")
        await harness.actors["agent1"].health_agent.listen(harness.nursery, harness.actors["agent2"].health_agent.port)
        await harness.play("cache1 wait degraded\n all wait 0.15")
        member = harness.service.engine.endpoints[server].member
        assert member.started_us > harness.service.clock.now() - 3_000_000
        assert harness.state("cache1")[1] == 20, "the weight starts at the settings' share for cold members"
        levels = []
        for _ in range(15):
            levels.append(harness.state("cache1")[1])
            await trio.sleep(1)
        assert levels == sorted(levels) and max(b - a for a, b in zip(levels, levels[1:], strict=False)) <= 10
        await harness.play("cache1 wait ready")

    run_health_scenario(steps, operators=HTTP)
