"""The operators' settings: values and defaults, errors with file and line, and the shipped file."""

import pytest

from rookbend.settings import Settings, SettingsError, parse

FULL_FILE = """
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


def test_a_full_file_is_parsed_to_typed_values():
    settings = parse(FULL_FILE, "x")
    assert settings.log.format == "json" and settings.dns is None
    assert (settings.health.max_out, settings.health.hold_us, settings.health.hold_most_us) == (
        0.3,
        1_500_000,
        120_000_000,
    )
    page, agent = settings.checks
    assert (page.name, page.tier, page.expect_status) == ("page", "all", ((200, 299), (304, 304)))
    assert page.expect_body == 'all "fine" # really' and page.most_bytes == 4096
    assert (agent.send, agent.interval_us, agent.location.line) == ("ask\n", 250_000, 17)


def test_an_empty_file_gives_the_defaults():
    assert parse("", "x") == Settings()


CHECK = "[health]\n[check a]\ntype agent\n"


OWNERSHIP = "[recovery]\n[ownership]\n"


@pytest.mark.parametrize(
    "text, error",
    [
        ("listen 1", "1: listen is set before the first section"),
        ("[log\n", "1: a section's bracket is not closed"),
        ("[log] x\n", "1: text after a section's closing bracket"),
        ("[a b c]\n", "1: a section header must be [KIND] or [KIND NAME]"),
        ("[lgo]\n", "1: unknown section [lgo]; did you mean log?"),
        ("[log]\n[log]\n", "2: [log] is defined twice, first in line 1"),
        ("[log x]\n", "1: [log] takes no name"),
        ("[health]\n[check]\ntype tcp", "2: [check] takes a name"),
        ("[log]\nlevle info", "2: [log] has no directive levle; did you mean level?"),
        ("[log]\nlevel info\n\nlevel info", "4: level is set twice, first in line 2"),
        ("[log]\nlevel", "2: level takes one value, not 0"),
        ("[log]\nlevel loud", "2: level: 'loud' is none of debug, info, warning, error"),
        ('[log]\nlevel "info', "2: a quote is not closed"),
        ('[log]\nlevel in"fo', "2: a quote in the middle of a word"),
        ('[log]\nlevel "in\\fo"', "2: unknown escape: \\f"),
        ('[log]\nlevel "info"x', "2: a space is missing after the quoted word 'info'"),
        ("[log]\nper 5", "2: per: a time needs its unit (us, ms, s, m, h): '5'"),
        ("[log]\nper 5days", "2: per: 'days' is not a unit of a time"),
        ("[log]\nper 5000h", "2: per: 5000h is outside 10ms to 1h"),
        ("[log]\nburst -1", "2: burst: not a whole number"),
        ("[log]\nlevel info\x07", "2: the line contains a control character"),
        ("[log]\n" + "x" * 5000, "2: the line is longer than"),
        ("[health]\nmax-out 0.5", "2: max-out: not a percentage, such as 50%: '0.5'"),
        ("[health]\nmax-out 150%", "2: max-out: 150% is outside 0% to 100%"),
        ("[health]\nhold 5m", "2: hold: 5m is longer than hold-most"),
        ("[admin]\n", "1: [admin] needs listen"),
        ("[admin]\nlisten 192.0.2.1:80", "2: listen: a loopback address is required"),
        ("[admin]\nlisten localhost:80", "2: listen: no HOST:PORT with a numeric host"),
        ("[admin]\nlisten 127.0.0.1:80\nmetrics true", "3: metrics: yes or no expected"),
        ("[dns]\nlisten 127.0.0.1:53\nbox-name x", "3: box-name: needs {id}"),
        ("[check a]\ntype tcp", "1: a check needs the section [health]"),
        (CHECK + "path /x", "4: path: only for checks of type http, not agent"),
        (CHECK + "answer-by 3s", "4: answer-by: 3s is longer than the interval of 2s"),
        (CHECK + "fast 3s", "4: fast: 3s is longer than the interval"),
        (CHECK + "stale 3s", "4: stale: 3s is less than two intervals"),
        ("[health]\n[check a]\ntype http\nexpect-status 99", "4: expect-status: not an HTTP status"),
        ("[health]\n[check a]\ntype http\nexpect-status", "4: expect-status needs a value"),
        ('[health]\n[check a]\ntype http\npath "/a b"', "4: path: only printable ASCII without spaces is allowed"),
        (
            '[health]\n[check a]\ntype http\nhost "a\\r\\nX: y"',
            "4: host: only printable ASCII without spaces is allowed",
        ),
        (OWNERSHIP + "voters 0 1", "3: voters: 2 is an even number"),
        (OWNERSHIP + "lease 500ms", "3: lease: 500ms is less than three times the round trip of 200ms and the drift"),
        (OWNERSHIP + "voters 1 x", "3: voters: not a whole number: 'x'"),
        (
            OWNERSHIP + "report-ledger 127.0.0.1:5\nreport-file /tmp/x",
            "4: report-file: not together with report-ledger",
        ),
        ("[recovery]\npeers no\n[ownership]\n", "3: [ownership] needs [recovery] with peers"),
        ("[health]\n[check a]\ninterval 2s", "2: [check a] needs type"),
    ],
)
def test_each_error_names_its_line(text, error):
    with pytest.raises(SettingsError) as found:
        parse(text, "FILE")
    assert str(found.value).startswith(f"FILE:{error}")


def test_every_directive_is_documented_and_the_shipped_file_is_valid():
    from pathlib import Path

    from rookbend.settings.schema import SECTIONS

    root = Path(__file__).parent.parent
    page = (root / "docs" / "SETTINGS.md").read_text()
    for kind, schema in SECTIONS.items():
        assert f"`[{kind}" in page
        assert not [name for name in schema.directives if f"`{name}`" not in page], kind
    shipped = (root / "deploy" / "rookbend.conf").read_text()
    assert parse(shipped, "x") == Settings(), "the shipped file enables nothing"
    # The commented examples in it are valid as well.
    examples = "\n".join(line[2:] if line.startswith("# ") else line for line in shipped.splitlines()[5:])
    assert parse(examples, "x").checks[0].port == 9777
