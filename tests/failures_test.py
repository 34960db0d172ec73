"""Failures of real processes: kills, freezes, outages, lost answers, planned stops."""

import json
import signal
import threading
import time

import pytest

from sequoiapoint.transport import http_client
from standins import deployments, load
from standins.cluster import OPERATOR_TOKEN, Cluster, Deployment

MODEL = "m-model-0"
TOKENS = 60


@pytest.fixture(scope="module")
def cluster():
    deployment = Deployment(deployments.small(), {"north": 2, "south": 2})
    with Cluster(deployment) as running:
        assert running.submit(running.document, 0)["result"] == "accepted"
        running.wait_until_loaded(60)
        yield running
        assert not exit_codes(running) & {3}, "an engine was overcommitted"


def exit_codes(cluster):
    return {p.popen.poll() for p in cluster.processes.values()}


def release(cluster, host, key, value="fob"):
    return load.perform(
        load.service_call(cluster.addresses[host], "key-release", value, key)
    )


def runs_of(cluster, key):
    servers = [s["name"] for s in cluster.document["servers"]]
    pages = [cluster.get(s, "/runs") for s in servers if s.startswith("service")]
    return sum(page["runs"].get(key, 0) for page in pages)


def in_background(function, *arguments):
    box = []
    thread = threading.Thread(
        target=lambda: box.append(function(*arguments)), daemon=True
    )
    thread.start()
    return thread, box


def engines_with(cluster, artifact):
    holdings = cluster.status(cluster.hosts[0])["holdings"]
    return [
        h["server"]
        for h in holdings
        if h["artifact"] == artifact and h["state"] == "resident"
    ]


def wait_for_two_copies(cluster):
    version = next(m for m in cluster.document["models"] if m["name"] == MODEL)
    artifact = f"{MODEL}@{version.get('version', '1')}"
    cluster.wait_for(
        lambda: len(engines_with(cluster, artifact)) == 2, "two copies", 60.0
    )


# Requests that may run once


def test_a_claimant_frozen_across_its_claim_runs_nothing_twice(cluster):
    first, second = cluster.hosts[0], cluster.hosts[2]
    process = cluster.processes[first].popen
    cluster.control("platform", append_delay_s=0.3)
    thread, box = in_background(release, cluster, first, "frozen")
    time.sleep(0.15)
    process.send_signal(signal.SIGSTOP)
    resent = [release(cluster, second, "frozen") for _ in range(3)]
    process.send_signal(signal.SIGCONT)
    thread.join()
    cluster.control("platform", append_delay_s=0.0)
    assert {o.kind for o in resent} <= {"unknown", "done", "refused"}
    assert runs_of(cluster, "frozen") <= 1
    if box[0].kind == "refused" and not any(o.kind == "done" for o in resent):
        assert runs_of(cluster, "frozen") == 0


def test_a_claimant_killed_in_mid_run_is_reported_as_unknown(cluster):
    first, second = cluster.hosts[1], cluster.hosts[2]
    for server in ("service-0", "service-1"):
        cluster.control(server, work_s=1.0)
    thread, _ = in_background(release, cluster, first, "killed")
    cluster.wait_for(lambda: runs_of(cluster, "killed") == 1, "the run to begin")
    cluster.processes[first].stop(signal.SIGKILL)
    thread.join()
    for server in ("service-0", "service-1"):
        cluster.control(server, work_s=0.02)
    cluster.start_host(first)
    cluster.wait_for(lambda: cluster.responds(first), "the host to be back")
    for host in (second, first):
        assert release(cluster, host, "killed").kind == "unknown"
    assert runs_of(cluster, "killed") == 1


def test_an_outage_of_the_log_refuses_new_keys_and_runs_nothing(cluster):
    cluster.control("platform", outage_s=8.0)
    outcome = release(cluster, cluster.hosts[0], "outage")
    assert (outcome.kind, outcome.reason) == ("refused", "log_unavailable")
    assert outcome.retry_after_s
    assert runs_of(cluster, "outage") == 0
    chat = load.chat_call(cluster.addresses[cluster.hosts[0]], MODEL, "outage", 5)
    assert load.perform(chat).kind == "done"
    cluster.control("platform", outage_s=0.0)
    cluster.wait_for(
        lambda: release(cluster, cluster.hosts[3], "outage").kind == "done",
        "the key to be free again",
    )
    assert runs_of(cluster, "outage") == 1


def test_lost_append_answers_do_not_lose_or_double_a_claim(cluster):
    cluster.control("platform", lose_answers=4)
    outcomes = [release(cluster, h, f"lost-{h}") for h in cluster.hosts]
    assert [o.kind for o in outcomes] == ["done"] * 4
    assert all(runs_of(cluster, f"lost-{h}") == 1 for h in cluster.hosts)


