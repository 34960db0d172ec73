"""Structured logs: one line of key=value pairs per event, on standard error."""

import sys

import logbook

_logger = logbook.Logger("sequoiapoint")


def _quote(value: object) -> str:
    """Quote a value that is empty or contains a delimiter of the line format."""
    text = str(value)
    if not text or any(c in text for c in ' ="\n'):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text


def format_record(record: logbook.LogRecord, _handler: object = None) -> str:
    """Format a record as a log line."""
    fields = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "event": record.message,
        **record.kwargs.get("fields", {}),
    }
    return " ".join(f"{key}={_quote(value)}" for key, value in fields.items())


def set_up(level: str, **common: object) -> None:
    """Log events of a level and above to standard error.

    :param level: debug, info, warning or error.
    :param common: Fields added to every line.
    """
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())

    def format_line(record: logbook.LogRecord, handler: logbook.Handler) -> str:
        suffix = " ".join(f"{key}={_quote(value)}" for key, value in common.items())
        line = format_record(record, handler)
        return f"{line} {suffix}" if suffix else line

    handler.formatter = format_line
    logbook.set_datetime_format("utc")
    handler.push_application()


def event(name: str, level: str = "info", **fields: object) -> None:
    """Log one event.

    :param name: A short name from a fixed set.
    :param level: debug, info, warning or error.
    :param fields: The details of the event, such as the request id, step and peer.
    """
    _logger.log(level.upper(), name, fields=fields)
