import pytest

from sequoiapoint.coordination.retry_window import RetryWindow


def acquired_retries(window, hosts, attempts=1000):
    return sum(window.try_acquire(0.0, hosts) for _ in range(attempts))


@pytest.mark.parametrize(
    ("requests", "hosts", "bound"),
    [(0, 1, 50), (0, 10, 5), (1000, 1, 250), (1000, 10, 205)],
)
def test_retries_stay_within_the_part_of_the_budget_of_one_host(requests, hosts, bound):
    window = RetryWindow(0.2, 50.0, 10.0)
    for _ in range(requests):
        window.record_request(0.0)
    acquired = acquired_retries(window, hosts)
    assert 0.5 * bound < acquired <= bound


def test_ten_hosts_together_stay_within_the_budget_when_all_requests_fail():
    """Simulates a service whose servers fail every request."""
    hosts = [RetryWindow(0.2, 52.0, 10.0) for _ in range(10)]
    requests = acquired = 0
    for second in range(30):
        acquired_this_second = 0
        for host in hosts:
            for _ in range(10):
                host.record_request(float(second))
                requests += 1
                acquired_this_second += host.try_acquire(float(second), 10)
        acquired += acquired_this_second
    assert acquired <= 0.2 * requests + 3 * 52


def test_the_budget_is_available_again_after_the_window():
    window = RetryWindow(0.2, 10.0, 10.0)
    assert acquired_retries(window, 1) == 7
    assert not window.try_acquire(9.9, 1)
    assert window.try_acquire(10.1, 1)
