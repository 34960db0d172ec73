"""Tests of failures and planned stops with real processes.

The failures are killed and suspended processes, outages, network partitions, lost
responses and requests that crash servers.
"""

import json
import signal
import threading
import time

import pytest

from sequoiapoint.transport import http_client
from standins import deployments, load
from standins.cluster import OPERATOR_TOKEN, Cluster, Deployment

MODEL = "m-model-0"
RESPONSE_TOKENS = 60


@pytest.fixture(scope="module")
def cluster():
    deployment = Deployment(deployments.small(), {"north": 2, "south": 2})
    with Cluster(deployment) as running:
        assert running.submit(running.document, 0)["result"] == "accepted"
        running.wait_until_loaded(60)
        yield running
        assert not exit_codes(running) & {3}, "an engine's memory was overcommitted"


def exit_codes(cluster):
    return {p.popen.poll() for p in cluster.processes.values()}


def request_key_release(cluster, host, key, value="fob"):
    return load.perform(
        load.service_call(cluster.addresses[host], "key-release", value, key)
    )


def run_count(cluster, key):
    servers = [s["name"] for s in cluster.document["servers"]]
    pages = [cluster.get(s, "/runs") for s in servers if s.startswith("service")]
    return sum(page["runs"].get(key, 0) for page in pages)


def run_in_background(function, *arguments):
    results = []
    thread = threading.Thread(
        target=lambda: results.append(function(*arguments)), daemon=True
    )
    thread.start()
    return thread, results


def engines_with_resident(cluster, artifact):
    holdings = cluster.status(cluster.hosts[0])["holdings"]
    return [
        h["server"]
        for h in holdings
        if h["artifact"] == artifact and h["state"] == "resident"
    ]


def wait_for_two_resident_copies(cluster):
    model = next(m for m in cluster.document["models"] if m["name"] == MODEL)
    artifact = f"{MODEL}@{model.get('version', '1')}"
    cluster.wait_for(
        lambda: len(engines_with_resident(cluster, artifact)) == 2,
        "two resident copies",
        60.0,
    )


# Requests that may run at most once


def test_a_host_suspended_while_claiming_a_key_causes_no_second_run(cluster):
    first, second = cluster.hosts[0], cluster.hosts[2]
    process = cluster.processes[first].popen
    cluster.control("platform", append_delay_s=0.3)
    thread, results = run_in_background(request_key_release, cluster, first, "frozen")
    time.sleep(0.15)
    process.send_signal(signal.SIGSTOP)
    retries = [request_key_release(cluster, second, "frozen") for _ in range(3)]
    process.send_signal(signal.SIGCONT)
    thread.join()
    cluster.control("platform", append_delay_s=0.0)
    assert {o.kind for o in retries} <= {"unknown", "done", "refused"}
    assert run_count(cluster, "frozen") <= 1
    if results[0].kind == "refused" and not any(o.kind == "done" for o in retries):
        assert run_count(cluster, "frozen") == 0


def test_a_run_whose_host_is_killed_is_reported_as_unknown(cluster):
    first, second = cluster.hosts[1], cluster.hosts[2]
    for server in ("service-0", "service-1"):
        cluster.control(server, work_s=1.0)
    thread, _ = run_in_background(request_key_release, cluster, first, "killed")
    cluster.wait_for(lambda: run_count(cluster, "killed") == 1, "the run to begin")
    cluster.processes[first].stop(signal.SIGKILL)
    thread.join()
    for server in ("service-0", "service-1"):
        cluster.control(server, work_s=0.02)
    cluster.start_host(first)
    cluster.wait_for(lambda: cluster.responds(first), "the host to be back")
    for host in (second, first):
        assert request_key_release(cluster, host, "killed").kind == "unknown"
    assert run_count(cluster, "killed") == 1


def test_new_keys_are_rejected_and_not_run_during_a_log_outage(cluster):
    cluster.control("platform", outage_s=8.0)
    outcome = request_key_release(cluster, cluster.hosts[0], "outage")
    assert (outcome.kind, outcome.reason) == ("refused", "log_unavailable")
    assert outcome.retry_after_s
    assert run_count(cluster, "outage") == 0
    chat = load.chat_call(cluster.addresses[cluster.hosts[0]], MODEL, "outage", 5)
    assert load.perform(chat).kind == "done"
    cluster.control("platform", outage_s=0.0)
    cluster.wait_for(
        lambda: request_key_release(cluster, cluster.hosts[3], "outage").kind == "done",
        "the key to be free again",
    )
    assert run_count(cluster, "outage") == 1


