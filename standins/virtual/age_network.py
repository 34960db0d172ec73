"""Simulated hosts that keep the age of their configuration, with a simulated store.

Run as a module, it prints the age and the load by the number of hosts.
"""

import asyncio
import sys
from collections import Counter
from types import SimpleNamespace

import pytest

from sequoiapoint.node import configuration_age_exchange
from sequoiapoint.node.store_watch import KEY_CONFIGURATION_WAIT_SHARE
from standins.virtual.host_network import HostNetwork, SimulatedHost

BOUND_S = 5.0
POLL_S = KEY_CONFIGURATION_WAIT_SHARE * BOUND_S
CALL_S = 0.05
"""Duration of a call that the store serves, without the wait of a long poll."""
CALL_TIMEOUT_S = 1.0
UNREACHABLE_AFTER_S = 0.5
FIRST_BACKOFF_S, MAX_BACKOFF_S = 0.1, 0.8
STEPS_BETWEEN_CHECKS = 2
"""Steps of the network between two steps of each exchange."""
AGE_MESSAGE_PREFIX = 0xFB
SIZES = {6: (3, 2), 62: (4, 16), 195: (5, 39), 400: (24, 17)}
"""Zones and hosts in each zone, by the number of hosts."""


class SimulatedReader:
    """Reads the configuration from the store by long poll for one host.

    :ivar fault: "" if the store serves the host, ``silent`` or ``refused``.
    """

    def __init__(self, network: "AgeNetwork", host: SimulatedHost) -> None:
        self._network = network
        self._host = host
        self._failing_since: float | None = None
        self._backoff_s = FIRST_BACKOFF_S
        self._next_at = 0.0
        self._poll: tuple[float, float, bool] | None = None
        self.fault = ""

    @property
    def is_reachable(self) -> bool:
        """Tell whether the store counts as reachable, as ``StoreClient`` does."""
        now = self._network.now
        since = self._failing_since
        return since is None or now - since < UNREACHABLE_AFTER_S

    def step(self) -> None:
        """End the poll if it is due, and begin another one if this host reads."""
        now = self._network.now
        if self._poll is not None:
            started_at, ends_at, is_served = self._poll
            if now < ends_at:
                return
            self._poll = None
            self._note_end(started_at, is_served)
        reads = not self._host.exchange._topics.reads_via_relay()
        if reads and now >= self._next_at:
            served_s, failed_s = POLL_S + CALL_S, POLL_S + CALL_TIMEOUT_S
            seconds = {"": served_s, "silent": failed_s, "refused": CALL_S}[self.fault]
            self._poll = (now, now + seconds, not self.fault)
            self._network.reads[self._host] += 1

    def _note_end(self, started_at: float, is_served: bool) -> None:
        now = self._network.now
        if is_served:
            self._failing_since, self._backoff_s = None, FIRST_BACKOFF_S
            self._host.watch.configuration.on_read(started_at)
            return
        if self._failing_since is None:
            self._failing_since = now
        self._next_at = now + self._backoff_s
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)

    async def refresh(self, timeout_s: float) -> None:
        """Read the store at once."""
        network, started_at = self._network, self._network.now
        network.reads[self._host] += 1
        fault = self.fault
        ends_at = started_at + (timeout_s if fault == "silent" else CALL_S)
        while network.now < ends_at:
            await asyncio.sleep(0)
        if not fault:
            self._host.watch.configuration.on_read(started_at)


