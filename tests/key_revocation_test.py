"""A key that was withdrawn stops working everywhere within the bound, in processes.

The shares of the bound are those of a deployment; the bound is short for fast tests.
"""

import json
import signal
import threading
import time
from dataclasses import dataclass

import pytest

from sequoiapoint.coordination.configuration_age import ERA_SETTLING_S
from standins.site.deployment import (
    START_TIMEOUT_S,
    bearer,
    configuration,
    free_port,
    organisation,
    route,
)
from standins.site.linked_deployment import LinkedStoreDeployment

BOUND_S = 2.0
STAYS, GONE = "key-that-stays", "key-that-is-withdrawn"
PAUSE_S = 0.08
MAX_UNAVAILABLE_S = 1.0
"""Time after a fault has ended within which requests must be served again: the back-off
of the store's readers, and a question."""
MIN_SERVED_SHARE = 0.95


def keys_in_force(version, *keys):
    routes = configuration()["routes"]
    tenants = [organisation("acme", *keys, priority=1)]
    public = route("open", "idempotent", "web", public=True)
    return configuration(version, routes=[*routes, public], tenants=tenants)


@dataclass(frozen=True)
class Call:
    gateway: str
    key: str
    request_id: str
    sent_at: float
    status: int


class Callers:
    """Callers that send requests to every gateway all the time.

    The requests carry a key that stays, one that is withdrawn, or none on the public
    route.
    """

    def __init__(self, site, name="a"):
        self.site, self.calls = site, []
        self._is_stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(gateway, key, name))
            for gateway in site.gateways
            for key in (STAYS, GONE, "")
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *error):
        self._is_stopped.set()
        for thread in self._threads:
            thread.join()

    def _run(self, gateway, key, name):
        number = 0
        while not self._is_stopped.wait(PAUSE_S):
            number += 1
            request_id = f"{gateway.name}-{key}-{name}{number}"
            path = "/read/x" if key else "/open/x"
            headers = bearer(key) if key else {}
            sent_at = time.monotonic()
            try:
                status = gateway.send_request(path, request_id, headers=headers).status
            except OSError:
                status = 0
            self.calls.append(Call(gateway.name, key, request_id, sent_at, status))

    def statuses(self, key, since, until, gateways=None):
        names = {g.name for g in gateways or self.site.gateways}
        return [
            call.status
            for call in self.calls
            if call.key == key
            and since < call.sent_at < until
            and call.gateway in names
        ]

    def served_share(self, *selection):
        statuses = self.statuses(*selection)
        assert len(statuses) > 5
        return statuses.count(200) / len(statuses)

    def late_runs(self, acked_at):
        """Return the requests with the withdrawn key that were sent late and ran."""
        runs = {i for backend in self.site.backends for i in backend.runs}
        assert runs & {call.request_id for call in self.calls if call.key == GONE}
        return [
            call
            for call in self.calls
            if call.key == GONE
            and call.sent_at > acked_at + BOUND_S
            and call.request_id in runs
        ]


class Site(LinkedStoreDeployment):
    """A deployment of two zones whose keys are in force."""

    def __init__(self, gateways=4):
        super().__init__(
            gateways,
            engines=1,
            plain=3,
            first_configuration=keys_in_force(1, STAYS, GONE),
            bounds={"key_revocation_s": BOUND_S},
        )

    def _start(self):
        super()._start()
        self.wait(self.are_keys_accepted, 10.0)

    def wait_until_ready(self):
        """Wait until all gateways are ready; a busy machine starts them slowly."""
        self.wait(lambda: all(g.is_ready() for g in self.gateways), START_TIMEOUT_S)

    def are_keys_accepted(self):
        return all(
            g.send_request("/read/x", "start", headers=bearer(GONE)).status == 200
            for g in self.gateways
        )

    def write(self, step, *keys):
        """Write a configuration and return when the store acknowledged it."""
        value = keys_in_force(1 + step, *keys)
        self.call(self.store.write, "keyed.op", "config", value)
        return time.monotonic()


def check(site, callers, acked_at):
    assert callers.late_runs(acked_at) == []
    assert site.failures() == []


def test_a_key_withdrawn_while_the_store_is_silent_to_all_hosts_stops_working():
    """Guards against hosts that go on with the configuration they know."""
    with Site() as site, Callers(site) as callers:
        time.sleep(1.0)
        site.silence_store()
        acked_at = site.write(2, STAYS)
        time.sleep(2.0 * BOUND_S)
        healed_at = time.monotonic()
        site.heal()
        time.sleep(2.0 * MAX_UNAVAILABLE_S)
        end = time.monotonic()
        check(site, callers, acked_at)
        refused = callers.statuses(STAYS, acked_at + BOUND_S, healed_at - 0.2)
        assert refused
        assert set(refused) == {503}
        assert callers.served_share("", acked_at, end) >= MIN_SERVED_SHARE
        assert callers.served_share(STAYS, healed_at + MAX_UNAVAILABLE_S, end) == 1.0
        assert set(callers.statuses(GONE, healed_at + MAX_UNAVAILABLE_S, end)) == {401}


