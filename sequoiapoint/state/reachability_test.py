import pytest

from sequoiapoint.state.reachability import ReachabilityChange, ServiceReachability
from sequoiapoint.state.server_load import SILENCE_TIMEOUT_S

SERVERS = [(f"s-{number}", 1) for number in range(5)]
START = 100.0


def apply(service, events):
    """Apply events: what happened, the server's number, its time, and the connection's.

    Times are since ``START``.
    """
    for what, number, at, *opened in events:
        times = [START + t for t in (*opened, at)]
        getattr(service, f"note_{what}")(SERVERS[number], *times)


def state_at(events, at, servers=5):
    """Return whether a host is cut off whose probes fail as well, if it probes."""
    service = ServiceReachability()
    apply(service, events)
    service.update(SERVERS[:servers], START + at)
    if service.is_suspected:
        service.note_probes_failed()
        service.update(SERVERS[:servers], START + at)
    return service.is_cut_off


FAILED_THREE = [("connect_failure", n, 0.3) for n in range(3)]
SENT_THREE = [("sent", n, 0.0) for n in range(3)]
CALLERS_LEAVE = [
    (what, n, at + 0.3 * (what == "ended"))
    for at in (0.0, 0.3, 0.6)
    for n in range(3)
    for what in ("sent", "ended")
]


@pytest.mark.parametrize(
    ("events", "at", "servers", "is_cut_off"),
    [
        ([], 1.0, 5, False),
        (FAILED_THREE[:2], 0.4, 5, False),
        (FAILED_THREE, 0.4, 5, True),
        # One server that restarts, however often it is tried.
        (FAILED_THREE[:1] * 9, 0.4, 5, False),
        # All servers of a small service.
        (FAILED_THREE[:2], 0.4, 2, False),
        (FAILED_THREE[:2] * 2, 0.4, 2, True),
        (FAILED_THREE[:1] * 2, 0.4, 1, False),
        (FAILED_THREE[:1] * 3, 0.4, 1, True),
        # Data on a newer connection refutes failures to connect.
        ([*FAILED_THREE, ("received", 4, 0.4, 0.35)], 0.5, 5, False),
        # Data on an older one does not.
        ([*FAILED_THREE, ("received", 0, 0.4, 0.1)], 0.5, 5, True),
        # Old failures say nothing.
        (FAILED_THREE, 6.0, 5, False),
        # Requests that were sent and get nothing back.
        (SENT_THREE, SILENCE_TIMEOUT_S - 0.1, 5, False),
        (SENT_THREE, SILENCE_TIMEOUT_S + 0.1, 5, True),
        (SENT_THREE[:2], 9.0, 5, False),
        ([*SENT_THREE, ("received", 4, 0.5, -9.0)], 1.0, 5, False),
        # A single server may be silent for a while.
        (SENT_THREE[:1], 2 * SILENCE_TIMEOUT_S, 1, False),
        (SENT_THREE[:1], 3 * SILENCE_TIMEOUT_S + 0.1, 1, True),
        # Callers leave sooner than servers count as silent.
        (CALLERS_LEAVE, 1.0, 5, True),
        ([*CALLERS_LEAVE, ("received", 4, 0.95, -9.0)], 1.0, 5, False),
        # Servers that are no longer listed.
        (FAILED_THREE, 0.4, 0, False),
    ],
)  # fmt: skip
def test_a_host_is_cut_off_if_several_servers_failed_since_the_last_data(
    events, at, servers, is_cut_off
):
    assert state_at(events, at, servers) is is_cut_off


@pytest.mark.parametrize(
    ("opened", "change"),
    [(0.1, None), (0.45, ReachabilityChange.REGAINED)],
    ids=["old_connection", "new_connection"],
)
def test_a_cut_ends_with_data_on_a_connection_opened_after_its_begin(opened, change):
    service = ServiceReachability()
    apply(service, FAILED_THREE)
    assert service.update(SERVERS, START + 0.4) is ReachabilityChange.LOST
    assert service.update(SERVERS, START + 9.0) is None
    apply(service, [("received", 4, 9.5, opened)])
    assert service.update(SERVERS, START + 9.6) is change


def test_a_cut_ends_if_the_service_has_no_servers():
    service = ServiceReachability()
    apply(service, FAILED_THREE)
    service.update(SERVERS, START + 0.4)
    assert service.update([], START + 0.5) is ReachabilityChange.REGAINED


def test_only_failed_probes_confirm_that_a_host_is_cut_off():
    """Guards against a leader that gives the lease up as some engines crash."""
    service = ServiceReachability()
    service.note_probes_failed()
    assert not service.is_confirmed
    apply(service, FAILED_THREE)
    service.update(SERVERS, START + 0.4)
    assert (service.is_cut_off, service.is_confirmed) == (True, False)
    service.note_probes_failed()
    assert service.is_confirmed
    apply(service, [("received", 4, 0.6, 0.5)])
    service.update(SERVERS, START + 0.6)
    assert (service.is_cut_off, service.is_confirmed) == (False, False)


@pytest.mark.parametrize(
    ("data_at", "is_cut_off"), [(0.4, False), (-0.2, True)], ids=["data", "no_data"]
)
def test_a_few_servers_that_reset_connections_do_not_cut_a_host_off(
    data_at, is_cut_off
):
    """Guards against a host that rejects all requests because of a few bad servers.

    Three of 40 servers reset all connections, while the others sent data on
    connections that were open before: 1,474 requests of a day were rejected.
    """
    service = ServiceReachability()
    apply(service, [*FAILED_THREE, ("received", 4, data_at, -9.0)])
    service.update(SERVERS, START + 0.5)
    assert service.is_cut_off is is_cut_off
    assert service.is_suspected is not is_cut_off
    apply(service, [("received", 3, 0.55, 0.52)])
    service.update(SERVERS, START + 0.6)
    assert not (service.is_cut_off or service.is_suspected)
