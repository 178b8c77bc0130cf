"""Tests of the log format and level."""

import io
import json

import pytest
import structlog

from fescuestile_daemon import logs
from fescuestile_daemon import settings


@pytest.fixture(autouse=True)
def reset_logs():
    yield
    structlog.reset_defaults()


def test_json_lines_carry_daemon_and_request_id():
    stream = io.StringIO()
    logs.configure_logs(settings.LoggingOptions(), "a", stream)
    log = structlog.get_logger()
    token = logs.REQUEST_ID.set("r-1")
    log.info("routed", endpoint="e")
    logs.REQUEST_ID.reset(token)
    log.info("idle")
    log.debug("hidden")
    first, second = map(json.loads, stream.getvalue().splitlines())
    assert first["request_id"] == "r-1"
    assert (first["daemon"], first["level"]) == ("a", "info")
    assert "request_id" not in second


def test_console_format_and_level():
    stream = io.StringIO()
    options = settings.LoggingOptions(format="console", level="error")
    logs.configure_logs(options, stream=stream)
    structlog.get_logger().warning("hidden")
    structlog.get_logger().error("shown", step="route")
    assert "step=route" in stream.getvalue()
    assert "hidden" not in stream.getvalue()
