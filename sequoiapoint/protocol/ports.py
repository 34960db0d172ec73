"""Interfaces between the gateway and a deployment's wire formats.

A deployment adapter translates names, formats and calls and makes no decisions.  The
gateway depends only on these protocols; the command line passes it an adapter that
implements them.
"""

from collections.abc import Callable, Iterable
from typing import Protocol

from sequoiapoint.protocol.gateway import (
    CallerRequest,
    EngineReport,
    GatewayConfiguration,
    GroupMembership,
    Order,
    OrderResult,
    ResponseHead,
    ServerEntry,
    StoreRecord,
    Unreadable,
)

Headers = list[tuple[bytes, bytes]]


class HttpCall:
    """An HTTP request: method, target, headers and body."""

    __slots__ = ("body", "headers", "method", "target")

    def __init__(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers or []
        self.body = body


class CallerCodec(Protocol):
    """Decodes callers' requests and encodes the gateway's own response headers."""

    def readiness_path(self) -> str:
        """Return the path of the load balancer's readiness check."""

    def decode_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> CallerRequest | None:
        """Decode a request; return None if it has no request id."""

    def key_digest(self, headers: Iterable[tuple[bytes, bytes]]) -> bytes:
        """Return the digest of the key that a caller has sent, b"" without one."""

    def without_credentials(
        self, headers: Iterable[tuple[bytes, bytes]]
    ) -> tuple[tuple[bytes, bytes], ...]:
        """Return the headers without a key and without an organisation's name."""

    def refusal_headers(self, request_id: str, retry_after_s: float | None) -> Headers:
        """Return the headers of a response that the gateway itself generates."""


class ServerCodec(Protocol):
    """Encodes messages to backend servers and decodes their responses."""

    def request_head(
        self,
        request: CallerRequest,
        entry: ServerEntry,
        remaining_s: float,
        priority: int | None,
        last_event_id: str,
    ) -> bytes:
        """Encode the head of a request to a server."""

    def decode_head(self, status: int, headers: Headers) -> ResponseHead:
        """Decode the head of a response."""

    def is_leaving(self, headers: Headers) -> bool:
        """Tell whether any response of a server announces that it leaves."""

    def limit_per_s(self, headers: Headers) -> float | None | Unreadable:
        """Return the requests a second that any response names as its server's limit.

        :return: None if it names no limit.
        """

    def brittle_per_s(self, headers: Headers) -> float | None | Unreadable:
        """Return how many requests a second any response says its server can turn away.

        :return: None if the server does not say that it is brittle.
        """

    def order_call(self, entry: ServerEntry, order: Order) -> HttpCall:
        """Encode an order to an engine."""

    def order_result(self, status: int) -> OrderResult:
        """Decode the status of an engine's response to an order."""

    def report_call(self, entry: ServerEntry) -> HttpCall:
        """Encode a request for an engine's report."""

    def decode_report(self, body: bytes) -> EngineReport | Unreadable:
        """Decode an engine's report."""


class StoreCodec(Protocol):
    """Encodes calls to the platform's store and decodes its responses."""

    def decode_era(self, headers: Headers) -> int | None:
        """Decode how often the store has come back from an older copy.

        :return: None if the response does not say.
        :raises ValueError: The value cannot be read.
        """

    def newest_call(self, topic: str, after: str | None) -> HttpCall:
        """Encode a request for the latest record of each key of a topic.

        :param after: The key after which the page starts; None for the first page.
        """

    def decode_newest(
        self, body: bytes, skip: Callable[[str], None]
    ) -> tuple[list[StoreRecord], int, bool]:
        """Return the records, the topic's end offset and whether more pages follow.

        Records that cannot be read are left out.
        """

    def read_call(self, topic: str, offset: int, wait_s: float) -> HttpCall:
        """Encode a read that waits up to ``wait_s`` for records."""

    def decode_read(self, topic: str, offset: int, body: bytes) -> list[StoreRecord]:
        """Decode the records returned by a read."""

    def put_call(self, topic: str, key: str, value: bytes) -> HttpCall:
        """Encode the write of one keyed record."""

    def join_call(
        self, group: str, topic: str, member: str, lease_s: float, generation: int
    ) -> HttpCall:
        """Encode a request to join a group or to renew the membership."""

    def decode_join(self, body: bytes, skip: Callable[[str], None]) -> GroupMembership:
        """Decode the response to a join, except rows that cannot be read."""

    def leave_call(self, group: str, member: str) -> HttpCall:
        """Encode a request to leave a group."""

    def configuration_topic(self) -> str:
        """Return the topic with the operators' configuration."""

    def server_topic(self) -> str:
        """Return the topic with the servers' entries."""

    def decode_configuration(
        self, record: StoreRecord
    ) -> GatewayConfiguration | Unreadable | None:
        """Decode a configuration; return None if the record has another key."""

    def decode_server(self, record: StoreRecord) -> ServerEntry | Unreadable:
        """Decode a server's entry."""


class DeploymentAdapter(Protocol):
    """A deployment's codecs."""

    callers: CallerCodec
    servers: ServerCodec
    store: StoreCodec
