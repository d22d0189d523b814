"""The table of validity: what each kind of persisted state is good for after a power loss."""

from rookbend.recovery import state_validity
from rookbend.testing.recovery_simulation import EPOCH, SECOND

NOW = EPOCH


def test_the_table_says_what_stands():
    stands, hour = state_validity.is_valid, 3600 * SECOND
    assert stands("order", 1, NOW) and stands("order", NOW + hour, NOW), "kept, whatever the clock says"
    assert stands("drain", NOW + hour, NOW), "a limit from the future binds"
    assert not stands("drain", NOW - hour, NOW) and state_validity.validity_start_us(NOW + hour, NOW) == NOW
    assert stands("hint", NOW - SECOND, NOW) and not stands("hint", NOW + SECOND, NOW)
    assert stands("purge", NOW - 5 * SECOND, NOW, 6 * SECOND)
    assert not stands("purge", NOW - 7 * SECOND, NOW, 6 * SECOND) and not stands("verdict", NOW, NOW)


def test_every_kind_on_disk_has_its_row_in_the_table():
    from rookbend.state.model import KINDS

    assert set(KINDS) == set(state_validity.BY_KIND)
