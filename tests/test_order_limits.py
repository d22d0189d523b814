"""Limits of an operator's order: the admin API rejects what exceeds them; an order within them fits any message."""

import json

import pytest
import trio

from rookbend.protocol import gossip
from rookbend.protocol.admin_api import AdminApi, CommandResult
from rookbend.protocol.http_server import HttpRequest
from rookbend.protocol.lease_messages import AppendEntry, EntriesFetched, Entry, OrderOrigin, SubmitOrder
from rookbend.protocol.leases import ENTRY_NUMBER_LIMIT, INTEGER_LIMIT, LeaseProtocolError, decode, encode
from rookbend.protocol.order_limits import MAX_OPERATOR_BYTES, MAX_ORDER_BYTES, MAX_TARGET_BYTES
from rookbend.recovery.replicated_rows import OrderValue, encode_value

HEADERS = {b"host": b"127.0.0.1", b"content-type": b"application/json"}
FLEET, DIRECTOR, LARGEST = (1 << 32) - 1, 255, INTEGER_LIMIT - 1
HEADER = FLEET, DIRECTOR, (1 << 40)
LARGEST_ENTRY = Entry(
    ENTRY_NUMBER_LIMIT - 1,
    LARGEST,
    "m" * MAX_TARGET_BYTES,
    "o" * MAX_ORDER_BYTES,
    "b" * MAX_OPERATOR_BYTES,
    OrderOrigin(LARGEST, LARGEST, LARGEST),
)


def post_order(**fields):
    """Posts an order; returns the status and the fault of the response, and the orders that the API passed on."""
    accepted = []

    async def accept(*order):
        accepted.append(order)
        return CommandResult(200, "")

    async def main():
        body = json.dumps({"member": "c1", "order": "drain", "by": "kim", "fleet": True} | fields).encode()
        return await AdminApi({}, accept, None).answer(HttpRequest("POST", "/orders", HEADERS, body))

    response = trio.run(main)
    return response.status, json.loads(response.body).get("fault", ""), accepted


@pytest.mark.parametrize("fleet", [True, False])
@pytest.mark.parametrize(
    "field, text, fault",
    [
        ("member", "c1" * 200, "`member` has 400 bytes, 72 at most"),
        ("member", "m" * 73, "`member` has 73 bytes, 72 at most"),
        ("member", "\u00fc" * 37, "`member` has 74 bytes, 72 at most"),
        ("member", "c1\n", "`member` holds a character that can't be printed"),
        ("by", "k" * 300, "`by` has 300 bytes, 40 at most"),
        ("by", "k" * 41, "`by` has 41 bytes, 40 at most"),
        ("by", "kim\0", "`by` holds a character that can't be printed"),
        ("by", "kim\r\nlee", "`by` holds a character that can't be printed"),
    ],
)
def test_an_order_beyond_the_limits_is_rejected_and_not_passed_on(field, text, fault, fleet):
    # Guards against an order that fits into no datagram: it ended the director, or was truncated silently.
    assert post_order(**{field: text, "fleet": fleet}) == (400, fault, [])


@pytest.mark.parametrize("field, text", [("member", "m" * 72), ("by", "k" * 40), ("by", "\u00fc" * 20), ("by", "")])
def test_an_order_at_the_limits_is_accepted_unchanged(field, text):
    status, _, (accepted,) = post_order(**{field: text})
    assert status == 200 and text in accepted


@pytest.mark.parametrize(
    "message",
    [
        SubmitOrder(*HEADER, LARGEST, *LARGEST_ENTRY[2:5]),
        AppendEntry(*HEADER, LARGEST, ENTRY_NUMBER_LIMIT - 1, LARGEST_ENTRY),
        EntriesFetched(
            *HEADER, LARGEST, LARGEST, LARGEST, ENTRY_NUMBER_LIMIT - 1, ENTRY_NUMBER_LIMIT - 1, (LARGEST_ENTRY,)
        ),
    ],
    ids=lambda message: type(message).__name__,
)
def test_an_order_at_the_limits_fits_into_each_message_whatever_its_numbers(message):
    assert decode(encode(message)) == message


def test_an_order_at_the_limits_is_replicated_by_gossip():
    value = OrderValue("maintain", "b" * MAX_OPERATOR_BYTES, (1 << 48) - 1)
    row = (f"{DIRECTOR}/{'m' * MAX_TARGET_BYTES}", encode_value(value))
    assert gossip.decode(gossip.encode_rows(FLEET, DIRECTOR, 1 << 40, 0, [row])).rows == (row,)


@pytest.mark.parametrize(
    "message",
    [
        SubmitOrder(*HEADER, 1, "m" * 130, "drain", "kim"),
        AppendEntry(*HEADER, 1, 1, LARGEST_ENTRY._replace(number=1, token=1, target="m" * 80)),
        AppendEntry(*HEADER, 1, 1, LARGEST_ENTRY._replace(number=ENTRY_NUMBER_LIMIT, token=1)),
        EntriesFetched(*HEADER, 1, 1, 1, ENTRY_NUMBER_LIMIT, 1, ()),
    ],
    ids=["submit", "text", "number", "committed"],
)
def test_a_message_that_would_not_fit_when_forwarded_is_not_decoded(message):
    with pytest.raises(LeaseProtocolError, match="out of range"):
        decode(encode(message))
