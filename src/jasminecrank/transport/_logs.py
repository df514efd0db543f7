"""Structured logging as JSON lines."""

from collections.abc import Mapping
import itertools
import json
import logging as std_logging
import os
import sys
import time

from absl import flags
from absl import logging

from jasminecrank import state

_FIELDS_ATTRIBUTE = "jasminecrank_fields"


class JsonLinesFormatter(std_logging.Formatter):
    """Formats each log record as one JSON object.

    Each line carries a process ID and a sequence number that starts at 1, so
    that log consumers can detect missing and duplicate lines.
    """

    def __init__(self, host: str, data_centre: str) -> None:
        super().__init__()
        self._host = host
        self._data_centre = data_centre
        self._process_id = f"{os.getpid():x}-{time.time_ns():x}"
        self._sequence = itertools.count(1)

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the JSON line of a record."""
        milliseconds = int(record.created * 1000)
        utc_time = time.gmtime(milliseconds // 1000)
        line: dict[str, object] = {
            "time": time.strftime("%Y-%m-%dT%H:%M:%S", utc_time)
            + f".{milliseconds % 1000:03d}Z",
            "level": record.levelname.lower(),
            "host": self._host,
            "data_centre": self._data_centre,
            "process": self._process_id,
            "sequence": next(self._sequence),
        }
        fields = getattr(record, _FIELDS_ATTRIBUTE, None)
        if fields is None:
            line["event"] = "log"
            line["message"] = record.getMessage()
        else:
            line["event"] = record.getMessage()
            line.update(fields)
        return json.dumps(line)


def install_json_logging(host: str, data_centre: str) -> None:
    """Send all log records of the process to stderr as JSON lines."""
    # absl logs a plain-text warning until its flags are parsed.
    flags.FLAGS(sys.argv[:1])
    logging.use_absl_handler()
    handler = logging.get_absl_handler()
    handler.setFormatter(JsonLinesFormatter(host, data_centre))
    handler.python_handler.stream = sys.stderr
    logging.set_verbosity(logging.INFO)
    std_logging.getLogger("urllib3").setLevel(std_logging.ERROR)
    std_logging.getLogger("websockets").setLevel(std_logging.ERROR)
    std_logging.getLogger("pykka").setLevel(std_logging.ERROR)


def log_fields(event: str, fields: Mapping[str, object]) -> None:
    """Log an event with its fields."""
    # Building the record directly skips the stack walk for the caller's
    # file and line, which the JSON lines don't contain.
    record = std_logging.LogRecord(
        "absl", std_logging.INFO, "", 0, event, None, None
    )
    setattr(record, _FIELDS_ATTRIBUTE, dict(fields))
    logging.get_absl_logger().handle(record)


def log_event(event: state.Event) -> None:
    """Log an event that the event ring buffer has recorded."""
    stamp = event.stamp
    log_fields(
        event.name,
        {"stamp": [stamp.wall_ms, stamp.counter], **event.fields},
    )
