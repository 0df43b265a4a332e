"""Configures logging: one JSON object per line on standard error."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"


def configure(host: str, level: str = "info") -> None:
    """Send all log records to standard error as JSON lines.

    Args:
        host: The name of the process, which is added to each line.
        level: The lowest level that is logged, such as ``info``.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            FIELDS,
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"host": host},
        )
    )
    logging.basicConfig(handlers=[handler], level=level.upper(), force=True)
