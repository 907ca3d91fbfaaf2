"""Structured logs: one JSON object a line on standard error, by structlog."""

import logging
import sys

import structlog

Logger = structlog.typing.FilteringBoundLogger


def configure(level: str = "info") -> None:
    """Send JSON lines of at least ``level`` (a ``logging`` level name) to standard error."""
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.getLevelNamesMapping()[level.upper()]),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=False,
    )


def get_logger(component: str) -> Logger:
    """Return a logger whose lines name ``component``."""
    logger: Logger = structlog.get_logger(component=component)
    return logger
