"""Client connection pools (httpcore) for calls to other processes."""

import ssl

import httpcore

from beryljunction.httpcore_backend import UntimedReadBackend

__all__ = ["create_client_pool", "close_idle_connections"]

_MAX_CONNECTIONS = 4096
_KEEPALIVE_EXPIRY_S = 30.0


class _TlsPool(httpcore.AsyncConnectionPool):
    """A pool that uses TLS for every request, even if a URL says "http" by mistake."""

    async def handle_async_request(self, request: httpcore.Request) -> httpcore.Response:
        request.url.scheme = b"https"
        return await super().handle_async_request(request)


def create_client_pool(
    tls: ssl.SSLContext | None = None, backend: httpcore.AsyncNetworkBackend | None = None
) -> httpcore.AsyncConnectionPool:
    """Return a pool for calls to other processes; it doesn't retry, since its users do.

    With a TLS context every call uses TLS, including calls to an "http" URL.
    """
    kind = httpcore.AsyncConnectionPool if tls is None else _TlsPool
    return kind(
        ssl_context=tls,
        network_backend=backend if backend is not None else UntimedReadBackend(),
        max_connections=_MAX_CONNECTIONS,
        max_keepalive_connections=_MAX_CONNECTIONS,
        keepalive_expiry=_KEEPALIVE_EXPIRY_S,
        retries=0,
    )


async def close_idle_connections(pool: httpcore.AsyncConnectionPool, base_url: str) -> None:
    """Close a pool's idle connections to a server after one connection has stopped responding.

    A peer that lost the state of one connection has usually lost it for all open ones. A retry on
    an idle connection would get no response either, so the retry needs a new connection.
    """
    plain = httpcore.URL(base_url).origin
    secure = httpcore.Origin(b"https", plain.host, plain.port)
    for connection in tuple(pool.connections):
        is_match = connection.can_handle_request(plain) or connection.can_handle_request(secure)
        if is_match and connection.is_idle():
            await connection.aclose()
