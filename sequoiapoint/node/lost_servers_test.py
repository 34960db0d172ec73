"""Servers that are lost while the store still lists them, beside others that are busy.

Guards against requests that are refused at once, as they connect to a lost server time
and again instead of waiting for those that are left.
"""

import asyncio
from dataclasses import replace

import pytest

from sequoiapoint.node.request_forwarder_test import END, ENTRY, SIGNED, holding_site
from sequoiapoint.node.stream_continuation_test import STREAM, event, know_version
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.state.server_limits import LimitNotice
from sequoiapoint.state.server_load import CONNECT_BACKOFF_S
from sequoiapoint.transport.clock import monotonic_s

LOST = tuple(replace(ENTRY, server=f"lost-{n}") for n in range(3))
SOUND = replace(ENTRY, server="sound", zone="far")
PROMPT_TOKENS = 4_000
"""As many prompt tokens as an engine may have to read."""


def lost_site(monkeypatch, lost=1, *sound):
    """Return a site on which some engines refuse connections, and those it tried."""
    site = holding_site(monkeypatch, *LOST[:lost], *sound)
    connect, tried = site._connect, []

    async def connect_or_fail(entry):
        if entry not in LOST:
            return await connect(entry)
        tried.append(entry.server)
        return Failure(FailureKind.NOT_SENT, "connect_refused", "connect", "x")

    site._connect = connect_or_fail
    site.responses = {SOUND.server: [(200, [SIGNED])] * 9}
    return site, tried


def add_holder(site, entry):
    """Let an engine hold the model from now on."""
    site.state.fleet.put(entry)
    site.state.fleet.set_held(entry.incarnation, {"oak": set()})


def read_prompts(load):
    load.note_sent(-1, monotonic_s(), PROMPT_TOKENS)
    return lambda: load.note_first_event(-1)


def fill(load):
    for number in range(1, 12):
        load.note_sent(-number, monotonic_s())
    return lambda: [load.note_finished(-number) for number in range(1, 12)]


@pytest.mark.parametrize("lost", [1, 2, 3])
@pytest.mark.parametrize("make_busy", [read_prompts, fill])
@pytest.mark.parametrize("last_event_id", ["", "2"])
def test_a_stream_waits_for_a_busy_server_while_others_are_lost(
    monkeypatch, make_busy, lost, last_event_id
):
    """Streams that were taken up again were refused within ms (LOST)."""
    site, tried = lost_site(monkeypatch, lost, SOUND)
    end_work = make_busy(site.state.loads.get_or_create(SOUND.incarnation))
    site.route = replace(site.route, is_stream=True, is_resumable=True)
    rest = event(int(last_event_id or 0) + 1)
    site.responses[SOUND.server] = [(200, [SIGNED, STREAM], rest)]
    know_version(site)

    async def run():
        asyncio.get_running_loop().call_later(0.3, end_work)
        return await site.request(
            budget_s=4.0,
            model="oak",
            prompt_tokens=9,
            last_event_id=last_event_id,
            resumes="first" if last_event_id else "",
        )

    assert asyncio.run(run())[0] == 200
    assert (site.sent, site.streamed) == ([SOUND.server], [rest, END])
    assert sorted(tried) == [entry.server for entry in LOST[:lost]]


@pytest.mark.parametrize("lost", [1, 2, 3])
@pytest.mark.parametrize("last_event_id", ["", "2"])
def test_a_stream_waits_for_a_new_copy_of_its_model_while_all_others_are_lost(
    monkeypatch, lost, last_event_id
):
    """Streams connected four times to one lost engine, and were refused within ms."""
    site, tried = lost_site(monkeypatch, lost)
    site.route = replace(site.route, is_stream=True, is_resumable=True)
    rest = event(int(last_event_id or 0) + 1)
    site.responses[SOUND.server] = [(200, [SIGNED, STREAM], rest)]
    know_version(site)

    async def run():
        loop = asyncio.get_running_loop()
        loop.call_later(0.7, add_holder, site, SOUND)
        return await site.request(
            budget_s=4.0,
            model="oak",
            prompt_tokens=9,
            last_event_id=last_event_id,
            resumes="first" if last_event_id else "",
        )

    assert asyncio.run(run())[0] == 200
    assert site.streamed == [rest, END]
    assert len(tried) <= 2 * lost


