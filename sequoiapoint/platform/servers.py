"""Codec of server requests, responses, orders and reports in the wire format."""

import json
import re
from typing import Any

import pydantic

from sequoiapoint.platform import headers as names
from sequoiapoint.protocol.gateway import (
    CallerRequest,
    EngineReport,
    HeldModel,
    LoadReport,
    Order,
    OrderAction,
    OrderResult,
    ResponseHead,
    ServerEntry,
    Unreadable,
)
from sequoiapoint.protocol.ports import Headers, HttpCall

ORDER_TARGET = "/sequoiapoint/order"
REPORT_TARGET = "/sequoiapoint/report"
_JSON = (b"Content-Type", b"application/json")
_ACTIONS = {OrderAction.LOAD: "load", OrderAction.EVICT: "evict"}
_ORDER_RESULTS = {
    200: OrderResult.ALREADY_DONE,
    202: OrderResult.STARTED,
    400: OrderResult.INVALID,
    409: OrderResult.CONFLICT,
    412: OrderResult.FENCED,
    421: OrderResult.WRONG_SERVER,
}
_MAX_PRIORITY = 9
"""The least urgent priority that engines accept; the most urgent is 0."""
_SECONDS = re.compile(rb"\d{1,9}(\.\d{1,9})?")
_MAX_RETRY_AFTER_S = 3600.0
"""Longest time that a server may ask for; a longer one is taken for an error."""
_DECIMAL = re.compile(rb"(\d{1,9}(\.\d{0,9})?|\.\d{1,9})")
_LOAD_FIGURES = 4
_COUNT = re.compile(rb"\d{1,9}")
_MAX_COUNT = 1_000_000
"""Largest number of requests or slots that a server may report."""
_MAX_SLOWNESS_PERCENT = 10_000
"""Largest slowness that a server may report, a hundred times the usual time."""
_NOT_RETURNED = names.HOP_BY_HOP | names.GATEWAY_ONLY


class ModelStatus(pydantic.BaseModel):
    """A model in a server's entry or report."""

    name: pydantic.StrictStr
    adapters: list[pydantic.StrictStr] = []

    def held(self) -> HeldModel:
        """Convert to the gateway's data model."""
        return HeldModel(self.name, frozenset(self.adapters))


class _Copies(pydantic.BaseModel):
    in_memory: list[pydantic.StrictStr] = pydantic.Field([], alias="in-memory")
    on_disk: list[pydantic.StrictStr] = pydantic.Field([], alias="on-disk")


class _Report(pydantic.BaseModel):
    models: list[ModelStatus] = []
    busy: pydantic.StrictBool
    # The number of accepted orders; in a server's entry "seq" counts reports.
    seq: pydantic.StrictInt
    queued: int = 0
    inflight: int = 0
    coming: list[str] = []
    at_hand: _Copies = pydantic.Field(_Copies(), alias="at-hand")


def _decode_figure(
    value: bytes, pattern: re.Pattern[bytes], top: float
) -> float | None:
    """Decode one figure of a load header; None if it is not valid."""
    value = value.strip()
    if not pattern.fullmatch(value) or float(value) > top:
        return None
    return float(value)


def _decode_load(value: bytes | None) -> tuple[LoadReport | None, bool]:
    """Decode ``RUNNING[,WAITING[,SLOTS[,SLOWNESS]]]``; further figures are ignored.

    Without valid numbers of requests there is no report.  The other figures are dropped
    one by one if they are not valid.

    :return: The report, None without one, and whether all figures are valid.
    """
    if value is None:
        return None, True
    figures = value.split(b",", _LOAD_FIGURES)[:_LOAD_FIGURES]
    numbers = [_decode_figure(n, _COUNT, _MAX_COUNT) for n in figures[:3]]
    running = numbers[0]
    waiting = numbers[1] if len(numbers) > 1 else 0.0
    slots = numbers[2] if len(numbers) > 2 else None
    percent = None
    if len(figures) == _LOAD_FIGURES:
        percent = _decode_figure(figures[3], _DECIMAL, _MAX_SLOWNESS_PERCENT) or None
        numbers.append(percent)
    is_valid = None not in numbers
    if running is None or waiting is None:
        return None, is_valid
    return LoadReport(
        int(running),
        int(waiting),
        None if slots is None else int(slots),
        None if percent is None else percent / 100,
    ), is_valid


def _decode_leaving(headers: Headers) -> bool | None:
    """Decode whether a server announces that it leaves; None if unreadable."""
    value = names.first_value(headers, names.SERVER_LEAVING)
    if value is None:
        return False
    return True if value == b"1" else None


def _decode_rate(headers: Headers, name: bytes) -> float | None | Unreadable:
    """Decode a number of requests a second, of all hosts together."""
    value = names.first_value(headers, name)
    if value is None:
        return None
    if not _DECIMAL.fullmatch(value.strip()):
        return Unreadable(name.decode(), "not a decimal number")
    return float(value)


def _decode_retry_after(headers: Headers) -> tuple[float | None, bool]:
    """Decode for how long a server wants no requests.

    :return: The time in seconds, None without one, and whether the value is valid.  A
        time that is too long is shortened, and not valid.
    """
    value = names.first_value(headers, names.RETRY_AFTER)
    if value is None:
        return None, True
    if not _SECONDS.fullmatch(value.strip()):
        return None, False
    seconds = float(value)
    return min(seconds, _MAX_RETRY_AFTER_S), seconds <= _MAX_RETRY_AFTER_S


def _decode_adapter(name: str) -> tuple[str, str]:
    """Decode ``MODEL/ADAPTER@VERSION``."""
    model, _, rest = name.partition("/")
    return model, rest.partition("@")[0]


