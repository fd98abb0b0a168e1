"""Log lines as JSON. The process logs changes of its state and errors."""

from __future__ import annotations

import datetime
import json
import logging as standard_logging
import sys
from typing import TextIO

from absl import logging

_FIELDS = "burdockspan_fields"


class JsonFormatter(standard_logging.Formatter):
    """Formats a record as one line of JSON."""

    def format(self, record: standard_logging.LogRecord) -> str:
        """Returns the line, without a line break."""
        moment = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
        line = {
            "time": moment.isoformat(timespec="milliseconds"),
            "severity": record.levelname.lower(),
            "message": record.getMessage(),
            **getattr(record, _FIELDS, {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str)


def configure_logs(stream: TextIO | None = None) -> None:
    """Writes absl and standard log records to a stream as JSON lines."""
    handler = standard_logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter())
    root = standard_logging.getLogger()
    for old in list(root.handlers):
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(standard_logging.INFO)
    # Without propagation, absl would install a handler of its own.
    absl_logger = logging.get_absl_logger()
    absl_logger.handlers.clear()
    absl_logger.propagate = True
    # waitress logs each disconnect of a caller; metrics count these already.
    standard_logging.getLogger("waitress").setLevel(standard_logging.ERROR)


def log_change(message: str, **fields: object) -> None:
    """Writes one line about a change of state."""
    logging.get_absl_logger().info(message, extra={_FIELDS: fields})


def log_fault(message: str, **fields: object) -> None:
    """Writes one line about an error, with the current exception if any."""
    logging.get_absl_logger().error(
        message,
        extra={_FIELDS: fields},
        exc_info=sys.exc_info()[0] is not None,
    )


__all__ = ["JsonFormatter", "configure_logs", "log_change", "log_fault"]
