"""Logs: one line of key=value pairs for each event, on standard error."""

import json
import logging
import sys
from typing import Any

from pythonjsonlogger.json import JsonFormatter

__all__ = ["configure_logs"]

_SAFE = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/+-")


def _key_value(fields: dict[str, Any], *_: Any, **__: Any) -> str:
    """Serialize for python-json-logger's hook; values with other characters are JSON strings."""
    return " ".join(f"{key}={_value(value)}" for key, value in fields.items())


def _value(value: Any) -> str:
    text = str(value)
    return text if text and _SAFE.issuperset(text) else json.dumps(text)


def configure_logs(level: str = "INFO") -> None:
    """Send the logs of this process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "message": "event"},
            json_serializer=_key_value,
        )
    )
    logging.basicConfig(level=level, handlers=[handler], force=True)
