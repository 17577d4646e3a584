"""Names of HTTP headers that the platform's callers and endpoints use, and what each holds.

All names are in lower case, as the parsers hand them out.
"""

__all__ = [
    "API_KEY",
    "CALLER_MAY_NOT_SET",
    "DEADLINE_LEFT_MS",
    "ENDPOINT_ONLY",
    "EXPECTED_ENDPOINT",
    "FETCH_FROM",
    "LAST_EVENT",
    "LEAVING",
    "LOAD",
    "NOT_RUN",
    "PROMPT_PARTS",
    "REQUEST_ID",
    "RETRY_AFTER_S",
    "TENANT",
    "TOKEN_COUNTS",
    "URGENCY",
]

REQUEST_ID = b"x-request-id"
# Milliseconds that the sender will wait, counted from the sending; no point in time.
DEADLINE_LEFT_MS = b"x-deadline-ms"
API_KEY = b"x-credential"
# Name of the client account, set here from the API key.
TENANT = b"x-tenant"
# Endpoint id that must answer; any other endpoint at the address refuses with 421.
EXPECTED_ENDPOINT = b"x-expect-instance"
# IP:PORT of an endpoint to fetch cached parts of the prompt from, before the rest is read.
FETCH_FROM = b"kv-fetch"
# Prompt parts in order, "ID:TOKENS,...".
PROMPT_PARTS = b"x-prompt-prefix"
# "PROMPT,OUTPUT" tokens; the second is the most that the answer may have.
TOKEN_COUNTS = b"x-token-counts"
LAST_EVENT = b"last-event-id"
URGENCY = b"x-request-urgency"
# Set on an answer of an endpoint that did not run the request.
NOT_RUN = b"x-not-executed"
# "RUNNING,WAITING,SLOTS" of the endpoint that answers.
LOAD = b"x-server-load"
# "1" on all answers of an endpoint that leaves; its record in the store may say so later.
LEAVING = b"server-leaving"
# In seconds. From an endpoint that declines: how long it wants nothing from this host.
RETRY_AFTER_S = b"retry-after"

# What the fleet sets itself or keeps from endpoints; dropped from callers' requests.
CALLER_MAY_NOT_SET = frozenset(
    (
        DEADLINE_LEFT_MS,
        API_KEY,
        TENANT,
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

# What an endpoint tells its router; callers don't get it.
ENDPOINT_ONLY = frozenset((LOAD, LEAVING, b"x-instance-id"))
