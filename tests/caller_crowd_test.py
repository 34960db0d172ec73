"""Crowds of misbehaving callers, at a gateway process on a small machine.

Guards against a process that runs out of memory or descriptors as its callers send
much, leave requests incomplete, or hold connections.
"""

import resource
import time

import pytest

from standins.crowd import (
    Crowd,
    chunked_request,
    content_length_request,
    head,
    open_descriptors,
    peak_memory_mb,
)
from standins.site.deployment import SiteDeployment, configuration

MACHINE_MEMORY_MB = 120
MACHINE_DESCRIPTORS = 1_400
DESCRIPTORS_FOR_FILES = 200
"""Descriptors of the machine that sockets and pipes cannot use."""
BODY_BYTES = 1_000_000
"""Largest body of a request; also what most of a crowd's callers send."""
CALLERS = 120
WORK_S = 0.2
MAX_ORDINARY_TRIES = 10
SETTINGS = {"memory_mb": MACHINE_MEMORY_MB, "max_descriptors": MACHINE_DESCRIPTORS}
LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": BODY_BYTES,
    "header-timeout-ms": 30_000,
    "idle-timeout-ms": 30_000,
}


def incomplete(path, piece=BODY_BYTES):
    return lambda number: content_length_request(
        path, number, BODY_BYTES, BODY_BYTES - 1, piece
    )


def whole(path):
    return lambda number: content_length_request(
        path, number, BODY_BYTES, BODY_BYTES, BODY_BYTES
    )


def in_chunks(chunk, sent, ends=False):
    return lambda number: chunked_request("/write/x", number, sent, chunk, ends)


def behind_another(number):
    first = content_length_request("/read/x", 10_000 + number, 3, 3, 3)
    return [*first, *incomplete("/write/x")(number)]


