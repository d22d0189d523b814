"""Reload with other voters: they take effect, and only other changes of the section are reported to need a restart."""

import msgspec
import pytest

from rookbend.settings import Settings
from rookbend.settings.sections import Ownership
from tests.director_scenario import run_with_director

VOTERS = Ownership(voters=(0, 1, 2))


@pytest.mark.parametrize(
    "before, after, restart_for",
    [
        (VOTERS, Ownership(voters=(0, 1, 2, 3, 4)), "nothing"),
        (VOTERS, Ownership(), "nothing"),
        (VOTERS, Ownership(voters=(0, 1, 2), shards=4), "[ownership]"),
        (VOTERS, Ownership(voters=(0, 1), shards=4), "[ownership]"),
        (VOTERS, None, "[ownership]"),
        (None, VOTERS, "[ownership]"),
    ],
)
def test_a_reload_reports_the_section_only_if_more_than_its_voters_has_changed(before, after, restart_for, capsys):
    # Guards against a restart being reported as needed, at this and every later reload, for voters that are in force.
    async def steps(harness):
        context = harness.service.reload._context
        context.operators = msgspec.structs.replace(context.operators, ownership=before)
        harness.operators = msgspec.structs.replace(harness.operators, ownership=after)
        harness.service.reload()
        harness.service.reload()
        assert isinstance(context.operators, Settings)

    run_with_director(steps)
    lines = [line for line in capsys.readouterr().err.splitlines() if "event=reloaded" in line]
    assert [line.rpartition("restart_for=")[2] for line in lines] == [restart_for, restart_for]
