"""Digests by which requests and streams are recognised at any entry."""

import hashlib

__all__ = ["request_digest", "stream_key"]

_DIGEST_BYTES = 16
_KEY_BYTES = 8


def request_digest(account: str, method: bytes, host: str, target: bytes, body: bytes) -> str:
    """Return a digest that is the same for equal requests of one client account.

    The hash is cryptographic, so that no caller can craft a request with the digest of another
    account's request.

    Args:
        account: Name of the client account; empty for an anonymous caller.
        method: Method of the request.
        host: Host that the request names.
        target: Path and query.
        body: Body as the caller sent it.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (account.encode(), method, host.lower().encode(), target):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(body)
    return digest.hexdigest()


def stream_key(account: str, request_id: str) -> str:
    """Return the key of the stream that a request of a client account began; empty for no id."""
    if not request_id:
        return ""
    digest = hashlib.blake2b(digest_size=_KEY_BYTES)
    digest.update(b"%d:" % len(account.encode()))
    digest.update(account.encode())
    digest.update(request_id.encode())
    return digest.hexdigest()
