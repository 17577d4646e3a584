"""Transfer of chat pointers from a leaving sidecar to the sidecars that get these chats next.

A chat pointer tells which endpoint holds the cached prefix of a chat.
"""

import anyio
import httpcore

from beryljunction.systems import ChatDirectory, EndpointSelector, PlacementQuery, successor_of
from beryljunction.tables import Endpoint, EndpointTable
from beryljunction.wire import FLEET_KEY_HEADER, POINTERS_PATH, ChatMoved, PointerList, encode

__all__ = ["send_pointers", "pointers_by_successor"]

# At the target fleet size a sidecar holds some 12,600 pointers. The newest are sent, since a chat
# that has been idle for long is the least likely to return. 4,096 rows are some 300 KB per stop.
_MAX_POINTERS = 4096
_BATCH_ROWS = 512
_SEND_TIMEOUT_S = 3.0


def pointers_by_successor(
    pointers: ChatDirectory, members: EndpointTable, service: str, now_s: float
) -> list[tuple[Endpoint, list[ChatMoved]]]:
    """Return the next endpoint of each chat of a leaving endpoint, with the pointers to send it.

    All these chats go to their next endpoint within minutes. Without a pointer it would start a
    chat cold that is cached at a third endpoint. Pointers to the leaving endpoint itself are left
    out, since its cache is lost.
    """
    own = members.get(pointers.endpoint_id)
    placement = EndpointSelector(members, region=own.region if own is not None else "")
    by_successor: dict[str, tuple[Endpoint, list[ChatMoved]]] = {}
    for row in pointers.newest_pointers(_MAX_POINTERS):
        if row.endpoint_id == pointers.endpoint_id or members.get(row.endpoint_id) is None:
            continue
        query = PlacementQuery(service, row.chat_key)
        successor = successor_of(placement, query, pointers.endpoint_id, now_s)
        if successor is not None:
            moved = ChatMoved(row.chat_key, row.endpoint_id, row.tokens)
            by_successor.setdefault(successor.endpoint_id, (successor, []))[1].append(moved)
    return list(by_successor.values())


async def send_pointers(
    pool: httpcore.AsyncConnectionPool,
    fleet_key: bytes,
    by_successor: list[tuple[Endpoint, list[ChatMoved]]],
) -> None:
    """Send each endpoint its pointers.

    If one does not answer, its chats may start with a cold cache, but the stop continues.
    """
    for successor, rows in by_successor:
        for start in range(0, len(rows), _BATCH_ROWS):
            batch = PointerList(tuple(rows[start : start + _BATCH_ROWS]))
            with anyio.move_on_after(_SEND_TIMEOUT_S):
                try:
                    await pool.request(
                        "POST",
                        f"http://{successor.address}{POINTERS_PATH}",
                        headers=[(FLEET_KEY_HEADER, fleet_key)],
                        content=encode(batch),
                    )
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    break
