"""Crowds of misbehaving callers, at a ``serve`` process on a small machine.

Guards against a process that runs out of memory or descriptors, or whose threads all
wait for callers that send slowly or nothing.
"""

import resource

import pytest

from sequoiapoint.protocol.addresses import split_address
from sequoiapoint.protocol.errors import Failure
from sequoiapoint.transport import http_client
from standins import deployments
from standins.cluster import Cluster, Deployment
from standins.crowd import (
    Crowd,
    chunked_request,
    content_length_request,
    head,
    open_descriptors,
    peak_memory_mb,
)

MACHINE_MEMORY_MB = 120
MACHINE_DESCRIPTORS = 1_400
DESCRIPTORS_FOR_FILES = 200
"""Descriptors of the machine that sockets and pipes cannot use."""
BODY_BYTES = 1_000_000
"""Largest body of a request."""
ENDLESS_BYTES = 4_000_000
CALLERS = 160
"""More than there are threads."""
TIMEOUT_S = 20.0
LIMITS = {
    "max_body_bytes": BODY_BYTES,
    "body_timeout_s": 60.0,
    "memory_mb": MACHINE_MEMORY_MB,
    "max_descriptors": MACHINE_DESCRIPTORS,
}
MESSAGES = [{"role": "user", "content": "which trees stand here"}]
CHAT = "/v1/chat/completions"
ENDLESS_CHUNK_SIZE = b"0" * ENDLESS_BYTES
LINES = b"a:b\r\n" * (ENDLESS_BYTES // 5)


def sends(sent, piece=BODY_BYTES, size=BODY_BYTES):
    return lambda number: content_length_request(CHAT, number, size, sent, piece)


def in_chunks(sent, chunk, ends=False, rest=b""):
    return lambda number: [*chunked_request(CHAT, number, sent, chunk, ends), rest]


def open_head(rest):
    return lambda number: [head(CHAT, number)[:-2] + rest]


def pipelined(number):
    first = content_length_request(CHAT, number, 3, 3, 3)
    return [*first, b"GET /healthz HTTP/1.1\r\nHost: a\r\n\r\n" * 5_000]


CROWDS = {
    "incomplete": (CALLERS, sends(BODY_BYTES - 1), 0.0),
    "pieces-incomplete": (CALLERS, sends(BODY_BYTES - 1, 20_000), 0.02),
    "whole": (CALLERS, sends(BODY_BYTES), 0.0),
    "chunks-incomplete": (CALLERS, in_chunks(983_040, 65_536), 0.0),
    "two-byte-chunks-incomplete": (40, in_chunks(200_000, 2), 0.0),
    "over-the-limit-announced": (CALLERS, sends(ENDLESS_BYTES, size=10**9), 0.0),
    "over-the-limit-sent": (CALLERS, in_chunks(ENDLESS_BYTES, 65_536), 0.0),
    "head-of-one-line": (CALLERS, open_head(b"X: " + b"y" * ENDLESS_BYTES), 0.0),
    "head-of-lines": (CALLERS, open_head(LINES), 0.0),
    "chunk-size": (CALLERS, in_chunks(3, 3, rest=ENDLESS_CHUNK_SIZE), 0.0),
    "trailer": (CALLERS, in_chunks(3, 3, rest=b"0\r\n" + LINES), 0.0),
    "pipelined": (CALLERS, pipelined, 0.0),
    "silent": (2 * MACHINE_DESCRIPTORS, lambda number: [], 0.0),
}
"""By name: the number of callers, what each sends, and the pause between its parts."""


@pytest.fixture(scope="module")
def cluster():
    deployment = Deployment(deployments.small(), {"north": 1, "south": 1}, LIMITS)
    with Cluster(deployment) as running:
        assert running.submit(running.document, 0, "south-0")["result"] == "accepted"
        running.wait_until_loaded(60)
        yield running


@pytest.fixture
def process(cluster):
    """Restart the host under test, so that its peak of memory is that of one crowd."""
    cluster.processes["north-0"].stop()
    cluster.start_host("north-0")
    cluster.wait_for(lambda: chat(cluster) == 200, "the host to serve")
    process = cluster.processes["north-0"].popen
    descriptors = (MACHINE_DESCRIPTORS, MACHINE_DESCRIPTORS)
    resource.prlimit(process.pid, resource.RLIMIT_NOFILE, descriptors)
    return process


def chat(cluster):
    """Return the status of an ordinary request, or why it failed."""
    body = {"model": "m-model-0", "messages": MESSAGES, "max_tokens": 4}
    response = cluster.post("north-0", CHAT, body)
    return response if isinstance(response, Failure) else response.status


def health(cluster):
    """Return the status of a health check, or why it failed."""
    address = cluster.addresses["north-0"]
    response = http_client.call(
        "GET", address, "/healthz", step="t", timeout_s=TIMEOUT_S, single_use=True
    )
    return response if isinstance(response, Failure) else response.status


def check_host(process):
    assert process.poll() is None
    assert peak_memory_mb(process.pid) < MACHINE_MEMORY_MB
    limit = MACHINE_DESCRIPTORS - DESCRIPTORS_FOR_FILES
    assert open_descriptors(process.pid) < limit


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_ends_no_host_and_ordinary_callers_are_served(cluster, process, name):
    callers, parts, pause_s = CROWDS[name]
    with Crowd(split_address(cluster.addresses["north-0"]), callers, parts, pause_s):
        check_host(process)
        assert health(cluster) == 200
        assert chat(cluster) == 200
        check_host(process)
    assert chat(cluster) == 200
    check_host(process)


@pytest.mark.parametrize(
    "parts",
    [
        content_length_request("/healthz", 1, BODY_BYTES, BODY_BYTES, BODY_BYTES),
        content_length_request("/healthz", 1, BODY_BYTES, BODY_BYTES, 20_000),
        chunked_request("/healthz", 1, BODY_BYTES, 50_000, ends=True),
        chunked_request("/healthz", 1, 200_000, 2, ends=True),
    ],
    ids=["whole", "pieces", "large-chunks", "two-byte-chunks"],
)
def test_a_request_inside_the_limits_is_served_in_calm(cluster, parts):
    address = split_address(cluster.addresses["north-0"])
    with Crowd(address, 1, lambda _: parts) as crowd:
        cluster.wait_for(lambda: bool(crowd.statuses), "a response")
    assert crowd.statuses == {"200": 1}
