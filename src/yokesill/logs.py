"""Structured logs by structlog: one JSON object per line on standard output.

Lines go through a bounded buffer and non-blocking writes, so that no request ever waits for a log. If the
reader of the output is slower than the lines come, lines are dropped and counted, and a line with their
number follows once the buffer is empty.
"""

import contextlib
import json
import logging
import os
import sys
from collections import deque
from typing import Any

import structlog

Logger = structlog.typing.FilteringBoundLogger
# Limits the memory that lines for a slow reader take.
BUFFER_BYTES = 1_048_576
STANDARD_OUTPUT = 1
MAX_LIBRARY_MESSAGE = 1000


class LogOutput:
    """Writes lines to a file descriptor without blocking.

    ``dropped`` counts the lines that did not fit into the buffer or that could not be written.
    """

    def __init__(self, descriptor: int, limit_bytes: int = BUFFER_BYTES) -> None:
        self.dropped = 0
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._lines: deque[bytes] = deque()
        self._size = 0
        self._unreported = 0

    def write(self, line: str) -> None:
        """Append a line and write what can be written without blocking."""
        data = line.encode() + b"\n"
        if self._size + len(data) > self._limit_bytes:
            self.dropped += 1
            self._unreported += 1
        else:
            self._append(data)
        self.flush()

    def flush(self) -> None:
        """Write as much as possible without blocking; the rest stays in the buffer."""
        while self._lines:
            data = self._lines[0]
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good, which only the metric of dropped lines can still report.
                self.dropped += len(self._lines)
                self._lines.clear()
                self._size = 0
                return
            self._size -= written
            if written < len(data):
                self._lines[0] = data[written:]
                return
            self._lines.popleft()
            self._report_dropped()

    def _report_dropped(self) -> None:
        if self._unreported and not self._lines:
            count, self._unreported = self._unreported, 0
            self._append(json.dumps({"event": "log_lines_dropped", "count": count}).encode() + b"\n")

    def _append(self, data: bytes) -> None:
        self._lines.append(data)
        self._size += len(data)


class _LibraryLogHandler(logging.Handler):
    """Writes the lines of libraries, such as uvicorn and asyncio, to the same output as JSON.

    By default they go to standard error, and wait there for its reader.
    """

    def __init__(self, output: LogOutput) -> None:
        super().__init__(logging.WARNING)
        self._output = output

    def emit(self, record: logging.LogRecord) -> None:
        """Write one line; the innermost exception is named, without its stack."""
        line = {"event": "library_log", "library": record.name, "level": record.levelname.lower()}
        line["message"] = record.getMessage()[:MAX_LIBRARY_MESSAGE]
        if record.exc_info and record.exc_info[1] is not None:
            line["problem"] = repr(record.exc_info[1])[:MAX_LIBRARY_MESSAGE]
        self._output.write(json.dumps(line))


def _redirect_library_logs(output: LogOutput) -> None:
    logging.getLogger().addHandler(_LibraryLogHandler(output))
    # A failure to write a line must not be reported on standard error.
    logging.raiseExceptions = False


class _LineLogger:
    """The logger that structlog passes rendered lines to."""

    def __init__(self, output: LogOutput) -> None:
        self.msg = output.write
        self.debug = self.info = self.warning = self.error = self.critical = output.write


def configure(level: str = "info", output: LogOutput | None = None) -> LogOutput:
    """Write lines of at least ``level`` (a ``logging`` level name) to ``output`` or standard output."""
    if output is None:
        descriptor = sys.stdout.fileno() if sys.stdout is not None else STANDARD_OUTPUT
        with contextlib.suppress(OSError):
            os.set_blocking(descriptor, False)
        output = LogOutput(descriptor)
        _redirect_library_logs(output)
    sink = output

    def make_logger(*_arguments: Any) -> _LineLogger:
        return _LineLogger(sink)

    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=make_logger,
        cache_logger_on_first_use=False,
    )
    return sink


def get_logger(component: str) -> Logger:
    """Return a logger that adds ``component`` to its lines."""
    logger: Logger = structlog.get_logger(component=component)
    return logger
