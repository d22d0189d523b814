"""The weight that a request earns, and the score of a run."""

import pytest

from rookbend.testing.weighted_score import ClassObjective, RequestOutcome, earned_weight, score_run

MS, SECOND = 1_000, 1_000_000
VIDEO = ClassObjective("video", 2.0, 600 * MS, latency_objective_stretch=2.0, late_priority_weight=0.1)
PAGE = ClassObjective("page", 1.0, 300 * MS, stale_priority_weight=0.7)


@pytest.mark.parametrize(
    "objective, outcome, expected",
    [
        (VIDEO, RequestOutcome(0, 0, 600 * MS), 2.0),
        (VIDEO, RequestOutcome(0, 0, 601 * MS), 0.2),
        (VIDEO, RequestOutcome(0, 0, None), 0.0),
        (VIDEO, RequestOutcome(0, 0, 1000 * MS, transfer_us=200 * MS), 2.0),
        (PAGE, RequestOutcome(5, 1, 9, is_stale=True), 0.7),
        (PAGE, RequestOutcome(0, 1, 301 * MS), 0.0),
    ],
)
def test_weight_earned_by_one_request(objective, outcome, expected):
    assert earned_weight(objective, outcome) == pytest.approx(expected)


def test_score_combines_whole_run_worst_window_and_worst_class():
    """A run of 60 s with one video and one page each second; the pages of seconds 20 to 29 fail."""
    requests = [RequestOutcome(s * SECOND, 0, s * SECOND + 1) for s in range(60)]
    requests += [RequestOutcome(s * SECOND, 1, None if 20 <= s < 30 else s * SECOND + 1) for s in range(60)]
    score = score_run([VIDEO, PAGE], requests)
    assert score.whole_run == pytest.approx(170 / 180) and score.worst_window == pytest.approx(2 / 3)
    assert score.worst_window_us == 20 * SECOND and score.by_class == {"video": 1.0, "page": pytest.approx(5 / 6)}
    assert score.total == pytest.approx(0.6 * 170 / 180 + 0.1 * 2 / 3 + 0.3 * 5 / 6)
    assert score_run([VIDEO, PAGE], []).total == 1.0
    assert score_run([VIDEO, PAGE], requests[:3]).worst_window == 1.0
