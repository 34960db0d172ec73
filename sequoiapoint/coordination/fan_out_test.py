import pytest

from sequoiapoint.coordination.fan_out import BURST_BYTES, BYTES_PER_MBIT, FanOutQueue

LINK_QUEUE_S = 0.06
"""Time for which the queue of a link can hold datagrams before it drops more."""
DIGEST_BYTES = 5_000
INTERVAL_S = 0.5
STEP_S = 0.005


class _Link:
    """A link with a short queue; datagrams that do not fit are lost."""

    def __init__(self, mbps):
        self._bytes_per_s = mbps * BYTES_PER_MBIT
        self._free_at = 0.0

    def accepts(self, data, now):
        start = max(now, self._free_at)
        if start - now > LINK_QUEUE_S:
            return False
        self._free_at = start + len(data) / self._bytes_per_s
        return True


@pytest.mark.parametrize(
    ("hosts", "mbps", "max_gap_s"),
    [(12, 5, 1.0), (32, 20, 1.0), (21, 5, 1.2), (34, 1000, 0.6)],
)
def test_no_host_of_a_zone_is_always_the_last_on_a_slow_link(hosts, mbps, max_gap_s):
    """Replays a day of 86 hosts on links of 5 Mbit/s.

    Up to eight hosts of a zone took its first relay for dead, as its digests to them
    were lost each time.
    """
    queue, link = FanOutQueue(mbps), _Link(mbps)
    addresses = [f"10.0.0.{n}:1" for n in range(hosts)]
    received_at = dict.fromkeys(addresses, 0.0)
    longest_gap_s = lost = 0
    for step in range(int(10.0 / STEP_S)):
        now = step * STEP_S
        if step % round(INTERVAL_S / STEP_S) == 0:
            queue.add("totals", bytes(DIGEST_BYTES), addresses)
        for address, data in queue.take_due(now):
            if not link.accepts(data, now):
                lost += 1
                continue
            longest_gap_s = max(longest_gap_s, now - received_at[address])
            received_at[address] = now
    assert lost == 0
    assert longest_gap_s <= max_gap_s
    assert min(received_at.values()) >= 10.0 - max_gap_s


def test_a_newer_datagram_replaces_one_of_its_kind_in_its_turn():
    queue = FanOutQueue(1)
    queue.add("totals", bytes(BURST_BYTES), ["a"])
    queue.take_due(0.0)
    queue.add("totals", b"old", ["b"])
    queue.add("holdings", b"kept", ["b"])
    queue.add("totals", b"new", ["b"])
    assert queue.pause_s() is not None
    assert queue.take_due(60.0) == [("b", b"new"), ("b", b"kept")]
    assert queue.pause_s() is None
