"""Client pools (httpcore) for calls to other processes."""

import ssl

import httpcore

from beryljunction.connections import StreamBackend

__all__ = ["client_pool", "drop_idle"]

_MAX_CONNECTIONS = 4096
_KEEPALIVE_S = 30.0


class _TlsPool(httpcore.AsyncConnectionPool):
    """A pool that speaks only TLS, so that no call can leave out the scheme by oversight."""

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        request.url.scheme = b"https"
        return await super().handle_async_request(request)


def client_pool(
    tls: ssl.SSLContext | None = None, backend: httpcore.AsyncNetworkBackend | None = None
) -> httpcore.AsyncConnectionPool:
    """Return a pool for calls to other processes; retries are decided by our systems, not by it.

    With a TLS context every call is TLS, also those to an "http" URL.
    """
    kind = httpcore.AsyncConnectionPool if tls is None else _TlsPool
    return kind(
        ssl_context=tls,
        network_backend=backend if backend is not None else StreamBackend(),
        max_connections=_MAX_CONNECTIONS,
        max_keepalive_connections=_MAX_CONNECTIONS,
        keepalive_expiry=_KEEPALIVE_S,
        retries=0,
    )


async def drop_idle(pool: httpcore.AsyncConnectionPool, base_url: str) -> None:
    """Close a pool's idle connections to a server that has gone silent on one.

    What lost track of that connection has mostly lost track of all that were open. An idle one that
    is used again would be silent too, so the next try would not be on a new connection at all.
    """
    plain = httpcore.URL(base_url).origin
    secure = httpcore.Origin(b"https", plain.host, plain.port)
    for connection in tuple(pool.connections):
        is_there = connection.can_handle_request(plain) or connection.can_handle_request(secure)
        if is_there and connection.is_idle():
            await connection.aclose()
