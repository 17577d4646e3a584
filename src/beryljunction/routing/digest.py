"""Recognises a request that comes again under another id."""

import hashlib

__all__ = ["request_digest"]

_DIGEST_BYTES = 16


def request_digest(account: str, method: bytes, host: str, target: bytes, body: bytes) -> str:
    """Return the same text for the same request of the same client account.

    The hash is cryptographic, so that no caller can make a request that is taken for another
    account's.

    Args:
        account: Name of the client account; empty for an anonymous caller.
        method: Method of the request.
        host: Host that the caller named.
        target: Path and query.
        body: Body as the caller sent it.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in (account.encode(), method, host.lower().encode(), target):
        digest.update(b"%d:" % len(field))
        digest.update(field)
    digest.update(body)
    return digest.hexdigest()
