"""Protocol codecs: the same events however the bytes are split, and the declared errors."""

import random

import msgspec
import pytest

from rookbend.core.model import Attempt, MembershipChange, Purge, Request
from rookbend.interface import AttemptDetail, AttemptStatus, MemberState
from rookbend.protocol import cache_lines, client_frames, dns_tcp
from rookbend.protocol.coordinator_stream import StreamError, Translator, Update, server_number
from rookbend.protocol.event_stream import EventStream, StreamEnd, UnreadableEvent
from rookbend.testing.open_loop_client import encode_frame

CLIENT_FRAMES = (
    encode_frame(7, 1, {"method": "m", "rid": "0" * 16}, b"body") + encode_frame(9, 1) + encode_frame(1, 0, {})
)
CACHE_ANSWERS = (
    b"a1 ok note=parent,slow=12.5,sum=ab,t0=1,load=inflight:7;util:0.61 5\r\nhel\r\n\r\n"
    b"a2 nothing - 0\r\n\r\na3 current sum=ab 0\r\n\r\na4 refused note=crowded,load=util:0.5 0\r\n\r\n"
)
EVENT_STREAM_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n:\n\r\n"
    b'3b\r\nid: 4\ndata: {"index":4,"evict":{"shard":17,"unix_ms":5}}\n\n\n\r\n0\r\n\r\n'
)
DNS_TCP_MESSAGES = dns_tcp.frame(b"one") + dns_tcp.frame(b"") + dns_tcp.frame(b"three")


def split_randomly(data, seed):
    rng, at = random.Random(seed), 0
    while at < len(data):
        size = rng.randint(1, 7)
        yield data[at : at + size]
        at += size


CODECS = [
    (client_frames.FrameParser, CLIENT_FRAMES, 3),
    (lambda: cache_lines.AnswerParser(("utilization", "inflight", "x1")), CACHE_ANSWERS, 4),
    (lambda: EventStream("h", "/", 0), EVENT_STREAM_RESPONSE, 2),
    (dns_tcp.MessageReader, DNS_TCP_MESSAGES, 3),
]


@pytest.mark.parametrize("make_codec, data, count", CODECS)
def test_a_codec_returns_the_same_events_however_the_bytes_are_split(make_codec, data, count):
    def new_codec():
        codec = make_codec()
        if isinstance(codec, EventStream):
            codec.start()
        return codec

    whole = new_codec().feed(data)
    assert len(whole) == count
    for seed in range(5):
        codec = new_codec()
        assert [event for piece in split_randomly(data, seed) for event in codec.feed(piece)] == whole


def test_cache_answers_have_detail_queue_time_load_report_and_body():
    first, second, third, fourth = (
        a.result for a in cache_lines.AnswerParser(("utilization", "outstanding")).feed(CACHE_ANSWERS)
    )
    assert (first.status, first.detail, first.fill_queue_us, first.load_report, first.body) == (
        AttemptStatus.OK,
        AttemptDetail.FILLED,
        12_500,
        (0.61, 7.0),
        b"hel\r\n",
    )
    assert second.status is AttemptStatus.MISS and third.unchanged
    assert (fourth.status, fourth.detail, fourth.load_report) == (
        AttemptStatus.FULL,
        AttemptDetail.NO_FILL_PLACE,
        (0.5,),
    )


@pytest.mark.parametrize("field_names", [("util", "inflight", "x1"), ("utilization", "outstanding", "x1")])
@pytest.mark.parametrize("report_bytes", [b"util:0.5;inflight:7;x1:0", b"x1:0;utilization:0.500;outstanding:7.000"])
def test_a_load_report_is_read_under_either_name_of_its_values(field_names, report_bytes):
    """Guards against load reports under the other names, none of which reached the router."""
    (answer,) = cache_lines.AnswerParser(field_names).feed(b"a1 ok load=%b 0\r\n\r\n" % report_bytes)
    assert answer.result.load_report == (0.5, 7.0, 0.0)


@pytest.mark.parametrize(
    "data",
    [
        b"x\r\n",
        b"a1 what - 0\r\n",
        b"a1 ok - -1\r\n",
        b"a1 ok - 999999\r\n",
        b"a1 nothing - 3\r\nabc\r\n",
        b"a1 ok - 2\r\nabc\r\n",
        b"a" * 5000,
        b"a1 ok load=util:x 0\r\n\r\n",
        b"\xff ok - 0\r\n\r\n",
    ],
)
def test_a_malformed_answer_is_an_error(data):
    with pytest.raises(cache_lines.LineError):
        cache_lines.AnswerParser(("util",)).feed(data)


