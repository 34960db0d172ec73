"""Reads request bodies within limits on size and time."""

from typing import Any

from sequoiapoint.protocol.outcomes import ErrorResponse, Reason
from sequoiapoint.transport.http_server import CONNECTION_KEY
from sequoiapoint.transport.read_deadlines import ReadDeadlines

CHUNK_BYTES = 65_536


class BodyReader:
    """Reads request bodies.

    :param max_bytes: The largest body that is accepted.
    :param timeout_s: The time allowed for reading a complete body, in seconds.
    """

    def __init__(self, max_bytes: int, timeout_s: float) -> None:
        self._max_bytes = max_bytes
        self._timeout_s = timeout_s
        self._read_deadlines = ReadDeadlines()

    def read(self, environ: dict[str, Any]) -> bytes | ErrorResponse:
        """Read the complete body.

        :return: The body, or the error response if it is not accepted.
        """
        content_length = environ.get("CONTENT_LENGTH") or ""
        length = int(content_length) if content_length.isdigit() else None
        if length is not None and length > self._max_bytes:
            return self._too_large_error()
        if length is None and "HTTP_TRANSFER_ENCODING" not in environ:
            return b""
        guard = self._read_deadlines.guard(environ[CONNECTION_KEY], self._timeout_s)
        with guard:
            body = self._read_all(environ["wsgi.input"])
        if guard.is_expired:
            detail = f"not complete after {self._timeout_s} s"
            return ErrorResponse(Reason.BODY_TOO_SLOW, detail, retry_after_s=1.0)
        if isinstance(body, ErrorResponse):
            return body
        if length is not None and len(body) < length:
            detail = f"{len(body)} of {length} bytes came"
            return ErrorResponse(Reason.BODY_INCOMPLETE, detail)
        return body

    def _read_all(self, stream: Any) -> bytes | ErrorResponse:
        parts: list[bytes] = []
        size = 0
        try:
            while part := stream.read(CHUNK_BYTES):
                parts.append(part)
                size += len(part)
                if size > self._max_bytes:
                    return self._too_large_error()
        except (OSError, ValueError) as error:
            return ErrorResponse(Reason.BODY_INCOMPLETE, str(error))
        return b"".join(parts)

    def _too_large_error(self) -> ErrorResponse:
        return ErrorResponse(
            Reason.BODY_TOO_LARGE, f"more than {self._max_bytes} bytes"
        )
