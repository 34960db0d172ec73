"""Streams that break off, and whose next server answers with something else.

Guards against an error's text, a second head or another run's events in the middle of
a stream, and against a stream that ends as if it were complete.  The hosts are
processes; the caller looks at each byte of the response.
"""

import concurrent.futures
import itertools
import re
import socket
import time
from collections import deque
from dataclasses import dataclass, replace

import pytest

from standins.site.backends import ScriptedResponse
from standins.site.deployment import SiteDeployment, configuration, route
from standins.site.linked_deployment import LinkedDeployment
from standins.soak.link import Cut

EVENTS, BROKEN_AFTER = 12, 4
LONG, CUT_AFTER_S = 40, 0.35
"""Events of streams during which their host is cut off, and when that is."""
BUDGET_MS = 4_000
CUT_OFF, HELPERS = 3, 2
"""Number of hosts that are cut off, and of those that help them."""
REJOIN_S = 2.5
"""Time after which a helper that was killed is asked again."""
GIVE_UP_S = 60.0
FOR_THIRD = ("not-found", "html")
"""Answers after which a third server goes on, on a detour."""
RESPONSE_TIMEOUT_S = 8.0
LOG_DELAY_S = 0.5
"""Time after a stream's end in which its host logs the end."""
NOTICE_S, NOTICE_STREAMS = 5.0, 4
"""Time in which a host must notice that it is cut off, and streams that show it."""
ATTEMPTS = {"twice": 2, "thrice": 3, "often": 8}
"""Attempts of each route."""
RETRIES = {"retry_allowance": 10_000.0}
"""Bounds with which all tests of a deployment get their retries."""
EVENT = re.compile(rb"id: (\d+)\ndata: lm-\d v1\n\n")
CHUNK = re.compile(rb"([0-9a-f]+)\r\n")
LAST_CHUNK = b"0\r\n\r\n"
STREAM = "text/event-stream"


def events(first, last):
    """Return events that look like those of the servers."""
    parts = (f"id: {n}\ndata: lm-9 v1\n\n" for n in range(first, last + 1))
    return "".join(parts).encode()


SECOND_HEAD = b"HTTP/1.1 500 Failed\r\nContent-Length: 8\r\n\r\nfailed\n\n"
ERROR = ScriptedResponse(500, "text/plain", b"failed\n\n")
ANSWERS = {
    "error": ERROR,
    "error-cut": ScriptedResponse(500, "text/plain", b"failed\n\n" * 9, None, 16),
    "unavailable": ScriptedResponse(503, "", b"full\n\n"),
    "not-found": ScriptedResponse(404, "text/plain", b"nothing here\n\n"),
    "html": ScriptedResponse(200, "text/html", b"<p>\n\nfailed</p>\n\n"),
    "json": ScriptedResponse(200, "application/json", b'{\n\n"error": 1}\n\n'),
    "second-head": ScriptedResponse(200, STREAM, SECOND_HEAD),
    "second-head-untyped": ScriptedResponse(200, "", SECOND_HEAD),
    "no-content": ScriptedResponse(204),
    "without-event": ScriptedResponse(200, STREAM),
    "from-its-start": ScriptedResponse(200, STREAM, events(1, EVENTS)),
    "last-event-again": ScriptedResponse(200, STREAM, events(BROKEN_AFTER, EVENTS)),
    "without-ids": ScriptedResponse(200, STREAM, b"data: lm-9 v1\n\n" * 8),
    "cut-in-its-head": ScriptedResponse(200, STREAM, events(5, EVENTS), 40),
    "cut-before-its-body": ScriptedResponse(200, STREAM, events(5, EVENTS), None, 0),
}
"""What the next server sends in place of the rest of a stream."""
RESTS = {
    "events": ScriptedResponse(200, STREAM, events(BROKEN_AFTER + 1, EVENTS)),
    "untyped": ScriptedResponse(200, "", events(BROKEN_AFTER + 1, EVENTS)),
    "broken-again": ScriptedResponse(200, STREAM, events(5, EVENTS), None, 90),
}
"""What a server may send to go on with a stream."""
BEGUN = ScriptedResponse(
    200, STREAM, events(1, EVENTS), None, len(events(1, BROKEN_AFTER)) + 5
)
"""What the first server sends: it breaks off in the middle of an event."""
HELD = replace(BEGUN, pause_s=1.5)
"""The same, but silent before it breaks off, so that its helper can be killed."""
ALL = ScriptedResponse(200, STREAM, events(1, EVENTS + 1), None, -5)
"""What a server sends that breaks off behind the last event."""
CASES = list(itertools.product(("twice", "thrice"), ANSWERS))
DETOURED = [case for case in CASES if case[0] == "twice" or case[1] in FOR_THIRD]

