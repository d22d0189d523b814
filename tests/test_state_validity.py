"""The table of validity: which persisted state is still valid after a power loss."""

from rookbend.recovery import state_validity
from rookbend.testing.recovery_simulation import EPOCH, SECOND

NOW = EPOCH


def test_rows_are_valid_as_their_class_and_age_say():
    is_valid, hour = state_validity.is_valid, 3600 * SECOND
    assert is_valid("order", 1, NOW) and is_valid("order", NOW + hour, NOW), "valid whatever its age"
    assert is_valid("drain", NOW + hour, NOW), "a limit from the future applies"
    assert not is_valid("drain", NOW - hour, NOW) and state_validity.validity_start_us(NOW + hour, NOW) == NOW
    assert is_valid("hint", NOW - SECOND, NOW) and not is_valid("hint", NOW + SECOND, NOW)
    assert is_valid("purge", NOW - 5 * SECOND, NOW, 6 * SECOND)
    assert not is_valid("purge", NOW - 7 * SECOND, NOW, 6 * SECOND) and not is_valid("verdict", NOW, NOW)


def test_every_persisted_kind_has_a_rule():
    from rookbend.state.model import KINDS

    assert set(KINDS) == set(state_validity.BY_KIND)
