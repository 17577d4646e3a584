"""Encoding of tickets as text, signed and verified with the fleet's key."""

import base64
import hashlib
import hmac
import json
import secrets
from collections.abc import Callable

import attrs

from beryljunction.tables import Stamp, Ticket

__all__ = ["TicketMint", "body_digest"]

_DIGEST_BYTES = 16
_SERIAL_BYTES = 12


def body_digest(*parts: bytes) -> str:
    """Return the digest that binds a ticket or key to one request (method, path, body)."""
    digest = hashlib.sha256()
    for part in parts:
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return digest.hexdigest()[: 2 * _DIGEST_BYTES]


class TicketMint:
    """Signs and verifies tickets with the fleet's key.

    Without the HMAC-SHA256 code a caller could forge a ticket with another account or a later time
    and use it to run a request twice.
    """

    def __init__(self, fleet_key: bytes, new_serial: Callable[[], str] | None = None) -> None:
        self._key = hashlib.sha256(b"ticket\0" + fleet_key).digest()
        self._new_serial = new_serial or (lambda: secrets.token_hex(_SERIAL_BYTES))

    def mint(self, stamp: Stamp, account: str, digest: str = "") -> str:
        """Return a new ticket for the sidecar that issued the stamp."""
        fields = [*attrs.astuple(stamp), self._new_serial(), account, digest]
        payload = json.dumps(fields, separators=(",", ":")).encode()
        return f"{_to_text(payload)}.{_to_text(self._mac(payload))}"

    def read(self, text: str) -> Ticket | None:
        """Return the decoded ticket, or None if the text is not one."""
        head, _, code = text.partition(".")
        try:
            payload = base64.urlsafe_b64decode(_padded(head))
            given = base64.urlsafe_b64decode(_padded(code))
            endpoint_id, incarnation, issued_ms, serial, account, digest = json.loads(payload)
            stamp = Stamp(str(endpoint_id), str(incarnation), int(issued_ms))
        except (ValueError, TypeError):
            return None
        genuine = hmac.compare_digest(given, self._mac(payload))
        return Ticket(stamp, str(serial), str(account), str(digest), genuine)

    def _mac(self, payload: bytes) -> bytes:
        return hmac.digest(self._key, payload, "sha256")[:_DIGEST_BYTES]


def _to_text(data: bytes) -> str:
    return base64.urlsafe_b64encode(data).rstrip(b"=").decode()


def _padded(text: str) -> bytes:
    return text.encode("ascii") + b"=" * (-len(text) % 4)