def test_answers_before_malformed_bytes_are_kept():
    parser = cache_lines.AnswerParser()
    with pytest.raises(cache_lines.LineError) as error:
        parser.feed(CACHE_ANSWERS + b"%%\r\n")
    assert [a.request_id for a in error.value.answers] == ["a1", "a2", "a3", "a4"]


def test_an_incomplete_answer_is_reported_as_partial():
    parser = cache_lines.AnswerParser()
    for data, is_partial in ((b"a1 ok - 5", True), (b"\r\n", True), (b"hello", True), (b"\r\n", False)):
        parser.feed(data)
        assert parser.has_partial is is_partial


def test_a_command_has_the_parameters_of_its_attempt():
    request = Request("9" * 16, 0, "video", "7f", 127, 0, part=3, known_version="ab", body=b"xy")
    attempt = Attempt(
        request,
        1,
        0,
        10,
        20,
        0,
        1_500_000,
        retention_rank=1,
        max_age_us=400,
        join_fill=True,
        refresh_in_background=True,
    )
    assert cache_lines.write_command(attempt, 1_000, "p1") == (
        b"do 9999999999999999 c=video,k=7f,p=3,w=1499,next=p1,admit=1,agelim=1,"
        b"ways=wait-for+background,cached=ab 2\r\nxy\r\n"
    )


def test_members_and_purges_are_translated():
    translate = Translator(("hub", "edge"), ("standard", "parent")).translate
    record = {
        "id": "s1",
        "host_port": "127.0.0.1:9",
        "locality": "edge",
        "flavor": "parent",
        "cell": 2,
        "phase": "DRAINING",
        "size": 4,
        "up_since_ms": 7,
    }
    change = translate(msgspec.convert({"endpoints": {"revision": 3, "members": [record]}}, Update))
    member = change.endpoints[0].member
    assert (
        isinstance(change, MembershipChange) and not change.complete and change.endpoints[0].address == ("127.0.0.1", 9)
    )
    assert (member.server, member.zone, member.kind, member.started_us, member.state) == (
        server_number("s1"),
        1,
        1,
        7000,
        MemberState.DRAINING,
    )
    evict = {"evict": {"ref": "0000000000000000", "unix_ms": 5}}
    purge = translate(msgspec.convert(evict, Update))
    assert purge == Purge(1 << 64, 0, 5000)  # number 0 would mean a whole group
    gone = {"endpoints": {"members": [{"id": "s1", "phase": "DELETED"}]}}
    assert translate(msgspec.convert(gone, Update)).endpoints[0].member.state is MemberState.GONE


@pytest.mark.parametrize("record", [{"id": "s", "phase": "ODD"}, {"id": "s", "host_port": "nowhere"}])
def test_an_event_that_cannot_be_used_is_an_error(record):
    with pytest.raises(StreamError):
        Translator((), ()).translate(msgspec.convert({"endpoints": {"members": [record]}}, Update))


def test_an_unreadable_event_is_reported_by_its_number_and_later_events_are_read():
    """Guards against an error of the whole stream, which was then requested again for the same event, without end."""
    stream = EventStream("h", "/", 0)
    stream.start()
    bad, good = stream.feed(b'HTTP/1.1 200 OK\r\n\r\nid: 7\ndata: {\n\nid: 8\ndata: {"index": 8}\n\n')
    assert isinstance(bad, UnreadableEvent) and bad.index == 7 and bad.reason
    assert isinstance(good, Update) and good.index == 8


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n",
        b"nonsense\r\n\r\n",
    ],
)
def test_a_response_that_is_not_an_event_stream_is_an_error(data):
    stream = EventStream("h", "/", 0)
    stream.start()
    with pytest.raises(StreamError):
        stream.feed(data)


def test_the_end_of_the_stream_is_reported():
    stream = EventStream("h", "/", 9)
    assert b"Last-Event-ID: 9" in stream.start()
    assert isinstance(stream.feed(EVENT_STREAM_RESPONSE)[-1], StreamEnd)