_numbers = itertools.count()


@dataclass(frozen=True)
class Received:
    """What a caller got.

    :param body: The body without its framing, or with it if it is not chunked.
    :param rest: What follows the last complete chunk.
    :param log: The host's log lines on the request, which explain a failure.
    """

    status: int
    body: bytes
    rest: bytes
    log: list[str]

    @property
    def is_whole(self):
        """Tell whether the body is framed as whole."""
        return self.rest == LAST_CHUNK

    @property
    def ids(self):
        """Return the ids of the events."""
        return [int(number) for number in EVENT.findall(self.body)]

    def check_stream(self, first=1, last=EVENTS):
        """Check that events from the first one on were received, and nothing else."""
        assert EVENT.sub(b"", self.body) == b"", self
        assert self.rest in (b"", LAST_CHUNK), self
        assert self.ids == list(range(first, first + len(self.ids))), self
        assert not self.is_whole or self.ids[-1:] == [last], self


def request_stream(
    gateway, kind, request_id, count=EVENTS, budget_ms=BUDGET_MS, **headers
):
    """Request a stream over a new connection, and read it to the connection's end."""
    lines = {
        "Host": "site.example",
        "Request-Id": request_id,
        "Deadline-Ms": budget_ms,
        "Model": "oak",
        "Token-Count": f"10,{count}",
        "Content-Length": len(request_id),
        "Connection": "close",
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    head = f"POST /{kind}/x HTTP/1.1\r\n"
    head += "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    data = b""
    address = ("127.0.0.1", gateway.ports["front"])
    with socket.create_connection(address, RESPONSE_TIMEOUT_S) as connection:
        connection.sendall(f"{head}\r\n{request_id}".encode())
        try:
            while part := connection.recv(65_536):
                data += part
        except ConnectionError:
            pass
    head, _, rest = data.partition(b"\r\n\r\n")
    body = b""
    if b"transfer-encoding: chunked" not in head.lower():
        body, rest = rest, b""
    while match := CHUNK.match(rest):
        start, size = match.end(), int(match[1], 16)
        chunk, end = rest[start : start + size], rest[start + size :]
        if not size or not end.startswith(b"\r\n"):
            break
        body, rest = body + chunk, end[2:]
    log = log_lines(gateway, request_id)
    return Received(int(head.split()[1]), body, rest, log)


def log_lines(gateway, request_id):
    """Return a host's log lines on a request; wait for the one on its end."""
    deadline = time.monotonic() + LOG_DELAY_S
    while True:
        lines = gateway.log.read_text().splitlines()
        found = [line for line in lines if f"request={request_id} " in line]
        is_ended = any(line in found for line in gateway.events("request_ended"))
        if is_ended or time.monotonic() > deadline:
            return found
        time.sleep(0.05)


def run_stream(site, gateway, kind, *script, **headers):
    """Request a stream whose first attempts are answered by a script.

    :return: What was received, the stream's id, and whether the script was used up.
    """
    request_id, left = f"{kind}-{next(_numbers)}", deque(script)
    for engine in site.engines:
        engine.scripts[request_id] = left
    received = request_stream(gateway, kind, request_id, **headers)
    return received, request_id, not left


def run_direct(site, kind, name):
    """Run a stream that breaks off at the first server; the next one has the answer."""
    answer = (ANSWERS | RESTS)[name]
    received, _, is_used = run_stream(site, site.gateways[0], kind, BEGUN, answer)
    assert is_used, received
    return received


def run_resumed(site, kind, name):
    """Run a stream that its caller resumes; the next server has the answer."""
    gateway, attempts = site.gateways[0], ATTEMPTS[kind]
    begun, request_id, _ = run_stream(
        site, gateway, kind, BEGUN, *[ERROR] * (attempts - 1)
    )
    assert begun.ids == list(range(1, BROKEN_AFTER + 1))
    assert not begun.is_whole
    again = {"Last_Event_Id": BROKEN_AFTER, "Resumes": request_id}
    received, _, is_used = run_stream(site, gateway, kind, ANSWERS[name], **again)
    assert is_used, received
    return received


def run_to_its_last_event(site):
    """Run a stream that breaks off behind its last event, and resume it."""
    gateway = site.gateways[0]
    begun, request_id, _ = run_stream(site, gateway, "twice", ALL)
    again = {"Last_Event_Id": EVENTS, "Resumes": request_id}
    resumed, _, _ = run_stream(site, gateway, "twice", **again)
    third, _, _ = run_stream(site, gateway, "thrice", ALL)
    return begun, resumed, third


def run_on_detours(site, pool, cut_off, killed, cases):
    """Run streams that begin through helpers, of which one is killed meanwhile.

    :param killed: That helper; the next helper of its streams has the answer.
    :return: What was received of the streams that had another helper, by their case.
    """
    ids = {case: f"{case[0]}-{next(_numbers)}" for case in cases}
    scripts = {ids[kind, name]: deque([HELD, ANSWERS[name]]) for kind, name in cases}
    for engine in site.engines:
        engine.scripts.update(scripts)
    hosts = itertools.cycle(cut_off)
    running = {
        case: pool.submit(request_stream, next(hosts), case[0], request_id)
        for case, request_id in ids.items()
    }
    time.sleep(CUT_AFTER_S)
    killed.kill()
    received = {case: task.result() for case, task in running.items()}
    killed.start()
    for case, request_id in ids.items():
        received[case].check_stream()
        check_runs(site, case[0], request_id)
    return {
        case: received[case]
        for case, request_id in ids.items()
        if len(set(helpers(site, request_id))) > 1 and not scripts[request_id]
    }


def check_runs(site, kind, request_id):
    """Check that a stream ran on no more servers than its route allows."""
    runs = sum(engine.runs[request_id] for engine in site.engines)
    assert runs <= ATTEMPTS[kind], request_id


def helpers(site, request_id):
    """Return the hosts that have run a request for another one."""
    mark = f"outcome=taken request={request_id} "
    taken = ((g.name, line) for g in site.gateways for line in g.events("detour"))
    return [name for name, line in taken if mark in line]


def prepare(site):
    """Give all engines the model, and wait until the hosts know it."""
    for engine in site.engines:
        engine.held = {"oak": set(), "elm": set()}
        engine.slots = 64
        site.call(engine.register)
    time.sleep(1.0)


def settings():
    """Return the configuration and bounds of the deployments."""
    stream = {"sticky": True, "can-resume": True, "gap-aim-ms": 150}
    first = configuration()
    first["routes"] += [
        route(name, "stream", "lm", attempts=attempts, **stream)
        for name, attempts in ATTEMPTS.items()
    ]
    return {"first_configuration": first, "bounds": RETRIES}


@pytest.fixture(scope="module", params=[2, 3], ids=["two_engines", "three_engines"])
def streams(request):
    """Run all streams at once; return each one's result, by what is tested."""
    with (
        SiteDeployment(1, request.param, 0, zones=1, **settings()) as site,
        concurrent.futures.ThreadPoolExecutor(len(CASES) * 2) as pool,
    ):
        prepare(site)
        results = {
            (run, *case): pool.submit(run, site, *case)
            for run in (run_direct, run_resumed)
            for case in CASES
        }
        for name in RESTS:
            results[name] = pool.submit(run_direct, site, "thrice", name)
        results["all"] = pool.submit(run_to_its_last_event, site)
        yield results
        assert site.failures() == []


@pytest.fixture(scope="module")
def cut_off_site():
    """Start hosts that are cut off from all servers, and some that help them."""
    with LinkedDeployment(CUT_OFF + HELPERS, 3, 0, zones=1, **settings()) as site:
        prepare(site)
        cut_off = site.gateways[:CUT_OFF]
        site.cut_off(cut_off, Cut.RESET)
        with concurrent.futures.ThreadPoolExecutor(CUT_OFF) as pool:
            list(pool.map(notice_cut, cut_off))
        yield site
        assert site.failures() == []


@pytest.fixture(scope="module")
def detoured_streams(cut_off_site):
    """Run streams at hosts that are cut off, until each had a second helper."""
    site, results = cut_off_site, {}
    cut_off, others = site.gateways[:CUT_OFF], site.gateways[CUT_OFF:]
    deadline = time.monotonic() + GIVE_UP_S
    with concurrent.futures.ThreadPoolExecutor(len(DETOURED)) as pool:
        for killed in itertools.cycle(others):
            left = [case for case in DETOURED if case not in results]
            if not left:
                break
            assert time.monotonic() < deadline, left
            results |= run_on_detours(site, pool, cut_off, killed, left)
            time.sleep(REJOIN_S)
    return results


@pytest.fixture(scope="module")
def cut_streams():
    """Cut a host off while its streams run; their rest goes through other hosts.

    :return: What was received and through which helpers, by the answer.
    """
    with (
        LinkedDeployment(3, 3, 0, zones=1, **settings()) as site,
        concurrent.futures.ThreadPoolExecutor(len(ANSWERS)) as pool,
    ):
        prepare(site)
        first, ids = site.gateways[0], {name: f"cut-{name}" for name in ANSWERS}
        running = {
            name: pool.submit(request_stream, first, "often", request_id, LONG)
            for name, request_id in ids.items()
        }
        time.sleep(CUT_AFTER_S)
        for name, request_id in ids.items():
            script = deque([ANSWERS[name]])
            for engine in site.engines:
                engine.scripts[request_id] = script
        site.cut_off([first], Cut.RESET)
        yield {
            name: (running[name].result(), helpers(site, request_id))
            for name, request_id in ids.items()
        }
        assert site.failures() == []


def notice_cut(gateway):
    """Send streams until a host has noticed that it is cut off."""
    deadline = time.monotonic() + NOTICE_S
    with concurrent.futures.ThreadPoolExecutor(NOTICE_STREAMS) as pool:
        while not any("outcome=lost " in e for e in gateway.events("servers_reached")):
            assert time.monotonic() < deadline
            name = f"before-{next(_numbers)}"
            pool.submit(request_stream, gateway, "twice", name, budget_ms=500)
            time.sleep(0.1)


def check(received, kind):
    """Check a stream of which a third server sends the rest."""
    received.check_stream()
    assert len(received.ids) >= BROKEN_AFTER
    assert received.is_whole or ATTEMPTS[kind] < 3, received


@pytest.mark.parametrize(("kind", "name"), CASES)
def test_what_is_no_continuation_is_not_joined_to_a_stream(streams, kind, name):
    check(streams[run_direct, kind, name].result(), kind)


@pytest.mark.parametrize(("kind", "name"), CASES)
def test_a_caller_that_resumes_its_stream_gets_the_rest_or_an_error(
    streams, kind, name
):
    received = streams[run_resumed, kind, name].result()
    if received.status < 300:
        received.check_stream(BROKEN_AFTER + 1)


@pytest.mark.parametrize(("kind", "name"), DETOURED)
def test_what_a_second_helper_passes_on_is_not_joined_to_a_stream(
    detoured_streams, kind, name
):
    check(detoured_streams[kind, name], kind)


def test_a_stream_that_its_helper_breaks_off_is_not_sent_again(cut_off_site):
    """The helper had used up its attempts, and a third server got the stream."""
    # A host avoids a helper that has failed, so each stream has its own host.
    hosts = cut_off_site.gateways[:CUT_OFF]
    for gateway, answer in zip(hosts, (ERROR, BEGUN, ALL), strict=True):
        received, request_id, is_used = run_stream(
            cut_off_site, gateway, "twice", BEGUN, answer
        )
        assert is_used, received
        received.check_stream()
        assert helpers(cut_off_site, request_id)
        check_runs(cut_off_site, "twice", request_id)


@pytest.mark.parametrize("name", ANSWERS)
def test_what_a_helper_passes_on_is_not_joined_to_a_stream_begun_before_the_cut(
    cut_streams, name
):
    received, through = cut_streams[name]
    assert through
    received.check_stream(last=LONG)
    assert received.ids


@pytest.mark.parametrize("name", RESTS)
def test_what_goes_on_with_a_stream_is_passed_on(streams, name):
    received = streams[name].result()
    received.check_stream()
    assert received.is_whole


def test_a_stream_that_breaks_off_behind_its_last_event_can_be_completed(streams):
    """Its rest has no event, as what a server sends that does not know the stream."""
    begun, resumed, third = streams["all"].result()
    for received in (begun, third):
        received.check_stream()
        assert len(received.ids) == EVENTS
    assert third.is_whole
    assert (resumed.status, resumed.body) == (200, b"")
    assert resumed.is_whole
