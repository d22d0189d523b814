"""Messages of the DNS front: replies of the resolver, replies that are too long, and queries that are not lookups."""

import pytest

from tests.director_scenario import OBJ, play
from tests.test_dns_front import READ, RESOLVED_READ, WRITE


def test_a_resolver_reply_of_another_class_fails_only_its_own_lookup():
    # Guards against an address record of a class other than IN, which terminated the director.
    lookup = RESOLVED_READ.split("resolver send")[0]
    served = play(
        f"{lookup} resolver send hesiod \n dns expect udp id=7 SERVFAIL unnamed" + RESOLVED_READ.replace("id=7", "id=8")
    )
    assert served.counters.served == 2


def test_a_silent_resolver_is_queried_again_and_the_lookup_fails_at_its_deadline():
    play(f"""
        dns send {READ}
        cache1 expect do k={OBJ}
        cache1 send ok note=mem body=hello
        resolver expect cache1.example.org
        resolver expect cache1.example.org
        director wait 3
        dns expect SERVFAIL unnamed
        dns expect nothing
    """)


@pytest.mark.parametrize("reply", ["SERVFAIL", "NXDOMAIN", "192.0.2.1"])
def test_no_member_is_named_if_the_resolver_fails_or_returns_an_unknown_address(reply):
    play(f"""
        dns send {READ}
        cache1 expect do k={OBJ}
        cache1 send ok note=mem body=hello
        resolver expect cache1.example.org
        resolver send {reply}
        dns expect SERVFAIL unnamed
    """)


def test_a_truncated_reply_of_the_resolver_is_queried_again_over_tcp():
    play(f"""
        dns send {READ}
        cache1 expect do k={OBJ}
        cache1 send ok note=mem body=hello
        resolver expect cache1.example.org
        resolver send truncated
        resolver expect cache1.example.org
        resolver send 127.0.0.11
        dns expect NOERROR cache1.example.org 127.0.0.11
    """)


def test_a_reply_too_long_for_a_datagram_is_truncated_and_complete_over_tcp():
    long = ".".join(["x" * 60] * 3) + ".example.org"
    name = READ.replace("route.example.org", long)
    box_name = "{id}." + ".".join(["y" * 60] * 3 + ["z" * 40]) + ".example.net"
    play(
        f"""
        dns send {name} plain id=5
        cache1 expect do k={OBJ}
        cache1 send ok note=mem body=hello
        resolver expect {box_name.format(id="cache1")}
        resolver send 127.0.0.11
        dns expect udp id=5 truncated unnamed
        dns send tcp {name} plain id=6
        cache1 expect do k={OBJ}
        cache1 send ok note=mem body=hello
        resolver expect {box_name.format(id="cache1")}
        resolver send 127.0.0.11
        dns expect tcp id=6 NOERROR 127.0.0.11
    """,
        dns=f"zone {long}\n box-name {box_name}",
    )


@pytest.mark.parametrize(
    "name, rcode",
    [
        ("www.elsewhere.example.com", "REFUSED"),
        (READ.replace("video", "no-class"), "NXDOMAIN"),
        (READ.replace("p0", "p-1"), "FORMERR"),
        (READ.replace("g1", "g256"), "FORMERR"),
        (READ.replace(OBJ, "7f3a"), "FORMERR"),
        ("x." + READ, "FORMERR"),
        (WRITE.split(".", 1)[1], "FORMERR"),
        (READ.replace("p0", "r9b1f03aa5c7e2d41.p0"), "FORMERR"),
        ("route.example.org", "NOERROR"),
        (READ + " type=TXT", "NOERROR"),
    ],
)
def test_names_that_are_not_lookups_are_answered_at_once(name, rcode):
    service = play(f"""
        dns send {name}
        dns expect {rcode} unnamed
        cache1 expect nothing
    """)
    assert service.counters.requests == 0


@pytest.mark.parametrize(
    "raw, rcode",
    [
        ("0005010000010000000000000361", "FORMERR"),  # a truncated question
        ("000501000000000000000000", "FORMERR"),  # no question
        ("0005200000010000000000000161000001" + "0001", "NOTIMP"),
    ],
)
def test_malformed_messages_get_the_matching_error_code(raw, rcode):
    play(f"""
        dns send raw {raw}
        dns expect id=5 {rcode}
    """)


@pytest.mark.parametrize("raw", ["00", "000581000001000000000000"])
def test_incomplete_headers_and_replies_are_not_answered(raw):
    play(f"""
        dns send raw {raw}
        dns expect nothing
    """)