def test_a_lost_answer_of_a_service_is_never_run_again(cluster):
    for server in ("service-0", "service-1"):
        cluster.control(server, drop_answers=1)
    outcomes = [release(cluster, h, "dropped") for h in cluster.hosts]
    for server in ("service-0", "service-1"):
        cluster.control(server, drop_answers=0)
    assert {o.kind for o in outcomes} == {"unknown"}
    assert runs_of(cluster, "dropped") == 1


def test_a_refusal_by_the_service_is_told_as_not_run(cluster):
    for server in ("service-0", "service-1"):
        cluster.control(server, refuse=9)
    outcome = release(cluster, cluster.hosts[0], "refusing")
    for server in ("service-0", "service-1"):
        cluster.control(server, refuse=0)
    assert outcome.kind == "refused"
    assert runs_of(cluster, "refusing") == 0
    assert release(cluster, cluster.hosts[1], "refusing").kind == "done"


def test_a_key_used_for_another_request_is_refused(cluster):
    assert release(cluster, cluster.hosts[0], "reused", "one").kind == "done"
    outcome = release(cluster, cluster.hosts[1], "reused", "two")
    assert outcome.reason == "key_reused"


# Whole answers


def test_a_stream_goes_on_when_its_engine_dies(cluster):
    wait_for_two_copies(cluster)
    victims = engines_with(cluster, f"{MODEL}@1")
    for victim in victims[:1]:
        cluster.control(victim, die_after_tokens=40)
    calls = [
        load.chat_call(cluster.addresses[cluster.hosts[i % 4]], MODEL, f"x{i}", TOKENS)
        for i in range(12)
    ]
    summary = load.run_all(calls, 12)
    assert cluster.processes[victims[0]].popen.wait(5) == 1, "it should have died"
    cluster.start_server(victims[0])
    cluster.wait_for(lambda: cluster.responds(victims[0]), "the engine to be back")
    assert [o.kind for o in summary.outcomes] == ["done"] * 12, summary.lines()
    wait_for_two_copies(cluster)


def test_a_crossed_answer_reaches_nobody(cluster):
    for engine in engines_with(cluster, f"{MODEL}@1"):
        cluster.control(engine, crossed_answers=1)
    calls = [
        load.chat_call(cluster.addresses[cluster.hosts[i]], MODEL, f"c{i}", 8)
        for i in range(4)
    ]
    summary = load.run_all(calls, 4)
    assert summary.count("wrong") == 0
    assert summary.count("done") >= 2
    pages = [
        http_client.call("GET", cluster.addresses[h], "/metrics", step="t").body
        for h in cluster.hosts
    ]
    assert any(b"dropped_answers_total{otel" in page for page in pages)


def test_a_caller_that_leaves_cancels_the_work(cluster):
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
        running = [cluster.get(e, "/stats")["running"] for e in _engines(cluster)]
        assert sum(running) == 1
    cluster.wait_for(
        lambda: not any(cluster.get(e, "/stats")["running"] for e in _engines(cluster)),
        "the engine to stop",
        5.0,
    )


def _engines(cluster):
    return [s["name"] for s in cluster.document["servers"] if s["kind"] == "engine"]


# Leaving and planned stops