def test_a_lost_server_is_tried_now_and_then_while_others_are_full(monkeypatch):
    """Guards against a server that is left alone although it can be reached again."""
    site, tried = lost_site(monkeypatch, 1, SOUND)
    fill(site.state.loads.get_or_create(SOUND.incarnation))
    site.route = replace(site.route, goal_s=1.4)
    asyncio.run(site.request(budget_s=2.0, model="oak", prompt_tokens=9))
    assert len(tried) == 1 + int(1.4 / CONNECT_BACKOFF_S)


def test_a_lost_server_is_tried_if_no_other_can_run_the_request(monkeypatch):
    site, tried = lost_site(monkeypatch)
    assert asyncio.run(site.request(model="oak", prompt_tokens=9))[0] == 503
    assert tried


@pytest.mark.parametrize("is_limited", [False, True])
def test_a_request_needs_no_permit_of_a_lost_server(monkeypatch, is_limited):
    """Permits were sought for the lost one first, which has nothing to do."""
    near, far = replace(SOUND, zone="far"), replace(LOST[0], zone="z")
    site, tried = lost_site(monkeypatch, 0, far, near)
    now = monotonic_s()
    site.state.loads.note_connect_failure(far.incarnation, now)
    if is_limited:
        for entry in (far, near):
            site.state.limits.note(LimitNotice(entry.incarnation, 5.0, now))
    assert asyncio.run(site.request(model="oak", prompt_tokens=9))[0] == 200
    assert (tried, site.sent) == ([], [SOUND.server])


@pytest.mark.parametrize(("count", "later_s"), [(2, 0.3), (8, 0.5)])
def test_streams_wait_together_until_their_connections_are_certain(
    monkeypatch, count, later_s
):
    """An engine read two prompts in half a second, as others only waited.

    A connection is certain to lead to a process some time after it was opened.  The
    prompts of the streams that waited for it counted as unread, although none was sent.
    """
    site = holding_site(monkeypatch, SOUND)
    site.route = replace(site.route, is_stream=True, is_resumable=True)
    site.responses = {SOUND.server: [(200, [SIGNED, STREAM], event(3))] * count}
    know_version(site)

    async def is_certain(server, connected_at):
        await asyncio.sleep(max(0.0, connected_at + 0.2 - monotonic_s()))
        return True

    site.origins.is_certain = is_certain

    async def run():
        started_at = monotonic_s()
        fields = {"model": "oak", "last_event_id": "2", "resumes": "first"}
        requests = (
            site.request(budget_s=4.0, prompt_tokens=PROMPT_TOKENS, **fields)
            for _ in range(count)
        )
        await asyncio.gather(*requests)
        return monotonic_s() - started_at

    assert asyncio.run(run()) < later_s
    assert (len(site.sent), site.opened) == (count, count)


def test_prompts_beyond_what_an_engine_may_read_are_not_sent_together(monkeypatch):
    """Streams whose connections are certain at one moment may all be sent then."""
    site = holding_site(monkeypatch, SOUND)
    site.route = replace(site.route, is_stream=True, is_resumable=True)
    site.responses = {SOUND.server: [(200, [SIGNED, STREAM])] * 8}
    site.is_endless = True
    know_version(site)

    async def is_certain(server, connected_at):
        await asyncio.sleep(max(0.0, connected_at + 0.2 - monotonic_s()))
        return True

    site.origins.is_certain = is_certain

    async def run():
        fields = {"model": "oak", "last_event_id": "2", "resumes": "first"}
        requests = [
            asyncio.ensure_future(
                site.request(budget_s=4.0, prompt_tokens=PROMPT_TOKENS // 2, **fields)
            )
            for _ in range(8)
        ]
        await asyncio.sleep(0.5)
        sent = len(site.sent)
        for request in requests:
            request.cancel()
        await asyncio.wait(requests)
        return sent

    assert asyncio.run(run()) == 2