class AgeNetwork(HostNetwork):
    """Hosts that ask each other for the age of the configuration.

    :ivar readers: Each host's reader of the store.
    :ivar reads: The calls of each host to the store so far.
    :ivar messages: The messages about ages that each host has received so far.
    """

    def __init__(
        self, monkeypatch: pytest.MonkeyPatch, zones: int, hosts_in_zone: int
    ) -> None:
        self.readers: dict[SimulatedHost, SimulatedReader] = {}
        self.reads: Counter[SimulatedHost] = Counter()
        self.messages: Counter[SimulatedHost] = Counter()
        for clock in ("monotonic_s", "since_boot_s"):
            monkeypatch.setattr(configuration_age_exchange, clock, lambda: self.now)
        super().__init__(monkeypatch, zones, hosts_in_zone)
        self._steps = 0
        for host in self.hosts:
            self._add_reader(host)

    def _add_reader(self, host: SimulatedHost) -> None:
        reader = self.readers[host] = SimulatedReader(self, host)
        host.state.settings.bounds = SimpleNamespace(key_revocation_s=BOUND_S)
        host.state.configuration = SimpleNamespace(version=1, organisations={})
        host.state.metrics.configuration_age = lambda seconds: None
        host.watch.configuration.content.replace([], 0)
        host.watch.configuration.refresh = reader.refresh
        host.exchange._sender._store = reader

    def restart(self, host: SimulatedHost) -> None:
        """Start a host's process again: what it knew of the configuration is lost."""
        exchange = configuration_age_exchange.ConfigurationAgeExchange(
            host.state,
            SimpleNamespace(era=0, on_era_change=[]),
            host.watch,
            host.exchange.peers,
            host.exchange._sender,
            host.exchange._topics.fetch,
        )
        host.exchange.configuration_age = exchange
        host.exchange._exchanges_by_prefix[bytes([AGE_MESSAGE_PREFIX])] = exchange

    def raise_era(self) -> None:
        """Let all hosts see that the store has come back from an older copy."""
        for host in self.hosts:
            host.store.era += 1
            for callback in host.store.on_era_change:
                callback()

    def cut_off_store(self, hosts: list[SimulatedHost], fault: str) -> None:
        """Let the calls of hosts to the store fail."""
        for host in hosts:
            self.readers[host].fault = fault

    def age_s(self, host: SimulatedHost) -> float:
        """Return the age of a host's configuration."""
        return host.exchange.configuration_age.age_s()

    def _deliver(self, sender: SimulatedHost, receiver: SimulatedHost, data: bytes):
        if data[0] == AGE_MESSAGE_PREFIX and receiver not in self.stopped_hosts:
            self.messages[receiver] += 1
        super()._deliver(sender, receiver, data)

    def step(self) -> None:
        """Advance the clock by one step."""
        super().step()
        self._steps += 1
        # The topic of servers advances everywhere, so that no host tries the store on
        # behalf of that topic.
        for number, host in enumerate(self.live()):
            host.watch.servers.content.replace([], int(self.now))
            self.readers[host].step()
            if (self._steps + number) % STEPS_BETWEEN_CHECKS == 0:
                host.exchange.configuration_age.step(BOUND_S)
        self.deliver_pending()

    async def measure(self, seconds: float) -> float:
        """Advance the clock and return the maximum age at any live host."""
        oldest, end = 0.0, self.now + seconds
        while self.now < end:
            self.step()
            await asyncio.sleep(0)
            self.deliver_pending()
            ages = (self.age_s(host) for host in self.live())
            oldest = max(oldest, *ages)
        return oldest


async def _print_costs(network: AgeNetwork, label: str, seconds: float) -> None:
    network.reads.clear()
    network.messages.clear()
    oldest_s = await network.measure(seconds)
    messages = sum(network.messages.values()) / seconds
    busiest = max(network.messages.values(), default=0) / seconds
    print(
        f"hosts={len(network.hosts)} {label}: age_s={oldest_s:.2f}"
        f" reads_per_s={sum(network.reads.values()) / seconds:.1f}"
        f" datagrams_per_s={messages:.0f} at_one_host={busiest:.0f}",
        flush=True,
    )


async def main() -> None:
    """Print the age and the load in calm operation and without the store.

    The first argument is the number of hosts.
    """
    with pytest.MonkeyPatch.context() as patch:
        network = AgeNetwork(patch, *SIZES[int(sys.argv[1])])
        await network.measure(3.0)
        await _print_costs(network, "calm", 4.0)
        network.cut_off_store(network.hosts, "silent")
        await _print_costs(network, "store_silent", 7.0)
        await _print_costs(network, "store_silent_later", 3.0)
        network.cut_off_store(network.hosts, "")
        await _print_costs(network, "store_back", 3.0)


if __name__ == "__main__":
    asyncio.run(main())
