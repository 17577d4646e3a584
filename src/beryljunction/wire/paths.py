"""HTTP paths and headers used between processes of the fleet."""

__all__ = [
    "ATTACH_PATH",
    "CANCEL_PATH",
    "CLAIM_PATH",
    "DRAIN_PATH",
    "ENVELOPE_HEADER",
    "FLEET_KEY_HEADER",
    "IDEMPOTENCY_KEY_SHARDS",
    "MOVED_PATH",
    "OUTCOME_HEADER",
    "PEERS_PATH",
    "POINTERS_PATH",
    "PREFIX_PATH",
    "REQUEST_ID_HEADER",
    "RUN_PATH",
    "STAMP_HEADER",
    "STREAM_HEADER",
    "TICKET_PATH",
    "claim_log_stream",
]

FLEET_KEY_HEADER = b"beryl-fleet-key"
ENVELOPE_HEADER = b"beryl-envelope"
OUTCOME_HEADER = b"beryl-outcome"
STAMP_HEADER = b"beryl-stamp"
STREAM_HEADER = b"beryl-stream-id"
REQUEST_ID_HEADER = b"beryl-request-id"
RUN_PATH = "/beryl/v1/run"
MOVED_PATH = "/beryl/v1/moved"
POINTERS_PATH = "/beryl/v1/pointers"
PREFIX_PATH = "/beryl/v1/prefix"
ATTACH_PATH = "/beryl/v1/attach"
CANCEL_PATH = "/beryl/v1/cancel"
CLAIM_PATH = "/beryl/v1/claim"
TICKET_PATH = "/beryl/v1/ticket"
DRAIN_PATH = "/beryl/v1/drain"
PEERS_PATH = "/beryl/v1/peers"

# All processes must use the same number. 64 log streams with five appends a second each stay within
# the log's limits, and each stream is read only by the few sidecars that are or were its home.
IDEMPOTENCY_KEY_SHARDS = 64


def claim_log_stream(shard: int) -> str:
    """Return the name of the log stream that records claims of a shard's idempotency keys."""
    return f"keys-{shard}"
