"""Names of the HTTP headers that the platform's callers and endpoints use.

All names are in lower case, as the HTTP parsers return them.
"""

__all__ = [
    "API_KEY",
    "CLIENT_ACCOUNT",
    "EXPECTED_ENDPOINT",
    "FETCH_FROM",
    "LAST_EVENT_ID",
    "LEAVING",
    "LOAD",
    "NOT_EXECUTED",
    "PROMPT_PARTS",
    "REMAINING_DEADLINE_MS",
    "REQUEST_ID",
    "RESUMED_REQUEST_ID",
    "RETRY_AFTER_S",
    "STRIPPED_FROM_REQUESTS",
    "STRIPPED_FROM_RESPONSES",
    "TOKEN_COUNTS",
    "URGENCY",
]

REQUEST_ID = b"x-request-id"
# Milliseconds that the sender will wait, counted from when it sent the request; not a timestamp.
REMAINING_DEADLINE_MS = b"x-deadline-ms"
API_KEY = b"x-credential"
# Name of the client account, which the entry sets from the API key.
CLIENT_ACCOUNT = b"x-tenant"
# Id of the endpoint that must respond; another endpoint at the same address responds with 421.
EXPECTED_ENDPOINT = b"x-expect-instance"
# IP:PORT of an endpoint from which to fetch the cached part of the prompt before prefill.
FETCH_FROM = b"kv-fetch"
# Prompt parts in order, "ID:TOKENS,...".
PROMPT_PARTS = b"x-prompt-prefix"
# "PROMPT,OUTPUT" token counts; OUTPUT is the maximum for the response.
TOKEN_COUNTS = b"x-token-counts"
LAST_EVENT_ID = b"last-event-id"
# Request id of the attempt in which the caller received the first event of the stream it resumes.
RESUMED_REQUEST_ID = b"resumes"
URGENCY = b"x-request-urgency"
# Set on the response of an endpoint that did not run the request.
NOT_EXECUTED = b"x-not-executed"
# "RUNNING,WAITING,SLOTS" of the endpoint that responds.
LOAD = b"x-server-load"
# "1" on every response of an endpoint that is draining; its record in the store may change later.
LEAVING = b"server-leaving"
# In seconds. From an endpoint that rejects a request: how long this host should send it nothing.
RETRY_AFTER_S = b"retry-after"

# Removed from callers' requests: the entry sets these itself or withholds them from endpoints.
STRIPPED_FROM_REQUESTS = frozenset(
    (
        REMAINING_DEADLINE_MS,
        API_KEY,
        CLIENT_ACCOUNT,
        EXPECTED_ENDPOINT,
        URGENCY,
        b"x-expect-version",
        b"x-hold",
        b"x-pin-ms",
        b"x-kv-backup",
        b"kv-from",
        FETCH_FROM,
    )
)

# Removed from endpoints' responses: information for the entry only.
STRIPPED_FROM_RESPONSES = frozenset((LOAD, LEAVING, b"x-instance-id"))
