"""The files kept of a failed test cluster."""

import pytest
import trio

from rookbend.testing.cluster import open_cluster
from rookbend.testing.cluster.failure_record import ENVIRONMENT_VARIABLE


def test_a_failed_cluster_keeps_report_logs_and_settings_and_names_their_folder(tmp_path, monkeypatch):
    # Guards against losing the output of a failure that cannot be reproduced.
    monkeypatch.setenv(ENVIRONMENT_VARIABLE, str(tmp_path / "failures"))

    async def main():
        async with open_cluster(directors=1, caches=1, seed=11) as cluster:
            await cluster.start()
            await cluster.nodes["n0"].wait_for_log("ready")
            raise ValueError("as planted")

    with pytest.raises(ExceptionGroup) as raised:
        trio.run(main)
    (destination,) = (tmp_path / "failures").iterdir()
    (note,) = raised.value.__notes__
    report = (destination / "report.txt").read_text()
    assert str(destination) in note and report in note
    assert "ValueError: as planted" in (destination / "error.txt").read_text()
    assert "seed 11" in report and "start     n0 life 1" in report
    assert (
        '"ready"' in (destination / "n0.log").read_text()
        and "[admin]" in (destination / "n0.rookbend.conf").read_text()
    )
