"""Servers that run a request and answer with a status that promises the contrary.

Guards against callers who take such an answer for the promise that their request was
not run, and send it again.
"""

import asyncio
from dataclasses import replace

import pytest

from sequoiapoint.node.request_detour_test import answered, cut_off_site
from sequoiapoint.node.request_forwarder_test import ENTRY, SIGNED, Site
from sequoiapoint.protocol.gateway import Repeatability

NOT_RUN = (b"not-run", b"1")
PROMISES = [408, 429, 503]
"""The statuses that promise it without ``Not-Run``; 421 always states it."""
ONCE = {"repeatability": Repeatability.AT_MOST_ONCE}
ROUTES = {
    "page": ONCE,
    "stream": ONCE | {"is_stream": True},
    "one-attempt": ONCE | {"attempts": 1},
}


def site_of(monkeypatch, response, **route):
    """Return a site whose server answers its first request with a response."""
    site = Site(monkeypatch, ENTRY)
    site.route = replace(site.route, **route)
    site.responses = {ENTRY.server: [response, (200, [SIGNED])]}
    return site


@pytest.mark.parametrize("status", PROMISES)
@pytest.mark.parametrize("route", ROUTES.values(), ids=ROUTES)
@pytest.mark.parametrize("retry_after", [[], [(b"retry-after", b"0.1")]])
def test_a_request_that_has_run_is_not_answered_as_if_it_had_not(
    monkeypatch, status, route, retry_after
):
    """Half of the requests to plain servers that fail were answered so (REFUSED)."""
    response = (status, [SIGNED, *retry_after], b"failed")
    site = site_of(monkeypatch, response, **route)
    assert asyncio.run(site.request()) == (502, {b"retry-after": None})
    assert site.sent == [ENTRY.server]


@pytest.mark.parametrize("status", PROMISES)
def test_the_answer_of_a_helpers_server_is_no_promise_either(monkeypatch, status):
    """The helper may be of an older build, which passes it on."""
    site = cut_off_site(monkeypatch, answered(status=status), answered(), **ONCE)
    assert asyncio.run(site.request()) == (502, {b"retry-after": None})
    assert len(site.detours.requests) == 1


@pytest.mark.parametrize("status", [*PROMISES, 500])
def test_a_failure_of_a_repeatable_request_is_passed_on(monkeypatch, status):
    """Its caller may send it again, whatever the failure says."""
    site = site_of(monkeypatch, (status, [SIGNED], b"failed"), attempts=1)
    assert asyncio.run(site.request()) == (status, dict([SIGNED]))


@pytest.mark.parametrize("status", [400, 403, 404, 409, 500, 502, 504])
def test_a_failure_that_promises_nothing_is_passed_on(monkeypatch, status):
    site = site_of(monkeypatch, (status, [SIGNED], b"failed"), **ONCE)
    assert asyncio.run(site.request()) == (status, dict([SIGNED]))
    assert site.sent == [ENTRY.server]


@pytest.mark.parametrize(
    "response", [(503, [NOT_RUN]), (429, [NOT_RUN]), (421, []), (421, [SIGNED])]
)
def test_a_request_that_its_server_did_not_run_is_sent_again(monkeypatch, response):
    site = site_of(monkeypatch, response, **ONCE)
    assert asyncio.run(site.request())[0] == 200
    assert len(site.sent) == 2
