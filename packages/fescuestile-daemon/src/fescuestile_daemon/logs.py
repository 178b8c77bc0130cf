"""Logging of a daemon: structlog to standard error, as JSON or text.

The id of the current request is in a context variable. Setting it costs a
statement well under a microsecond; it is read only when a line is written.
"""

import contextvars
import logging
import sys
import typing

import structlog

from fescuestile_daemon import settings

REQUEST_ID: contextvars.ContextVar[str] = contextvars.ContextVar(
    "request_id", default=""
)


def configure_logs(
    options: settings.LoggingOptions,
    daemon: str = "",
    stream: typing.TextIO | None = None,
) -> None:
    """Set up logging for the process.

    :param options: format and minimum level
    :param daemon: daemon name added to each line
    :param stream: destination, standard error by default
    """
    renderer: structlog.typing.Processor = structlog.dev.ConsoleRenderer(
        colors=False
    )
    if options.format == "json":
        renderer = structlog.processors.JSONRenderer()

    def add_context(
        logger: object,
        method: str,
        event: structlog.typing.EventDict,
    ) -> structlog.typing.EventDict:
        if daemon:
            event.setdefault("daemon", daemon)
        request_id = REQUEST_ID.get()
        if request_id:
            event.setdefault("request_id", request_id)
        return event

    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            add_context,
            structlog.processors.format_exc_info,
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[options.level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(stream or sys.stderr),
        cache_logger_on_first_use=False,
    )
