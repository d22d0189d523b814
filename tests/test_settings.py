"""The operators' settings: what can be written, and where each fault is said to be."""

import pytest

from rookbend.settings import Settings, SettingsError, parse

WHOLE = """
# a comment
[log]
    format json            # behind a value
[health]
    max-out     30%
    hold        1.5s
    hold-most   2m
    slow-start  20s
[check page]
    type        http
    port        8080
    tier        all
    expect-status 200-299 304
    expect-body "all \\"fine\\" # really"
    most-bytes  4kb
[check agent]
    type agent
    send "ask\\n"
    interval 250ms
    fast 100ms
    answer-by 200ms
    stale 2s
"""


def test_a_whole_file_gives_typed_values():
    s = parse(WHOLE, "x")
    assert s.log.format == "json" and s.dns is None
    assert (s.health.max_out, s.health.hold_us, s.health.hold_most_us) == (0.3, 1_500_000, 120_000_000)
    page, agent = s.checks
    assert (page.name, page.tier, page.expect_status) == ("page", "all", ((200, 299), (304, 304)))
    assert page.expect_body == 'all "fine" # really' and page.most_bytes == 4096
    assert (agent.send, agent.interval_us, agent.location.line) == ("ask\n", 250_000, 17)


def test_nothing_is_on_in_an_empty_file():
    assert parse("", "x") == Settings()


CHECK = "[health]\n[check a]\ntype agent\n"


OWNERSHIP = "[recovery]\n[ownership]\n"


@pytest.mark.parametrize(
    "text, fault",
    [
        ("listen 1", "1: listen stands before the first section"),
        ("[log\n", "1: a section's bracket is not closed"),
        ("[log] x\n", "1: something stands behind a section's bracket"),
        ("[a b c]\n", "1: a section is [KIND] or [KIND NAME]"),
        ("[lgo]\n", "1: no section [lgo]; log may be meant"),
        ("[log]\n[log]\n", "2: [log] stands twice, first in line 1"),
        ("[log x]\n", "1: [log] takes no name"),
        ("[health]\n[check]\ntype tcp", "2: [check] takes a name"),
        ("[log]\nlevle info", "2: [log] knows no levle; level may be meant"),
        ("[log]\nlevel info\n\nlevel info", "4: level stands twice, first in line 2"),
        ("[log]\nlevel", "2: level takes one value, not 0"),
        ("[log]\nlevel loud", "2: level: 'loud' is none of debug, info, warning, error"),
        ('[log]\nlevel "info', "2: a quote is not closed"),
        ('[log]\nlevel in"fo', "2: a quote stands in the middle of a word"),
        ('[log]\nlevel "in\\fo"', "2: no escape: \\f"),
        ('[log]\nlevel "info"x', "2: a blank is missing behind the quoted 'info'"),
        ("[log]\nper 5", "2: per: a time needs its unit (us, ms, s, m, h): '5'"),
        ("[log]\nper 5days", "2: per: 'days' is no unit of a time"),
        ("[log]\nper 5000h", "2: per: 5000h is outside 10ms to 1h"),
        ("[log]\nburst -1", "2: burst: no whole number"),
        ("[log]\nlevel info\x07", "2: a control character"),
        ("[log]\n" + "x" * 5000, "2: a line is longer than"),
        ("[health]\nmax-out 0.5", "2: max-out: a share is written in percent, as 50%: '0.5'"),
        ("[health]\nmax-out 150%", "2: max-out: 150% is outside 0% to 100%"),
        ("[health]\nhold 5m", "2: hold: 5m is longer than hold-most"),
        ("[admin]\n", "1: [admin] needs listen"),
        ("[admin]\nlisten 192.0.2.1:80", "2: listen: only an address of the loopback"),
        ("[admin]\nlisten localhost:80", "2: listen: no HOST:PORT with a numeric host"),
        ("[admin]\nlisten 127.0.0.1:80\nmetrics true", "3: metrics: yes or no"),
        ("[dns]\nlisten 127.0.0.1:53\nbox-name x", "3: box-name: needs {id}"),
        ("[check a]\ntype tcp", "1: a check needs the section [health]"),
        (CHECK + "path /x", "4: path: only for checks of type http, not agent"),
        (CHECK + "answer-by 3s", "4: answer-by: 3s is longer than the interval of 2s"),
        (CHECK + "fast 3s", "4: fast: 3s is longer than the interval"),
        (CHECK + "stale 3s", "4: stale: 3s is less than two intervals"),
        ("[health]\n[check a]\ntype http\nexpect-status 99", "4: expect-status: no HTTP status"),
        ("[health]\n[check a]\ntype http\nexpect-status", "4: expect-status needs a value"),
        ('[health]\n[check a]\ntype http\npath "/a b"', "4: path: printable ASCII without blanks only"),
        ('[health]\n[check a]\ntype http\nhost "a\\r\\nX: y"', "4: host: printable ASCII without blanks only"),
        (OWNERSHIP + "voters 0 1", "3: voters: 2 are an even number"),
        (OWNERSHIP + "lease 500ms", "3: lease: 500ms is less than three times the round trip of 200ms and the drift"),
        (OWNERSHIP + "voters 1 x", "3: voters: no whole number: 'x'"),
        (OWNERSHIP + "report-ledger 127.0.0.1:5\nreport-file /tmp/x", "4: report-file: a ledger or a file, not both"),
        ("[recovery]\npeers no\n[ownership]\n", "3: [ownership] needs [recovery] with peers"),
        ("[health]\n[check a]\ninterval 2s", "2: [check a] needs type"),
    ],
)
def test_each_fault_is_told_with_its_line(text, fault):
    with pytest.raises(SettingsError) as found:
        parse(text, "FILE")
    assert str(found.value).startswith(f"FILE:{fault}")


def test_every_directive_is_in_the_operators_page_and_the_shipped_file_is_good():
    from pathlib import Path

    from rookbend.settings.schema import SECTIONS

    root = Path(__file__).parent.parent
    page = (root / "docs" / "SETTINGS.md").read_text()
    for kind, schema in SECTIONS.items():
        assert f"`[{kind}" in page
        assert not [name for name in schema.directives if f"`{name}`" not in page], kind
    shipped = (root / "deploy" / "rookbend.conf").read_text()
    assert parse(shipped, "x") == Settings(), "everything is off on the platform"
    # The examples in it are right too, once the comment signs are gone.
    shown = "\n".join(line[2:] if line.startswith("# ") else line for line in shipped.splitlines()[5:])
    assert parse(shown, "x").checks[0].port == 9777