def test_lost_append_responses_neither_lose_nor_duplicate_a_claim(cluster):
    cluster.control("platform", lose_answers=4)
    outcomes = [request_key_release(cluster, h, f"lost-{h}") for h in cluster.hosts]
    assert [o.kind for o in outcomes] == ["done"] * 4
    assert all(run_count(cluster, f"lost-{h}") == 1 for h in cluster.hosts)


def test_a_request_whose_service_response_is_lost_is_not_run_again(cluster):
    for server in ("service-0", "service-1"):
        cluster.control(server, drop_answers=1)
    outcomes = [request_key_release(cluster, h, "dropped") for h in cluster.hosts]
    for server in ("service-0", "service-1"):
        cluster.control(server, drop_answers=0)
    assert {o.kind for o in outcomes} == {"unknown"}
    assert run_count(cluster, "dropped") == 1


def test_a_rejection_by_the_service_is_reported_as_not_run(cluster):
    for server in ("service-0", "service-1"):
        cluster.control(server, refuse=9)
    outcome = request_key_release(cluster, cluster.hosts[0], "refusing")
    for server in ("service-0", "service-1"):
        cluster.control(server, refuse=0)
    assert outcome.kind == "refused"
    assert run_count(cluster, "refusing") == 0
    assert request_key_release(cluster, cluster.hosts[1], "refusing").kind == "done"


def test_a_key_reused_for_another_request_is_rejected(cluster):
    assert (
        request_key_release(cluster, cluster.hosts[0], "reused", "one").kind == "done"
    )
    outcome = request_key_release(cluster, cluster.hosts[1], "reused", "two")
    assert outcome.reason == "key_reused"


# Complete responses


def test_a_stream_continues_when_its_engine_crashes(cluster):
    wait_for_two_resident_copies(cluster)
    engines = engines_with_resident(cluster, f"{MODEL}@1")
    for engine in engines[:1]:
        cluster.control(engine, die_after_tokens=40)
    calls = [
        load.chat_call(
            cluster.addresses[cluster.hosts[i % 4]], MODEL, f"x{i}", RESPONSE_TOKENS
        )
        for i in range(12)
    ]
    summary = load.run_all(calls, 12)
    assert cluster.processes[engines[0]].popen.wait(5) == 1, (
        "the engine should have crashed"
    )
    cluster.start_server(engines[0])
    cluster.wait_for(lambda: cluster.responds(engines[0]), "the engine to be back")
    assert [o.kind for o in summary.outcomes] == ["done"] * 12, summary.lines()
    wait_for_two_resident_copies(cluster)


def test_a_response_with_another_requests_id_reaches_no_caller(cluster):
    for engine in engines_with_resident(cluster, f"{MODEL}@1"):
        cluster.control(engine, crossed_answers=1)
    calls = [
        load.chat_call(cluster.addresses[cluster.hosts[i]], MODEL, f"c{i}", 8)
        for i in range(4)
    ]
    summary = load.run_all(calls, 4)
    assert summary.count("wrong") == 0
    assert summary.count("done") >= 2
    metrics = [
        http_client.call("GET", cluster.addresses[h], "/metrics", step="t").body
        for h in cluster.hosts
    ]
    assert any(
        b"dropped_answers_total{otel" in host_metrics for host_metrics in metrics
    )


def test_a_client_disconnect_cancels_generation(cluster):
    call = load.chat_call(cluster.addresses[cluster.hosts[0]], MODEL, "leave", 1500)
    with http_client.HttpStream(
        "POST",
        call.host,
        call.path,
        step="test",
        body=json.dumps(call.body).encode(),
        headers={"X-Promise": "batch"},
        timeout_s=30,
    ) as stream:
        next(stream.chunks())
        running = [cluster.get(e, "/stats")["running"] for e in _engine_names(cluster)]
        assert sum(running) == 1
    cluster.wait_for(
        lambda: (
            not any(cluster.get(e, "/stats")["running"] for e in _engine_names(cluster))
        ),
        "the engine to stop",
        5.0,
    )


