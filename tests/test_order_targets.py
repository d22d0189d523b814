"""Targets of orders: a malformed scope, number or member ends no director and does not prevent its next start."""

import pytest
import trio

from rookbend.components.admin import MemberOrders
from rookbend.core.decimal_text import is_decimal
from rookbend.health.model import Order
from rookbend.leases.leader_tasks import UnknownTaskError, parse_scope
from rookbend.protocol.event_stream import EventStream
from rookbend.recovery.actions import ApplyOrder
from rookbend.recovery.director_orders import DirectorOrders, MalformedOrderKeyError
from rookbend.testing.lease_simulation import LeaseSimulation
from rookbend.testing.lease_simulation_parts import SECOND_US
from tests.director_scenario import run_with_director

NO_SCOPES = (
    "checks/\u00b2",
    "checks/x",
    "checks/",
    "checks",
    "checks/" + "9" * 60,
    "orders/x",
    "orders/",
    "orders/1",
    "",
    "/",
)


@pytest.mark.parametrize("name", NO_SCOPES)
def test_a_malformed_scope_name_raises_unknown_task(name):
    with pytest.raises(UnknownTaskError):
        parse_scope(name)


@pytest.mark.parametrize("target", [f"@{name}" for name in NO_SCOPES])
@pytest.mark.parametrize("order", ["drain", "pin 1", "pin \u00b2"])
def test_an_order_on_a_malformed_scope_ends_no_director_and_no_later_start(target, order):
    # Every director of the fleet stores the order; if it could not be read back, none of them could start again.
    sim = LeaseSimulation(4)
    sim.start()
    sim.run(10 * SECOND_US)
    sim.order(1, target, order)
    sim.run(5 * SECOND_US)
    sim.kill(0, 1, 2, 3)
    sim.start()
    sim.run(10 * SECOND_US)
    assert not sim.leaderless_scopes() and not sim.violations


def test_an_order_on_a_member_whose_name_has_the_prefix_of_scopes_is_refused():
    outcome = MemberOrders(None, None, object()).submit("@checks/1", Order.DRAIN, "kim", True)

    async def main():
        return await outcome

    status, error = trio.run(main)
    assert status == 400 and "`member` begins with @" in error


@pytest.mark.parametrize("text, number", [("0", True), ("12", True), (b"12", True), ("", False), ("-1", False)])
def test_which_texts_are_decimal_numbers(text, number):
    assert is_decimal(text) == number


@pytest.mark.parametrize("text", ["\u00b2", "\u0663", "1\n", "9" * 5000])
def test_non_ascii_or_too_many_digits_and_a_trailing_newline_are_no_decimal_number(text):
    assert not is_decimal(text)


def test_an_event_id_of_thousands_of_digits_is_ignored():
    stream = EventStream("h", "/", 0)
    stream.start()
    data = b"id: " + b"9" * 5000 + b"\ndata: {}\n\n"
    stream.feed(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n" % (len(data), data))


def test_a_peers_order_with_a_non_decimal_director_number_is_malformed():
    orders = DirectorOrders(None, 5, None, None)
    with pytest.raises(MalformedOrderKeyError):
        orders.add_peers_order("\u00b2/c1", b"")


def test_an_order_unknown_to_this_version_has_no_effect(capsys):
    # An unknown order from a peer must not end the director when it is applied, nor at each start from its disk.
    async def steps(harness):
        recovery = harness.service.context.built["recovery"]
        recovery.apply_order(ApplyOrder("cache1", "explode", "kim"))
        recovery.apply_order(ApplyOrder("cache1", "drain", "kim"))
        await harness.wait_for_state("cache1", "draining")

    run_with_director(steps, operators="[recovery]\n fleet f1\n[health]\n")
    (line,) = [line for line in capsys.readouterr().err.splitlines() if "event=order_unknown" in line]
    assert "order=explode" in line and "member=cache1" in line
