import pytest

from sequoiapoint.coordination.order_lease import MIN_HANDOVER_WAIT_S, OrderLease
from sequoiapoint.protocol.gateway import GroupMembership

LEASE_S = 1.8
TURN_S = 3.0
HELD = frozenset({0})


def lease(is_fence_checked=True):
    return OrderLease(LEASE_S, TURN_S, is_fence_checked)


def test_a_holder_stops_by_its_own_clock_before_the_store_gives_the_lease_away():
    own = lease()
    own.renew(GroupMembership(5, HELD), 100.0)
    assert own.may_order(100.0 + MIN_HANDOVER_WAIT_S)
    assert not own.may_order(100.0 + LEASE_S - 0.1)


def test_renewals_keep_the_lease():
    own = lease()
    for n in range(20):
        own.renew(GroupMembership(5, HELD), 100.0 + 0.5 * n)
    assert own.may_order(110.0)


@pytest.mark.parametrize(
    ("membership", "held"),
    [
        (GroupMembership(6, frozenset()), False),
        (GroupMembership(6, HELD), True),
        (GroupMembership(4, HELD), True),
    ],
)
def test_a_reassignment_ends_the_lease_at_the_next_answer(membership, held):
    own = lease()
    own.renew(GroupMembership(5, HELD), 100.0)
    own.renew(membership, 100.5)
    assert own.is_held(100.6) is held


def test_an_answer_of_an_older_generation_changes_nothing():
    own = lease()
    own.renew(GroupMembership(5, frozenset()), 100.0)
    own.renew(GroupMembership(4, HELD), 100.5)
    assert not own.is_held(100.6)
    assert own.generation == 5


def test_after_a_gap_the_holder_begins_anew():
    """Replays a holder that was suspended: another may have given orders meanwhile."""
    own = lease()
    own.renew(GroupMembership(5, HELD), 100.0)
    own.renew(GroupMembership(7, HELD), 110.0)
    assert not own.may_order(110.0)
    assert own.may_order(110.0 + MIN_HANDOVER_WAIT_S)


@pytest.mark.parametrize(
    ("checked", "other_at", "may_at"),
    [
        (True, None, MIN_HANDOVER_WAIT_S),
        (True, 0.5, 0.5 + TURN_S),
        (False, None, TURN_S),
    ],
)
def test_a_successor_waits_until_no_other_can_have_given_an_order(
    checked, other_at, may_at
):
    own = lease(checked)
    for n in range(20):
        own.renew(GroupMembership(5, HELD), 100.0 + 0.25 * n)
    if other_at is not None:
        own.note_other_holder(100.0 + other_at)
    assert not own.may_order(100.0 + may_at - 0.05)
    assert own.may_order(100.0 + may_at + 0.01)


def test_a_number_that_was_refused_is_not_used_again():
    own = lease()
    own.renew(GroupMembership(5, HELD), 100.0)
    own.note_refused(5)
    assert not own.may_order(100.5)
    own.renew(GroupMembership(6, HELD), 100.5)
    assert own.may_order(101.0)


def test_a_released_lease_gives_no_orders():
    own = lease()
    own.renew(GroupMembership(5, HELD), 100.0)
    own.release()
    assert not own.may_order(100.5)
