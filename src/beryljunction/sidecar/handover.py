"""Chat pointers that a leaving sidecar gives to those that are asked next."""

import anyio
import httpcore

from beryljunction.systems import PlacementQuery, PlacementSystem, PointerSystem, successor_of
from beryljunction.tables import Endpoint, EndpointTable
from beryljunction.wire import FLEET_KEY_HEADER, POINTERS_PATH, ChatMoved, PointerList, encode

__all__ = ["hand_pointers_over", "heirs_of"]

# The newest pointers first: at the target a sidecar holds some 12,600, and a chat that has not come
# back for long is the least likely to come back now. 4,096 rows are some 300 KB, once in a stop.
_MOST_POINTERS = 4096
_BATCH_ROWS = 512
_SEND_S = 3.0


def heirs_of(
    pointers: PointerSystem, members: EndpointTable, service: str, now_s: float
) -> list[tuple[Endpoint, list[ChatMoved]]]:
    """Return which endpoint is asked next for each chat, and the pointers that it should have.

    Load: all chats whose home leaves come back to their next home, within minutes. Harm: those
    that lie elsewhere would be started cold there. Pointers to the leaving endpoint itself are
    left out, its cache goes with it.
    """
    own = members.get(pointers.endpoint_id)
    placement = PlacementSystem(members, region=own.region if own is not None else "")
    heirs: dict[str, tuple[Endpoint, list[ChatMoved]]] = {}
    for row in pointers.hand_over(_MOST_POINTERS):
        if row.endpoint_id == pointers.endpoint_id or members.get(row.endpoint_id) is None:
            continue
        query = PlacementQuery(service, row.chat_key)
        heir = successor_of(placement, query, pointers.endpoint_id, now_s)
        if heir is not None:
            moved = ChatMoved(row.chat_key, row.endpoint_id, row.tokens)
            heirs.setdefault(heir.endpoint_id, (heir, []))[1].append(moved)
    return list(heirs.values())


async def hand_pointers_over(
    pool: httpcore.AsyncConnectionPool,
    fleet_key: bytes,
    heirs: list[tuple[Endpoint, list[ChatMoved]]],
) -> None:
    """Send each heir its pointers; one that does not answer costs warm caches, not the stop."""
    for heir, rows in heirs:
        for start in range(0, len(rows), _BATCH_ROWS):
            batch = PointerList(tuple(rows[start : start + _BATCH_ROWS]))
            with anyio.move_on_after(_SEND_S):
                try:
                    await pool.request(
                        "POST",
                        f"http://{heir.address}{POINTERS_PATH}",
                        headers=[(FLEET_KEY_HEADER, fleet_key)],
                        content=encode(batch),
                    )
                except (httpcore.NetworkError, httpcore.ProtocolError):
                    break