def test_a_leaving_server_gets_no_new_work(cluster):
    wait_for_two_copies(cluster)
    leaving = engines_with(cluster, f"{MODEL}@1")[0]
    address = cluster.addresses[leaving]
    hosts = [cluster.addresses[h] for h in cluster.hosts]
    stop = threading.Event()
    maker = load.CallGenerator(hosts, [MODEL], 8, seed=2)
    box = []
    thread = threading.Thread(
        target=lambda: box.append(load.run_until_stopped(maker, 8, stop))
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
    cluster.wait_for(lambda: _all_serve(cluster), "the server to be used again")
    assert last_run_at - marked_at < 3.0
    assert box[0].count("done") == len(box[0].outcomes), box[0].lines()


def _all_serve(cluster):
    calls = [
        load.chat_call(cluster.addresses[h], f"m-model-{i}", "all", 2)
        for h in cluster.hosts
        for i in range(3)
    ]
    return load.run_all(calls, 6).count("done") == len(calls)


def test_a_planned_stop_cuts_nothing(cluster):
    victim = cluster.hosts[3]
    ready = lambda: [  # noqa: E731
        cluster.addresses[h] for h in cluster.hosts if _is_ready(cluster, h)
    ]
    stop = threading.Event()
    balanced = load.CallGenerator(ready(), [MODEL], 40, seed=3)
    box = []
    thread = threading.Thread(
        target=lambda: box.append(load.run_until_stopped(balanced, 16, stop))
    )
    thread.start()
    time.sleep(1.0)
    cluster.processes[victim].popen.send_signal(signal.SIGTERM)
    time.sleep(0.3)
    balanced.set_hosts(ready())
    code = cluster.processes[victim].popen.wait(30)
    stop.set()
    thread.join()
    cluster.start_host(victim)
    cluster.wait_for(lambda: _is_ready(cluster, victim), "the host to be back")
    assert code == 0
    assert box[0].count("done") == len(box[0].outcomes), box[0].lines()


def _is_ready(cluster, host):
    answer = http_client.call("GET", cluster.addresses[host], "/readyz", step="t")
    return getattr(answer, "status", 0) == 200


# Configuration


def test_of_two_racing_operators_one_is_told_of_the_other(cluster):
    version = cluster.status(cluster.hosts[0])["configuration_version"]
    document = cluster.document
    threads = [
        in_background(cluster.submit, {**document, "move_price": float(i)}, version, h)
        for i, h in enumerate(cluster.hosts)
    ]
    for thread, _ in threads:
        thread.join()
    results = sorted(box[0]["result"] for _, box in threads)
    assert results == ["accepted", "rejected", "rejected", "rejected"]
    versions = lambda: {  # noqa: E731
        cluster.status(h)["configuration_version"] for h in cluster.hosts
    }
    cluster.wait_for(lambda: len(versions()) == 1, "one version", 16.0)


def test_a_new_host_learns_from_its_peers_while_the_log_is_down(cluster):
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


def test_a_zone_cut_from_the_platform_goes_on_serving(cluster):
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


def test_lost_order_answers_and_a_killed_owner_overcommit_nothing(cluster):
    version = cluster.status(cluster.hosts[0])["configuration_version"]
    document = json.loads(json.dumps(cluster.document))
    for model in document["models"]:
        model["version"] = "2"
    for engine in _engines(cluster):
        cluster.control(engine, drop_order_answers=2)
    answer = cluster.submit(document, version)
    assert answer["result"] == "accepted"
    time.sleep(0.7)
    owners = cluster.status(cluster.hosts[2])["owners"]
    victim = owners["north"]["host"]
    cluster.processes[victim].stop(signal.SIGKILL)
    cluster.start_host(victim)
    cluster.document["models"] = document["models"]
    cluster.wait_until_loaded(90)
    assert not exit_codes(cluster) & {3}


def test_a_poison_request_takes_down_two_servers_and_no_innocents(cluster):
    wait_for_two_copies(cluster)
    stop = threading.Event()
    killed = []
    supervisor, _ = in_background(_supervise, cluster, stop, killed)
    for engine in _engines(cluster):
        cluster.control(engine, poison="POISON")
    hosts = [cluster.addresses[h] for h in cluster.hosts]
    innocents = [
        load.chat_call(hosts[i % 4], MODEL, f"innocent {i}", TOKENS, "batch")
        for i in range(16)
    ]
    thread, box = in_background(load.run_all, innocents, 16)
    time.sleep(0.3)
    poison = load.chat_call(hosts[0], MODEL, "POISON", 8)
    outcomes = _send_until(poison, {"crashed_servers", "quarantined"}, 30.0)
    outcomes.append(load.perform(poison))
    elsewhere = [load.perform(load.chat_call(h, MODEL, "POISON", 8)) for h in hosts[1:]]
    thread.join()
    time.sleep(1.0)
    stop.set()
    supervisor.join()
    assert len(killed) <= 2
    assert outcomes[-1].reason == "quarantined"
    assert {o.reason for o in elsewhere} == {"quarantined"}
    assert not any(o.reason == "quarantined" for o in box[0].outcomes)


def _send_until(call, reasons, timeout_s):
    """Send a request again and again, as a caller does that was told to come back."""
    deadline = time.monotonic() + timeout_s
    outcomes = [load.perform(call)]
    while outcomes[-1].reason not in reasons and time.monotonic() < deadline:
        time.sleep(min(2.0, outcomes[-1].retry_after_s or 0.5))
        outcomes.append(load.perform(call))
    return outcomes


def _supervise(cluster, stop, killed):
    """Start servers again as the platform would."""
    while not stop.wait(0.1):
        for engine in _engines(cluster):
            if cluster.processes[engine].popen.poll() is not None:
                killed.append(cluster.processes[engine].popen.returncode)
                cluster.start_server(engine)
                cluster.wait_for(lambda e=engine: cluster.responds(e), engine)
                cluster.control(engine, poison="POISON")


def test_the_operator_drains_a_host_by_command(cluster):
    import os

    from sequoiapoint.cli.main import main

    victim = cluster.hosts[1]
    os.environ["SEQUOIAPOINT_TOKEN"] = OPERATOR_TOKEN
    assert main(["drain", f"--address={cluster.addresses[victim]}"]) == 0
    assert cluster.processes[victim].popen.wait(20) == 0
    cluster.start_host(victim)
