"""End-to-end tests with separate processes, including responses to invalid input."""

import json
import socket
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from sequoiapoint.protocol.addresses import split_address
from sequoiapoint.protocol.errors import Failure
from standins import deployments
from standins.answers import expected_response
from standins.cluster import Cluster, Deployment

MESSAGES = [{"role": "user", "content": "which trees stand here"}]


@pytest.fixture(scope="module")
def cluster():
    deployment = Deployment(
        deployments.small(),
        {"north": 2, "south": 1},
        limits={"body_timeout_s": 1.0, "max_body_bytes": 20_000},
    )
    with Cluster(deployment) as running:
        assert running.submit(running.document, 0)["result"] == "accepted"
        running.wait_until_loaded(60)
        yield running


def chat(cluster, host, model="m-model-0", messages=MESSAGES, **extra_fields):
    body = {"model": model, "messages": messages, "max_tokens": 12, **extra_fields}
    return cluster.post(host, "/v1/chat/completions", body)


def expected_content(model, messages, tokens=12):
    return expected_response(model, json.dumps(messages, sort_keys=True), tokens)


@pytest.mark.parametrize("model", ["m-model-0", "m-model-2", "m-adapter-1"])
def test_every_host_serves_every_model(cluster, model):
    for host in cluster.hosts:
        response = chat(cluster, host, model)
        assert response.headers["x-fate"] == "done"
        content = response.json()["choices"][0]["message"]["content"]
        assert content == expected_content(model, MESSAGES)


def streamed_text(body: bytes) -> str:
    events = [e for e in body.split(b"\n\n") if e]
    assert events[-1] == b"data: [DONE]"
    values = [json.loads(e.removeprefix(b"data: ")) for e in events[:-1]]
    return "".join(v["choices"][0]["delta"]["content"] for v in values)


def test_concurrent_callers_each_get_their_own_complete_response(cluster):
    def response_is_expected(number):
        messages = [{"role": "user", "content": f"street {number}"}]
        host = cluster.hosts[number % len(cluster.hosts)]
        model = f"m-model-{number % 3}"
        response = chat(cluster, host, model, messages, stream=True)
        return streamed_text(response.body) == expected_content(model, messages)

    with ThreadPoolExecutor(40) as pool:
        assert all(pool.map(response_is_expected, range(120)))


def raw_exchange(cluster, host, data, half_close=False, pause_s=0.0):
    with socket.create_connection(split_address(cluster.addresses[host]), 5) as sock:
        sock.sendall(data)
        if half_close:
            sock.shutdown(socket.SHUT_WR)
        time.sleep(pause_s)
        sock.settimeout(5)
        return sock.recv(65536).decode()


POST = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{}"
INVALID_INPUT = [
    ("malformed JSON", POST.format(5, '{"a":'), False, "400", "bad_request"),
    ("no messages", POST.format(13, '{"model":"x"}'), False, "400", "bad_request"),
    ("oversized body", POST.format(90000, "x"), False, "413", "body_too_large"),
    ("half-closed", POST.format(50, '{"model"'), True, "400", "body_incomplete"),
    ("slow caller", POST.format(50, '{"model"'), False, "408", "body_too_slow"),
]


@pytest.mark.parametrize(
    ("text", "half_close", "status", "reason"),
    [case[1:] for case in INVALID_INPUT],
    ids=[case[0] for case in INVALID_INPUT],
)
def test_invalid_input_gets_a_specific_error(cluster, text, half_close, status, reason):
    response = raw_exchange(cluster, cluster.hosts[0], text.encode(), half_close)
    assert response.startswith(f"HTTP/1.1 {status}")
    assert f"x-reason: {reason}" in response.lower()
    assert "x-fate: refused" in response.lower()


@pytest.mark.parametrize(
    ("path", "body", "headers", "status", "reason"),
    [
        ("/v1/chat/completions", {"model": "no", "messages": MESSAGES}, {}, 404, None),
        ("/services/none/x", {}, {}, 404, "unknown_service"),
        ("/services/key-release/x", {}, {"Idempotency-Key": "k"}, 400, "bad_request"),
        (
            "/services/key-release/x",
            {},
            {"Idempotency-Key": "k", "Idempotency-Expires": "12"},
            410,
            "key_expired",
        ),
        ("/services/key-release/x", {}, {"X-Promise": "?"}, 400, "unknown_promise"),
        ("/services/key-release/x", {}, {"X-Deadline-Ms": "-1"}, 400, "bad_request"),
        ("/nowhere", {}, {}, 404, "unknown_path"),
        ("/admin/config", {}, {"X-Base-Version": "0"}, 401, "unauthorized"),
    ],
)
def test_an_invalid_request_is_rejected(cluster, path, body, headers, status, reason):
    response = cluster.post(cluster.hosts[0], path, body, **headers)
    assert response.status == status
    assert response.json()["error"]["fate"] == "refused"
    if reason:
        assert response.headers["x-reason"] == reason


def test_a_document_that_overcommits_memory_is_not_applied(cluster):
    version = cluster.status(cluster.hosts[0])["configuration_version"]
    document = json.loads(json.dumps(cluster.document))
    document["models"][0]["memory_mb"] = 10**9
    response = cluster.submit(document, version)
    assert response["result"] == "invalid"
    assert "overcommitted" in response["errors"][0]["message"]
    assert cluster.status(cluster.hosts[0])["configuration_version"] == version


def test_a_submission_against_an_old_version_reports_the_newer_change(cluster):
    response = cluster.submit(cluster.document, 0)
    assert response["result"] == "rejected"
    assert response["reason"] == "stale_base"
    assert response["changed_by"][0]["operator"] == "demo"


def test_metrics_count_rejections_by_reason(cluster):
    response = cluster.post(cluster.hosts[0], "/services/none/x", {})
    assert not isinstance(response, Failure)
    address = cluster.addresses[cluster.hosts[0]]
    from sequoiapoint.transport import http_client

    metrics = http_client.call("GET", address, "/metrics", step="test")
    assert b'reason="unknown_service"' in metrics.body
