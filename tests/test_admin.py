"""The admin listener, the table of members, and the structured log."""

import io
import json

import msgspec
import pytest
import trio

from rookbend.cli import members, tables
from rookbend.logs import EventRateLimiter, Log
from tests.health_scenarios import AGENT, run_health_scenario

ADMIN = AGENT + "[admin]\n listen 127.0.0.1:0\n metrics yes\n"
SECOND = 1_000_000


async def ask(harness, method, path, body="", *headers):
    """Sends one request to the admin listener; returns (status, body)."""
    async with await trio.open_tcp_stream(*harness.service.admin.address) as stream:
        head = [f"{method} {path} HTTP/1.1", "Connection: close", f"Content-Length: {len(body)}", *headers]
        if not any(h.startswith("Host") for h in headers):
            head.append("Host: 127.0.0.1")
        await stream.send_all(("\r\n".join(head) + "\r\n\r\n" + body).encode())
        data = b""
        async for more in stream:
            data += more
    head, _, body = data.decode().partition("\r\n\r\n")
    return int(head.split()[1]), body


JSON = "Content-Type: application/json"


def test_members_orders_and_metrics_on_the_admin_listener():
    async def steps(harness):
        await harness.play("agent1 send up 40% # fan\n cache1 wait degraded")
        status, body = await ask(harness, "GET", "/members")
        found = msgspec.json.decode(body)
        assert status == 200 and [m["member"] for m in found["members"]] == ["cache1", "cache2", "upper", "records"]
        lines = tables.format_table(members.HEADER, members.table_rows(found, with_evidence=True)).splitlines()
        assert lines[1].split()[:5] == ["cache1", "cache", "degraded", "40%", "agent"] and "fan" in lines[1]
        assert "roster" in lines[2] and "agent" in lines[3]

        order = json.dumps({"member": "cache2", "order": "drain", "by": "kim"})
        assert (await ask(harness, "POST", "/orders", order, JSON))[0] == 200
        assert harness.state("cache2") == ("draining", 0, "order")
        status, text = await ask(harness, "GET", "/metrics")
        assert status == 200 and 'rookbend_member_weight{member="cache1",role="cache"} 40.0' in text
        assert 'rookbend_members{role="cache",state="draining"} 1.0' in text and "rookbend_requests_total 0.0" in text
        assert json.loads((await ask(harness, "GET", "/background"))[1])["jobs"] == 2

    run_health_scenario(steps, operators=ADMIN)


@pytest.mark.parametrize(
    "status, method, path, body, headers",
    [
        (404, "GET", "/other", "", ()),
        (405, "DELETE", "/members", "", ()),
        (405, "GET", "/orders", "", ()),
        (403, "GET", "/members", "", ("Host: evil.example.org",)),
        (415, "POST", "/orders", "{}", ("Content-Type: text/plain",)),
        (400, "POST", "/orders", "{", (JSON,)),
        (400, "POST", "/orders", '{"member":"x","order":"kill"}', (JSON,)),
        (404, "POST", "/orders", '{"member":"x","order":"drain"}', (JSON,)),
    ],
)
def test_invalid_admin_requests_are_rejected_without_effect(status, method, path, body, headers):
    async def steps(harness):
        assert (await ask(harness, method, path, body, *headers))[0] == status
        assert harness.state("cache1")[0] == "ready"

    run_health_scenario(steps, operators=ADMIN)


def test_an_unreachable_director_gives_an_error_of_one_line(capsys):
    from rookbend.cli import main

    assert main(["members", "--admin", "127.0.0.1:1"]) == 2
    assert main(["members", "drain"]) == 2
    err = capsys.readouterr().err.splitlines()
    assert err[0].startswith("rookbend: no director at 127.0.0.1:1") and err[1] == "rookbend: drain needs a member"


@pytest.mark.parametrize("format", ["text", "json"])
def test_a_log_line_holds_one_event_with_its_fields(format):
    out = io.StringIO()
    log = Log(lambda: 0, format=format, level="info", file=out)
    log("module", "debug", text="hidden")
    log("module", text="a b\nc", count=3)
    if format == "json":
        line = json.loads(out.getvalue())
        assert (line["level"], line["event"], line["text"], line["count"]) == ("info", "module", "a b\nc", 3)
    else:
        assert out.getvalue().endswith('level=info event=module text="a b\\nc" count=3\n')


def test_repeated_events_beyond_the_budget_are_counted_instead_of_logged():
    budget = EventRateLimiter(burst=2, per_us=10 * SECOND)
    assert [budget.admit(0, "garbage") for _ in range(5)] == [0, 0, -1, -1, -1]
    assert budget.admit(0, "other") == 0, "each event has its own budget"
    assert budget.admit(5 * SECOND, "garbage") == 3 and budget.admit(5 * SECOND, "garbage") == -1
    assert [budget.admit(0, "counters") for _ in range(9)] == [0] * 9