def _engine_names(cluster):
    return [s["name"] for s in cluster.document["servers"] if s["kind"] == "engine"]


# Leaving servers and planned stops


def test_a_leaving_server_gets_no_new_requests(cluster):
    wait_for_two_resident_copies(cluster)
    leaving = engines_with_resident(cluster, f"{MODEL}@1")[0]
    address = cluster.addresses[leaving]
    hosts = [cluster.addresses[h] for h in cluster.hosts]
    stop = threading.Event()
    generator = load.CallGenerator(hosts, [MODEL], 8, seed=2)
    results = []
    thread = threading.Thread(
        target=lambda: results.append(load.run_until_stopped(generator, 8, stop))
    )
    thread.start()
    time.sleep(1.0)
    entry = {"address": address, "state": "leaving"}
    cluster.control("platform", hosts=[entry])
    marked_at = time.time()
    time.sleep(6.0)
    last_run_at = cluster.get(leaving, "/stats")["last_run_at"]
    cluster.control("platform", hosts=[{**entry, "state": "live"}])
    stop.set()
    thread.join()
    cluster.wait_for(
        lambda: _all_hosts_serve_all_models(cluster), "the server to be used again"
    )
    assert last_run_at - marked_at < 3.0
    assert results[0].count("done") == len(results[0].outcomes), results[0].lines()


def _all_hosts_serve_all_models(cluster):
    calls = [
        load.chat_call(cluster.addresses[h], f"m-model-{i}", "all", 2)
        for h in cluster.hosts
        for i in range(3)
    ]
    return load.run_all(calls, 6).count("done") == len(calls)


def test_a_planned_stop_interrupts_no_request(cluster):
    victim = cluster.hosts[3]
    ready = lambda: [  # noqa: E731
        cluster.addresses[h] for h in cluster.hosts if _is_ready(cluster, h)
    ]
    stop = threading.Event()
    generator = load.CallGenerator(ready(), [MODEL], 40, seed=3)
    results = []
    thread = threading.Thread(
        target=lambda: results.append(load.run_until_stopped(generator, 16, stop))
    )
    thread.start()
    time.sleep(1.0)
    cluster.processes[victim].popen.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    generator.set_hosts(ready())
    code = cluster.processes[victim].popen.wait(30)
    stop.set()
    thread.join()
    cluster.start_host(victim)
    cluster.wait_for(lambda: _is_ready(cluster, victim), "the host to be back")
    assert code == 0
    assert results[0].count("done") == len(results[0].outcomes), results[0].lines()


def _is_ready(cluster, host):
    response = http_client.call("GET", cluster.addresses[host], "/readyz", step="t")
    return getattr(response, "status", 0) == 200


# Configuration


def test_only_one_of_several_concurrent_submissions_is_accepted(cluster):
    version = cluster.status(cluster.hosts[0])["configuration_version"]
    document = cluster.document
    threads = [
        run_in_background(
            cluster.submit, {**document, "move_price": float(i)}, version, h
        )
        for i, h in enumerate(cluster.hosts)
    ]
    for thread, _ in threads:
        thread.join()
    results = sorted(responses[0]["result"] for _, responses in threads)
    assert results == ["accepted", "rejected", "rejected", "rejected"]
    versions = lambda: {  # noqa: E731
        cluster.status(h)["configuration_version"] for h in cluster.hosts
    }
    cluster.wait_for(lambda: len(versions()) == 1, "one version", 16.0)


def test_a_restarted_host_gets_its_state_from_peers_during_a_log_outage(cluster):
    victim = cluster.hosts[1]
    version = cluster.status(victim)["configuration_version"]
    cluster.control("platform", outage_s=20.0)
    cluster.processes[victim].stop(signal.SIGKILL)
    cluster.start_host(victim)
    cluster.wait_for(lambda: _is_ready(cluster, victim), "the host to be ready", 15)
    assert cluster.status(victim)["configuration_version"] == version
    chat = load.chat_call(cluster.addresses[victim], MODEL, "new host", 5)
    assert load.perform(chat).kind == "done"
    cluster.control("platform", outage_s=0.0)


