"""HTTP servers (uvicorn) and client connection pools (httpcore) shared by all processes."""

from beryljunction.servers.asgi import (
    Asgi,
    Receive,
    Scope,
    Send,
    cancel_on_disconnect,
    read_body,
    send_response,
)
from beryljunction.servers.listeners import Server, bind_listener
from beryljunction.servers.pools import close_idle_connections, create_client_pool

__all__ = [
    "Asgi",
    "Receive",
    "Scope",
    "Send",
    "Server",
    "bind_listener",
    "create_client_pool",
    "close_idle_connections",
    "read_body",
    "send_response",
    "cancel_on_disconnect",
]
