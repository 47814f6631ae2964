"""Structured logs: text or JSON lines on standard error, or non-blocking on standard output."""

import os
import sys
import traceback
import typing as t

import msgspec
from loguru import logger

if t.TYPE_CHECKING:
    from loguru import Message
    from loguru import Record

LogFormat = t.Literal["text", "json"]

MAX_BUFFERED_BYTES = 256 << 10
"""Bound on the lines buffered for a slow reader; further lines are dropped."""
_PROCESS = "process"
_TEXT_FORMAT = "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[process]} {name}: {message}"


def configure_logs(process: str, level: str = "INFO", log_format: LogFormat = "text") -> None:
    """Send this process's logs to standard error.

    :param process: name shown in every line, such as the node's id.
    """
    logger.remove()
    logger.configure(extra={_PROCESS: process})
    if log_format == "json":
        logger.add(_write_json, level=level.upper(), format="{message}")
        return
    # With its option diagnose, the library writes the values of variables, keys among them.
    logger.add(sys.stderr, level=level.upper(), format=_text_format, diagnose=False)


def _text_format(record: "Record") -> str:
    """Return the format of one line: the message, then the fields bound to the logger."""
    fields = "".join(f" {name}={{extra[{name}]}}" for name in _field_names(record))
    return f"{_TEXT_FORMAT}{fields}\n{{exception}}"


def _write_json(message: "Message") -> None:
    sys.stderr.write(_json_line(message.record).decode())


def _json_line(record: "Record") -> bytes:
    line: dict[str, t.Any] = {
        "time": record["time"].isoformat(timespec="milliseconds"),
        "level": record["level"].name,
        "process": record["extra"][_PROCESS],
        "module": record["name"],
        "message": record["message"],
    }
    line.update({name: record["extra"][name] for name in _field_names(record)})
    if record["exception"] is not None:
        line["exception"] = "".join(traceback.format_exception(record["exception"].value))
    return msgspec.json.encode(line, enc_hook=str) + b"\n"


def _field_names(record: "Record") -> list[str]:
    return sorted(name for name in record["extra"] if name != _PROCESS)


class BoundedWriter:
    """Writes lines to a non-blocking descriptor.

    Lines are buffered while the reader is slow. Beyond the bound they are dropped and counted,
    and the next line is preceded by the count.
    """

    __slots__ = ("_buffered", "_buffered_bytes", "_descriptor", "_dropped_lines")

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._dropped_lines = 0

    def write(self, line: bytes) -> None:
        """Buffer a line, and write as much as the descriptor accepts without blocking."""
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._flush()
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            note = msgspec.json.encode({"message": "lines dropped", "count": self._dropped_lines})
            self._buffered.append(note + b"\n")
            self._dropped_lines = 0
        self._buffered.append(line)
        self._flush()

    def _flush(self) -> None:
        data = b"".join(self._buffered)
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone, so buffered lines are discarded; the process goes on without logs.
            written = len(data)
        rest = data[written:]
        self._buffered = [rest] if rest else []
        self._buffered_bytes = len(rest)


def configure_bounded_logs(process: str, level: str = "INFO") -> None:
    """Send this process's logs to standard output as JSON lines, without ever blocking.

    :param process: name shown in every line, such as the node's id.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    writer = BoundedWriter(descriptor)
    logger.remove()
    logger.configure(extra={_PROCESS: process})
    logger.add(
        lambda message: writer.write(_json_line(message.record)),
        level=level.upper(),
        format="{message}",
    )
