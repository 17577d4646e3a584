"""In-memory tables of attrs rows; ``beryljunction.systems`` contains the decisions on them."""

from beryljunction.tables.accounts import AccountQueue, AccountTable
from beryljunction.tables.chats import ChatPointer, ChatTable
from beryljunction.tables.endpoints import Endpoint, EndpointState, EndpointTable
from beryljunction.tables.peers import PeerLoad, PeerTable
from beryljunction.tables.prefixes import Prefix, PrefixTable
from beryljunction.tables.requests import RequestTable, SidecarRequest, SidecarRequestState
from beryljunction.tables.tickets import (
    Answer,
    Stamp,
    Ticket,
    TicketRow,
    TicketState,
    TicketTable,
)

__all__ = [
    "AccountQueue",
    "AccountTable",
    "Answer",
    "ChatPointer",
    "ChatTable",
    "Endpoint",
    "EndpointState",
    "EndpointTable",
    "PeerLoad",
    "PeerTable",
    "Prefix",
    "PrefixTable",
    "RequestTable",
    "SidecarRequest",
    "SidecarRequestState",
    "Stamp",
    "Ticket",
    "TicketRow",
    "TicketState",
    "TicketTable",
]
