"""Structured logs: one line of key=value pairs an event, on standard error."""

import sys

import logbook

_logger = logbook.Logger("sequoiapoint")


def _value(value: object) -> str:
    """Quote a value where it would break the line into wrong pairs."""
    text = str(value)
    if not text or any(c in text for c in ' ="\n'):
        escaped = text.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")
        return f'"{escaped}"'
    return text


def format_record(record: logbook.LogRecord, _handler: object = None) -> str:
    """Return the line of a record."""
    fields = {
        "time": record.time.isoformat(timespec="milliseconds"),
        "level": record.level_name.lower(),
        "event": record.message,
        **record.kwargs.get("fields", {}),
    }
    return " ".join(f"{key}={_value(value)}" for key, value in fields.items())


def set_up(level: str, **common: object) -> None:
    """Send events of a level and above to standard error.

    :param level: debug, info, warning or error.
    :param common: Fields that every line carries.
    """
    handler = logbook.StreamHandler(sys.stderr, level=level.upper())

    def format_line(record: logbook.LogRecord, handler: logbook.Handler) -> str:
        head = " ".join(f"{key}={_value(value)}" for key, value in common.items())
        line = format_record(record, handler)
        return f"{line} {head}" if head else line

    handler.formatter = format_line
    logbook.set_datetime_format("utc")
    handler.push_application()


def event(name: str, level: str = "info", **fields: object) -> None:
    """Log one event.

    :param name: A short name from a fixed set.
    :param level: debug, info, warning or error.
    :param fields: What belongs to the event, such as the request id, step and peer.
    """
    _logger.log(level.upper(), name, fields=fields)
