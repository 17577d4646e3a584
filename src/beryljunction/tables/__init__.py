"""Entities: attrs rows in tables. Systems decide over them; tables only keep them."""

from beryljunction.tables.accounts import AccountQueue, AccountTable
from beryljunction.tables.chats import ChatPointer, ChatTable
from beryljunction.tables.endpoints import Endpoint, EndpointState, EndpointTable
from beryljunction.tables.peers import LoadRow, PeerLoad, PeerTable
from beryljunction.tables.requests import RequestTable, Work, WorkState

__all__ = [
    "AccountQueue",
    "AccountTable",
    "ChatPointer",
    "ChatTable",
    "Endpoint",
    "EndpointState",
    "EndpointTable",
    "LoadRow",
    "PeerLoad",
    "PeerTable",
    "RequestTable",
    "Work",
    "WorkState",
]