def test_a_zone_partitioned_from_the_platform_keeps_serving(cluster):
    cluster.control("platform", cut_zones=["south"])
    south = [h for h in cluster.hosts if h.startswith("south")]
    calls = [
        load.chat_call(cluster.addresses[h], f"m-model-{i}", "cut", 5)
        for h in south
        for i in range(3)
    ]
    summary = load.run_all(calls, 6)
    cluster.control("platform", cut_zones=[])
    assert summary.count("done") == 6, summary.lines()


# Memory, and requests that crash servers


def test_lost_order_responses_and_a_killed_owner_cause_no_overcommitment(cluster):
    version = cluster.status(cluster.hosts[0])["configuration_version"]
    document = json.loads(json.dumps(cluster.document))
    for model in document["models"]:
        model["version"] = "2"
    for engine in _engine_names(cluster):
        cluster.control(engine, drop_order_answers=2)
    response = cluster.submit(document, version)
    assert response["result"] == "accepted"
    time.sleep(0.7)
    owners = cluster.status(cluster.hosts[2])["owners"]
    victim = owners["north"]["host"]
    cluster.processes[victim].stop(signal.SIGKILL)
    cluster.start_host(victim)
    cluster.document["models"] = document["models"]
    cluster.wait_until_loaded(90)
    assert not exit_codes(cluster) & {3}


def test_only_the_poison_request_is_quarantined_after_at_most_two_crashes(cluster):
    wait_for_two_resident_copies(cluster)
    stop = threading.Event()
    crash_codes = []
    restarter, _ = run_in_background(
        _restart_crashed_engines, cluster, stop, crash_codes
    )
    for engine in _engine_names(cluster):
        cluster.control(engine, poison="POISON")
    hosts = [cluster.addresses[h] for h in cluster.hosts]
    other_requests = [
        load.chat_call(hosts[i % 4], MODEL, f"innocent {i}", RESPONSE_TOKENS, "batch")
        for i in range(16)
    ]
    thread, results = run_in_background(load.run_all, other_requests, 16)
    time.sleep(0.3)
    poison = load.chat_call(hosts[0], MODEL, "POISON", 8)
    outcomes = _retry_until(poison, {"crashed_servers", "quarantined"}, 30.0)
    outcomes.append(load.perform(poison))
    outcomes_at_other_hosts = [
        load.perform(load.chat_call(h, MODEL, "POISON", 8)) for h in hosts[1:]
    ]
    thread.join()
    time.sleep(1.0)
    stop.set()
    restarter.join()
    assert len(crash_codes) <= 2
    assert outcomes[-1].reason == "quarantined"
    assert {o.reason for o in outcomes_at_other_hosts} == {"quarantined"}
    assert not any(o.reason == "quarantined" for o in results[0].outcomes)


def _retry_until(call, reasons, timeout_s):
    """Repeat a request until it ends with one of the reasons or the timeout passes.

    Before each repetition it waits for the time in Retry-After, at most 2 s, or for
    0.5 s if there is none.

    :return: The outcomes of all attempts.
    """
    deadline = time.monotonic() + timeout_s
    outcomes = [load.perform(call)]
    while outcomes[-1].reason not in reasons and time.monotonic() < deadline:
        time.sleep(min(2.0, outcomes[-1].retry_after_s or 0.5))
        outcomes.append(load.perform(call))
    return outcomes


def _restart_crashed_engines(cluster, stop, crash_codes):
    """Restart crashed engines, as a real platform would; collect their exit codes."""
    while not stop.wait(0.1):
        for engine in _engine_names(cluster):
            if cluster.processes[engine].popen.poll() is not None:
                crash_codes.append(cluster.processes[engine].popen.returncode)
                cluster.start_server(engine)
                cluster.wait_for(lambda e=engine: cluster.responds(e), engine)
                cluster.control(engine, poison="POISON")


def test_the_drain_command_stops_a_host(cluster):
    import os

    from sequoiapoint.cli.main import main

    victim = cluster.hosts[1]
    os.environ["SEQUOIAPOINT_TOKEN"] = OPERATOR_TOKEN
    assert main(["drain", f"--address={cluster.addresses[victim]}"]) == 0
    assert cluster.processes[victim].popen.wait(20) == 0
    cluster.start_host(victim)