def _expected_server(entry: ServerEntry) -> tuple[bytes, bytes]:
    """Return the header that makes any server but the named one reject a call."""
    return names.EXPECTED_SERVER.title(), entry.server.encode("latin-1")


class PlatformServerCodec:
    """Encodes messages to backend servers and decodes their responses."""

    def request_head(
        self,
        request: CallerRequest,
        entry: ServerEntry,
        remaining_s: float,
        priority: int | None,
        last_event_id: str,
    ) -> bytes:
        """Encode the head of a request to a server.

        While the configuration has organisations, the server is told the one for which
        the request was admitted, whatever the caller has sent, and never a key.

        :param remaining_s: The remaining time that the caller waits, in seconds.
        :param priority: The priority at an engine, 0 being the most urgent; None to
            send none.
        :param last_event_id: The event id after which a stream resumes; "" for its
            start.
        """
        lines = [f"{request.method} {request.target} HTTP/1.1".encode("latin-1")]
        are_keys_in_force = request.organisation is not None
        dropped = names.CREDENTIALS if are_keys_in_force else frozenset()
        lines += [
            name + b": " + value
            for name, value in request.headers
            if name not in dropped
        ]
        if request.organisation:
            lines.append(names.ORGANISATION + b": " + request.organisation.encode())
        remaining_ms = max(1, int(remaining_s * 1000))
        lines.append(names.BUDGET_MS + b": %d" % remaining_ms)
        lines.append(names.EXPECTED_SERVER + b": " + entry.server.encode("latin-1"))
        if priority is not None:
            sent = min(priority, _MAX_PRIORITY)
            lines.append(names.PRIORITY + b": %d" % sent)
        if last_event_id:
            lines.append(names.LAST_EVENT_ID + b": " + last_event_id.encode("latin-1"))
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            lines.append(b"content-length: %d" % len(request.body))
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def decode_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the head of a response.

        :param headers: Headers with names in lower case.
        """
        is_leaving = _decode_leaving(headers)
        retry_after_s, is_valid = _decode_retry_after(headers)
        unreadable = [names.SERVER_LEAVING] if is_leaving is None else []
        if not is_valid:
            unreadable.append(names.RETRY_AFTER)
        load, is_load_valid = _decode_load(
            names.first_value(headers, names.SERVER_LOAD)
        )
        if not is_load_valid:
            unreadable.append(names.SERVER_LOAD)
        limit_per_s = _decode_rate(headers, names.SERVER_LIMIT)
        if isinstance(limit_per_s, Unreadable):
            unreadable.append(names.SERVER_LIMIT)
        brittle_per_s = _decode_rate(headers, names.SERVER_BRITTLE)
        if isinstance(brittle_per_s, Unreadable):
            unreadable.append(names.SERVER_BRITTLE)
        return ResponseHead(
            status=status,
            request_id=(names.first_value(headers, names.REQUEST_ID) or b"").decode(
                "latin-1"
            ),
            was_not_run=status == 421
            or names.first_value(headers, names.NOT_RUN) is not None,
            is_signed=names.first_value(headers, names.SEAL) is not None,
            is_encoded=names.first_value(headers, names.CONTENT_ENCODING)
            not in (None, b"identity"),
            is_wrong_server=status == 421,
            load=load,
            headers=tuple((n, v) for n, v in headers if n not in _NOT_RETURNED),
            is_leaving=bool(is_leaving),
            retry_after_s=retry_after_s,
            limit_per_s=limit_per_s,
            brittle_per_s=brittle_per_s,
            unreadable=tuple(name.decode() for name in unreadable),
        )

    def is_leaving(self, headers: Headers) -> bool:
        """Tell whether any response of a server announces that it leaves."""
        return bool(_decode_leaving(headers))

    def limit_per_s(self, headers: Headers) -> float | None | Unreadable:
        """Return the limit that any response of a server names."""
        return _decode_rate(headers, names.SERVER_LIMIT)

    def brittle_per_s(self, headers: Headers) -> float | None | Unreadable:
        """Return how many requests a second any response says it can turn away."""
        return _decode_rate(headers, names.SERVER_BRITTLE)

    def order_call(self, entry: ServerEntry, order: Order) -> HttpCall:
        """Encode an order to an engine."""
        body: dict[str, Any] = {"op": _ACTIONS[order.action], "model": order.model}
        if order.adapter:
            body["adapter"] = order.adapter
        # "expect" is the number of orders accepted before this one.
        body |= {
            "expect": order.expected_count,
            "holder": order.holder,
            "fence": order.fence,
        }
        headers = [_JSON, _expected_server(entry)]
        return HttpCall("POST", ORDER_TARGET, headers, json.dumps(body).encode())

    def order_result(self, status: int) -> OrderResult:
        """Decode the status of an engine's response to an order."""
        return _ORDER_RESULTS.get(status, OrderResult.UNANSWERED)

    def report_call(self, entry: ServerEntry) -> HttpCall:
        """Encode a request for an engine's report."""
        return HttpCall("GET", REPORT_TARGET, [_expected_server(entry)])

    def decode_report(self, body: bytes) -> EngineReport | Unreadable:
        """Decode an engine's report."""
        try:
            report = _Report.model_validate_json(body)
        except pydantic.ValidationError as error:
            return Unreadable("", str(error.errors()[0]["msg"]))
        return EngineReport(
            models=tuple(model.held() for model in report.models),
            order_count=report.seq,
            is_busy=report.busy,
            running=report.inflight,
            waiting=report.queued,
            loading_adapters=tuple(_decode_adapter(name) for name in report.coming),
            in_host_memory=frozenset(report.at_hand.in_memory),
            on_disk=frozenset(report.at_hand.on_disk),
        )
