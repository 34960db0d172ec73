"""A minimal HTTP/1.1 codec on asyncio streams, for the stand-ins."""

import asyncio
from dataclasses import dataclass, field

REASONS = {200: "OK", 410: "Gone", 421: "Misdirected Request", 503: "Unavailable"}


@dataclass
class Message:
    """A request or a response.

    :param start: The three parts of the first line.
    :param is_complete: Whether the body was received to its declared end.
    """

    start: list[str]
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    is_complete: bool = True

    def header(self, name: str) -> str:
        """Return a header's first value, "" if it is absent."""
        return next((v for n, v in self.headers if n == name), "")


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; return None if the connection has ended."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers.append((name.lower(), value.strip()))
    return Message(lines[0].split(" ", 2), headers)


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a request with its body; return None if the connection has ended."""
    message = await read_head(reader)
    if message is None:
        return None
    length = int(message.header("content-length") or 0)
    try:
        message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return message


async def read_response(reader: asyncio.StreamReader) -> Message | None:
    """Read a response with its body; return None if there is no head."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if message.header("transfer-encoding") == "chunked":
            while True:
                size = int(await reader.readuntil(b"\r\n"), 16)
                message.body += (await reader.readexactly(size + 2))[:size]
                if not size:
                    break
        else:
            length = int(message.header("content-length") or 0)
            message.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.is_complete = False
    return message


def encode_response(
    status: int, headers: dict[str, object], body: bytes | None = b""
) -> bytes:
    """Encode a response.

    :param body: The body; None if it follows separately.
    """
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Unknown')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + (body or b"")


async def call(
    address: str, method: str, target: str, headers: dict[str, object], body: bytes
) -> Message | None:
    """Send a request over a new connection and return the response."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
        writer.write(head + body)
        return await read_response(reader)
    finally:
        writer.close()
