"""A record of an endpoint with all fields that the page lists."""

import json

__all__ = ["RECORD", "record"]

RECORD = {
    "service": "plain",
    "address": "10.9.0.1:7",
    "zone": "a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold-remaining-ms": 0,
    "sequence-number": 1,
}


def record(**fields):
    """Return what an endpoint writes, with some fields replaced."""
    return json.dumps({**RECORD, **fields}).encode()
