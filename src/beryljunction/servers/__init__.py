"""HTTP servers (uvicorn) and client connection pools (httpcore) shared by all processes."""

from beryljunction.servers.asgi import (
    Asgi,
    Receive,
    Scope,
    Send,
    read_body,
    respond,
    wait_disconnect,
)
from beryljunction.servers.listeners import Server, bind
from beryljunction.servers.pools import client_pool, drop_idle

__all__ = [
    "Asgi",
    "Receive",
    "Scope",
    "Send",
    "Server",
    "bind",
    "client_pool",
    "drop_idle",
    "read_body",
    "respond",
    "wait_disconnect",
]
