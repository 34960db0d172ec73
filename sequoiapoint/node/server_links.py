"""Connections to backend servers, each bound to one process of its server.

An order is sent only over the connection on which the target process, identified by its
incarnation, has reported.  If the sender is paused before it sends an order, the order
can therefore never reach a later process of the server, for which the ledger counts the
memory in use from zero.
"""

import threading

from sequoiapoint.protocol.document import Server
from sequoiapoint.protocol.engine import Order, Report, parse_report
from sequoiapoint.protocol.errors import Failure, FailureKind
from sequoiapoint.transport import clock
from sequoiapoint.transport.bound_connection import BoundConnection
from sequoiapoint.transport.http_client import HttpResponse

REPORT_TIMEOUT_S = 1.0
ORDER_TIMEOUT_S = 2.0
MAX_IDLE_S = 3.0
"""Idle time after which a connection is no longer used for orders.

If the server has closed an idle connection, the outcome of an order sent over it is
unknown, and the memory that it needs would stay reserved in the ledger."""


class _Link:
    """The connection to one server and the incarnation that it is bound to."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.lock = threading.Lock()
        self.connection: BoundConnection | None = None
        self.incarnation = ""
        self.last_used_at = float("-inf")

    def drop(self) -> None:
        """Close the connection; the next report request opens a new one."""
        if self.connection is not None:
            self.connection.close()
        self.connection = None
        self.incarnation = ""


class ServerLinks:
    """The connections to all servers of the zone."""

    def __init__(self) -> None:
        self._links: dict[str, _Link] = {}

    def _link(self, server: Server) -> _Link:
        link = self._links.get(server.name)
        if link is None or link.address != server.address:
            link = self._links[server.name] = _Link(server.address)
        return link

    def report(self, server: Server) -> Report | Failure:
        """Request a server's report and bind the connection to its incarnation."""
        link = self._link(server)
        with link.lock:
            if link.connection is None:
                link.connection = BoundConnection(server.address)
            report = self._request_report(link.connection, server)
            if isinstance(report, Failure):
                link.drop()
            elif link.incarnation not in ("", report.incarnation):
                link.drop()
                detail = "the server's incarnation changed on an open connection"
                return Failure(
                    FailureKind.UNKNOWN, "bad_report", "report", server.name, detail
                )
            else:
                link.incarnation = report.incarnation
                link.last_used_at = clock.monotonic_s()
            return report

    def _request_report(
        self, connection: BoundConnection, server: Server
    ) -> Report | Failure:
        response = connection.call(
            "GET", "/report", step="report", timeout_s=REPORT_TIMEOUT_S
        )
        if isinstance(response, Failure):
            return response
        if response.status != 200:
            reason = f"status_{response.status}"
            return Failure(FailureKind.UNKNOWN, reason, "report", server.name)
        return parse_report(response.body, server.name)

    def send_order(
        self, server: Server, order: Order, incarnation: str
    ) -> HttpResponse | Failure:
        """Send an order, only over a connection bound to the given incarnation.

        :return: A failure of kind ``NOT_SENT`` if there is no such connection or it has
            been idle for too long.
        """
        link = self._link(server)
        with link.lock:
            is_idle = clock.monotonic_s() - link.last_used_at > MAX_IDLE_S
            if link.incarnation != incarnation or is_idle:
                detail = "no recently used connection to this incarnation"
                return Failure(
                    FailureKind.NOT_SENT, "incarnation", "order", server.name, detail
                )
            response = link.connection.call(
                "POST",
                "/orders",
                step="order",
                body=order.model_dump_json().encode(),
                timeout_s=ORDER_TIMEOUT_S,
            )
            if isinstance(response, Failure):
                link.drop()
            return response
