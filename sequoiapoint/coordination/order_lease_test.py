import pytest

from sequoiapoint.coordination.order_lease import MIN_HANDOVER_WAIT_S, OrderLease
from sequoiapoint.protocol.gateway import GroupMembership

LEASE_S = 1.8
HANDOVER_GAP_S = 3.0
LEASE_PARTITION = frozenset({0})


def lease(is_fence_checked=True):
    return OrderLease(LEASE_S, HANDOVER_GAP_S, is_fence_checked)


def test_a_holder_stops_by_its_own_clock_before_the_store_reassigns_the_lease():
    order_lease = lease()
    order_lease.renew(GroupMembership(5, LEASE_PARTITION), 100.0)
    assert order_lease.may_order(100.0 + MIN_HANDOVER_WAIT_S)
    assert not order_lease.may_order(100.0 + LEASE_S - 0.1)


def test_renewals_extend_the_lease():
    order_lease = lease()
    for n in range(20):
        order_lease.renew(GroupMembership(5, LEASE_PARTITION), 100.0 + 0.5 * n)
    assert order_lease.may_order(110.0)


@pytest.mark.parametrize(
    ("membership", "held"),
    [
        (GroupMembership(6, frozenset()), False),
        (GroupMembership(6, LEASE_PARTITION), True),
        (GroupMembership(4, LEASE_PARTITION), True),
    ],
)
def test_a_reassignment_ends_the_lease_at_the_next_response(membership, held):
    order_lease = lease()
    order_lease.renew(GroupMembership(5, LEASE_PARTITION), 100.0)
    order_lease.renew(membership, 100.5)
    assert order_lease.is_held(100.6) is held


def test_a_response_of_an_older_generation_is_ignored():
    order_lease = lease()
    order_lease.renew(GroupMembership(5, frozenset()), 100.0)
    order_lease.renew(GroupMembership(4, LEASE_PARTITION), 100.5)
    assert not order_lease.is_held(100.6)
    assert order_lease.generation == 5


def test_a_holder_waits_again_after_a_gap_in_renewals():
    """Simulates a suspended holder: another may have sent orders in the meantime."""
    order_lease = lease()
    order_lease.renew(GroupMembership(5, LEASE_PARTITION), 100.0)
    order_lease.renew(GroupMembership(7, LEASE_PARTITION), 110.0)
    assert not order_lease.may_order(110.0)
    assert order_lease.may_order(110.0 + MIN_HANDOVER_WAIT_S)


@pytest.mark.parametrize(
    ("checked", "other_at", "may_at"),
    [
        (True, None, MIN_HANDOVER_WAIT_S),
        (True, 0.5, 0.5 + HANDOVER_GAP_S),
        (False, None, HANDOVER_GAP_S),
    ],
)
def test_a_new_holder_waits_until_the_handover_gap_has_passed(
    checked, other_at, may_at
):
    order_lease = lease(checked)
    for n in range(20):
        order_lease.renew(GroupMembership(5, LEASE_PARTITION), 100.0 + 0.25 * n)
    if other_at is not None:
        order_lease.note_other_holder(100.0 + other_at)
    assert not order_lease.may_order(100.0 + may_at - 0.05)
    assert order_lease.may_order(100.0 + may_at + 0.01)


def test_a_rejected_fencing_token_is_not_used_again():
    order_lease = lease()
    order_lease.renew(GroupMembership(5, LEASE_PARTITION), 100.0)
    order_lease.note_rejected(5)
    assert not order_lease.may_order(100.5)
    order_lease.renew(GroupMembership(6, LEASE_PARTITION), 100.5)
    assert order_lease.may_order(101.0)


def test_no_orders_are_allowed_after_a_release():
    order_lease = lease()
    order_lease.renew(GroupMembership(5, LEASE_PARTITION), 100.0)
    order_lease.release()
    assert not order_lease.may_order(100.5)


def test_a_lease_of_an_earlier_era_of_the_store_is_not_held():
    order_lease = lease()
    order_lease.renew(GroupMembership(5, LEASE_PARTITION, 1), 100.0)
    token = order_lease.fence
    order_lease.note_era(2)
    assert not order_lease.is_held(100.1)
    assert order_lease.generation == 0
    order_lease.renew(GroupMembership(6, LEASE_PARTITION, 1), 100.2)
    assert not order_lease.is_held(100.3)
    order_lease.renew(GroupMembership(3, LEASE_PARTITION, 2), 100.4)
    assert order_lease.is_held(100.5)
    assert not order_lease.may_order(100.4 + MIN_HANDOVER_WAIT_S - 0.1)
    assert order_lease.may_order(100.4 + MIN_HANDOVER_WAIT_S)
    assert order_lease.fence > token


def test_a_generation_that_is_given_out_again_gives_another_token():
    tokens = []
    for era in (1, 2, 3):
        order_lease = lease()
        order_lease.renew(GroupMembership(5, LEASE_PARTITION, era), 100.0)
        tokens.append(order_lease.fence)
    assert tokens == sorted(set(tokens))