@pytest.mark.parametrize("cut_off", [(0,), (0, 1), (1, 2, 3)])
def test_hosts_that_the_store_is_silent_to_go_on_with_the_help_of_others(cut_off):
    """Guards against requests rejected although evidence can be had."""
    with Site() as site, Callers(site) as callers:
        time.sleep(1.0)
        site.cut_off_store(site.gateways[number] for number in cut_off)
        acked_at = site.write(2, STAYS)
        time.sleep(2.5 * BOUND_S)
        end = time.monotonic()
        site.heal()
        check(site, callers, acked_at)
        assert callers.served_share(STAYS, acked_at, end) >= MIN_SERVED_SHARE
        assert callers.served_share("", acked_at, end) >= MIN_SERVED_SHARE


def test_a_host_that_was_paused_does_not_run_what_it_received_meanwhile():
    """Guards against requests that waited at a paused host."""
    with Site() as site, Callers(site) as callers:
        time.sleep(1.0)
        paused = site.gateways[:1]
        paused[0].signal(signal.SIGSTOP)
        acked_at = site.write(2, STAYS)
        time.sleep(1.1 * BOUND_S)
        # The connections of the first callers wait at the host since it was paused.
        with Callers(site, "b") as late_callers:
            time.sleep(0.3 * BOUND_S)
            paused[0].signal(signal.SIGCONT)
            resumed_at = time.monotonic()
            time.sleep(2.0 * MAX_UNAVAILABLE_S)
        callers.calls += late_callers.calls
        late = callers.statuses(GONE, acked_at + BOUND_S, resumed_at, paused)
        assert late
        assert 200 not in late
        end = time.monotonic()
        check(site, callers, acked_at)
        since = resumed_at + MAX_UNAVAILABLE_S
        assert callers.served_share(STAYS, since, end, paused) == 1.0


def test_a_host_that_starts_without_the_store_serves_with_the_help_of_others():
    """Guards against a revoked key at a host that has just started."""
    with Site() as site, Callers(site) as callers:
        time.sleep(1.0)
        gateway = site.gateways[1]
        gateway.kill()
        acked_at = site.write(2, STAYS)
        settings = json.loads(gateway.settings.read_text().partition("\n")[2])
        settings["store"] = f"127.0.0.1:{free_port()}"
        gateway.settings.write_text(json.dumps(settings))
        gateway.start()
        site.wait_until_ready()
        since = time.monotonic() + MAX_UNAVAILABLE_S
        time.sleep(2.0 * BOUND_S)
        end = time.monotonic()
        check(site, callers, acked_at)
        assert callers.served_share(STAYS, since, end, [gateway]) == 1.0
        assert set(callers.statuses(GONE, since, end, [gateway])) == {401}


@pytest.mark.parametrize("restarted", [(), (0,), (0, 1, 2, 3)])
def test_a_key_in_an_older_copy_of_the_store_is_not_valid_again(restarted):
    """Guards against a key that is valid until the operator has written again."""
    with Site() as site, Callers(site) as callers:
        time.sleep(1.0)
        acked_at = site.write(2, STAYS)
        time.sleep(BOUND_S)
        gateways = [site.gateways[number] for number in restarted]
        for gateway in gateways:
            gateway.kill()
        site.call(site.store.go_back, BOUND_S + 0.5)
        for gateway in gateways:
            gateway.start()
        for backend in site.backends:
            site.call(backend.register)
        time.sleep(2.0)
        site.write(2, STAYS)
        site.wait_until_ready()
        time.sleep(ERA_SETTLING_S + MAX_UNAVAILABLE_S)
        since = time.monotonic()
        time.sleep(1.0)
        end = time.monotonic()
        check(site, callers, acked_at)
        assert callers.served_share(STAYS, since, end) == 1.0
        assert set(callers.statuses(GONE, since, end)) == {401}


def test_a_zone_that_is_cut_off_serves_public_routes_only():
    """Guards against a key that works in a zone without contact."""
    with Site() as site, Callers(site) as callers:
        time.sleep(1.0)
        zone = [g for g in site.gateways if g.zone == "z0"]
        others = [g for g in site.gateways if g.zone != "z0"]
        site.cut_off_store(zone)
        for gateway in others:
            gateway.signal(signal.SIGSTOP)
        acked_at = site.write(2, STAYS)
        time.sleep(2.0 * BOUND_S)
        end = time.monotonic()
        for gateway in others:
            gateway.signal(signal.SIGCONT)
        time.sleep(1.0)
        check(site, callers, acked_at)
        refused = callers.statuses(STAYS, acked_at + BOUND_S, end - 0.2, zone)
        assert refused
        assert set(refused) == {503}
        assert callers.served_share("", acked_at, end, zone) >= MIN_SERVED_SHARE