def pipelined(count):
    def parts(number):
        first = content_length_request("/write/x", number, 3, 3, 3)
        return [*first, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n" * count]

    return parts


def open_head(rest):
    return lambda number: [head("/write/x", number)[:-2] + rest]


def nothing(number):
    return []


CROWDS = {
    "write-incomplete": (CALLERS, incomplete("/write/x"), 0.0),
    "stream-incomplete": (CALLERS, incomplete("/talk/x"), 0.0),
    "pieces-incomplete": (CALLERS, incomplete("/write/x", 20_000), 0.02),
    "write-whole": (CALLERS, whole("/write/x"), 0.0),
    "read-whole": (CALLERS, whole("/read/x"), 0.0),
    "large-chunks-incomplete": (CALLERS, in_chunks(65_536, 983_040), 0.0),
    "large-chunks-whole": (CALLERS, in_chunks(65_536, 983_040, ends=True), 0.0),
    "two-byte-chunks-incomplete": (40, in_chunks(2, 200_000), 0.0),
    "two-byte-chunks-trickled": (40, in_chunks(2, 200_000), 0.02),
    "one-byte-chunks-incomplete": (80, in_chunks(1, 200_000), 0.0),
    "behind-another": (CALLERS, behind_another, 0.0),
    "over-the-limit-sent": (CALLERS, in_chunks(65_536, 4_000_000), 0.0),
    "over-the-limit-announced": (
        CALLERS,
        lambda number: content_length_request(
            "/write/x", number, 10**9, 4_000_000, 65_536
        ),
        0.0,
    ),
    "head-of-one-line": (800, open_head(b"X: " + b"y" * 15_000), 0.0),
    "head-of-short-lines": (800, open_head(b"a:b\r\n" * 2_200), 0.0),
    "pipelined": (CALLERS, pipelined(8_000), 0.0),
    "silent": (2 * MACHINE_DESCRIPTORS, nothing, 0.0),
}
"""By name: the number of callers, what each sends, and the pause between its parts."""

ADDRESSES = ("ready", "metrics", "peer")
"""The gateway's addresses that are not for callers."""


@pytest.fixture
def site():
    limited = configuration(limits=LIMITS)
    with SiteDeployment(
        1, zones=1, first_configuration=limited, settings=SETTINGS
    ) as deployment:
        for backend in deployment.backends:
            backend.work_s = WORK_S
            backend.room = 4
        process = deployment.gateways[0].process.pid
        descriptors = (MACHINE_DESCRIPTORS, MACHINE_DESCRIPTORS)
        resource.prlimit(process, resource.RLIMIT_NOFILE, descriptors)
        yield deployment
        assert deployment.failures() == []


def address(gateway, purpose="front"):
    return "127.0.0.1", gateway.ports[purpose]


def status_of_an_ordinary_request(gateway, name):
    """Return the final status, or why there is none.

    A caller that is refused sends the request again after the stated time.
    """
    for number in range(MAX_ORDINARY_TRIES):
        try:
            reply = gateway.send_request("/read/x", f"{name}-{number}", b"ordinary")
        except OSError as error:
            return repr(error)
        if "retry-after" not in reply.headers:
            break
        time.sleep(float(reply.headers["retry-after"]))
    return reply.status


def check_gateway(gateway):
    assert gateway.process.poll() is None, gateway.log.read_text()[-2_000:]
    assert peak_memory_mb(gateway.process.pid) < MACHINE_MEMORY_MB
    limit = MACHINE_DESCRIPTORS - DESCRIPTORS_FOR_FILES
    assert open_descriptors(gateway.process.pid) < limit


@pytest.mark.parametrize("name", CROWDS)
def test_a_crowd_ends_no_gateway_and_an_ordinary_caller_is_served(site, name):
    gateway = site.gateways[0]
    callers, parts, pause_s = CROWDS[name]
    with Crowd(address(gateway), callers, parts, pause_s):
        check_gateway(gateway)
        assert status_of_an_ordinary_request(gateway, "beside") == 200
        check_gateway(gateway)
    assert status_of_an_ordinary_request(gateway, "after") == 200
    check_gateway(gateway)


@pytest.mark.parametrize("purpose", ADDRESSES)
@pytest.mark.parametrize("name", ["large-chunks-incomplete", "silent"])
def test_a_crowd_at_another_address_ends_no_gateway(site, purpose, name):
    gateway = site.gateways[0]
    callers, parts, pause_s = CROWDS[name]
    with Crowd(address(gateway, purpose), callers, parts, pause_s):
        check_gateway(gateway)
        assert status_of_an_ordinary_request(gateway, "beside") == 200
        check_gateway(gateway)
    assert status_of_an_ordinary_request(gateway, "after") == 200
    assert gateway.is_ready()


@pytest.mark.parametrize("path", ["/read/x", "/write/x"])
def test_a_request_that_is_refused_in_a_crowd_has_not_run(site, path):
    gateway = site.gateways[0]
    with Crowd(address(gateway), CALLERS, whole(path)) as crowd:
        site.wait(lambda: sum(crowd.statuses.values()) == CALLERS, 25.0)
    refused = CALLERS - crowd.statuses["200"]
    assert set(crowd.statuses) <= {"200", "408", "429", "503"}
    runs = {request for backend in site.plain for request in backend.runs}
    assert len(runs) == CALLERS - refused


@pytest.mark.parametrize(
    ("name", "parts"),
    {
        "whole": content_length_request(
            "/write/x", 1, BODY_BYTES, BODY_BYTES, BODY_BYTES
        ),
        "pieces": content_length_request("/write/x", 1, BODY_BYTES, BODY_BYTES, 20_000),
        "large-chunks": chunked_request("/write/x", 1, BODY_BYTES, 50_000, ends=True),
        "small-chunks": chunked_request("/write/x", 1, BODY_BYTES, 1_000, ends=True),
        "two-byte-chunks": chunked_request("/write/x", 1, 200_000, 2, ends=True),
    }.items(),
)
def test_a_request_inside_the_limits_is_served_in_calm(site, name, parts):
    with Crowd(address(site.gateways[0]), 1, lambda _: parts) as crowd:
        site.wait(lambda: bool(crowd.statuses), 10.0)
    assert crowd.statuses == {"200": 1}
