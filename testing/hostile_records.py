"""Hostile input for every decoder of what comes from outside the process.

By hand, for ten minutes: ``python testing/hostile_records.py 600 SEED`` (``make fuzz-records``).
"""

import copy
import functools
import json
import sys
import time

import attrs
import hypothesis
from hypothesis import strategies as st

from beryljunction.gateway import peers, quarantine, streamdirectory
from beryljunction.gateway.crashreports import CrashReport
from beryljunction.gateway.endpoint_watcher import EndpointWatcher
from beryljunction.gateway.events import EntryEventLog
from beryljunction.gateway.eventstream import EventSplitter
from beryljunction.gateway.gossip import Gossip
from beryljunction.gateway.load_datagrams import decode_loads, encode_loads
from beryljunction.gateway.messages import ResponseHead
from beryljunction.gateway.response_headers import apply_response_headers
from beryljunction.gateway.state import EntryState
from beryljunction.gateway.store_view import StoreView
from beryljunction.gateway.stream_datagrams import decode_streams, encode_streams
from beryljunction.gateway.streamreports import StreamReport
from beryljunction.gateway.updates import Reply, TopicUpdate, Update
from beryljunction.platform import (
    DeploymentBounds,
    HostSettings,
    InvalidRecord,
    decode_config,
    decode_endpoint,
    decode_evacuation,
    decode_report_start,
    format_address,
    parse_address,
)
from beryljunction.platform.request_headers import endpoint_headers, parse_caller_headers
from beryljunction.platform.storeformat import (
    decode_end,
    decode_page,
    decode_records,
    encode_keyed_record,
    quote_key,
)
from beryljunction.routing import KnownEndpoint, LoadSample, ReportCoverage
from endpoint_records import RECORD
from routing_fakes import endpoint

__all__ = [
    "DECODERS",
    "HOSTILE",
    "ODD_RECORDS",
    "Decoder",
    "Raw",
    "encode",
    "inputs",
    "paths",
    "replaced",
    "without",
]


@attrs.frozen
class Raw:
    """JSON that the encoder of the standard library doesn't write."""

    text: str


# Each is put in place of every field of every decoder.
HOSTILE = {
    "none": None,
    "true": True,
    "zero": 0,
    "negative": -1,
    "above_float_precision": 2**53 + 1,
    "above_63_bits": 2**63,
    "above_64_bits": 2**64,
    "2048_bits": 2**2048 - 1,
    "400_digits": -(10**400),
    "5000_digits": Raw("9" * 5_000),
    "fraction": 0.5,
    "large_float": 1e300,
    "nan": float("nan"),
    "infinity": float("inf"),
    "minus_infinity": float("-inf"),
    "overflowing_float": Raw("1e999"),
    "empty_text": "",
    "letter": "x",
    "nul": "\0",
    "lines": "a\r\nb: c",
    "lone_surrogate": "\ud800",
    "escaped_byte": "\udcff",
    "replacement": "\ufffd",
    "name_of_64": "x" * 64 + ":9",
    "name_of_255": "x" * 255,
    "name_of_256": "x" * 256,
    "name_of_70000": "x" * 70_000,
    "digits": "9" * 5_000,
    "list": [],
    "list_of_lists": [[]],
    "table": {},
    "table_in_list": [{"a": 1}],
    "long_list": [1] * 5_000,
    "deep_by_900": Raw("[" * 900 + "]" * 900),
    "deep_by_100000": Raw("[" * 100_000),
    "deep_tables": Raw('{"a":' * 900 + "1" + "}" * 900),
    "no_json": Raw("nope"),
}


def encode(value):
    """Return JSON, or what stands in its place."""
    if isinstance(value, Raw):
        return value.text
    if isinstance(value, dict):
        return (
            "{" + ",".join(f"{json.dumps(key)}:{encode(row)}" for key, row in value.items()) + "}"
        )
    if isinstance(value, list):
        return "[" + ",".join(map(encode, value)) + "]"
    return json.dumps(value)


def paths(value, prefix=()):
    """Return the place of each value in a message, the whole message first."""
    rows = [prefix]
    if isinstance(value, dict):
        rows += [row for key, inner in value.items() for row in paths(inner, (*prefix, key))]
    elif isinstance(value, list):
        rows += [row for n, inner in enumerate(value) for row in paths(inner, (*prefix, n))]
    return rows


def replaced(message, path, value):
    """Return a copy of a message with another value at a place."""
    if not path:
        return value
    result = copy.deepcopy(message)
    _container(result, path)[path[-1]] = value
    return result


def without(message, path):
    """Return a copy of a message that lacks what is at a place."""
    result = copy.deepcopy(message)
    del _container(result, path)[path[-1]]
    return result


def _container(message, path):
    return functools.reduce(lambda inner, key: inner[key], path[:-1], message)


@attrs.frozen
class Decoder:
    """A decoder, a message that it accepts, and what is done with what it returns."""

    decode: object
    message: object
    use: object = lambda value: None

    def play(self, data):
        """Decode data and use the result; return whether it was usable."""
        decoded = self.decode(data)
        if decoded is None or isinstance(decoded, InvalidRecord):
            return False
        self.use(decoded)
        return True


class _NoLines:
    dropped_lines = 0

    def write(self, text):
        text.encode(errors="replace")

    def flush(self):
        pass


def new_state():
    host = HostSettings("h", "a", "r", ("", 1), ("", 2), ("", 3), DeploymentBounds())
    state = EntryState(host, EntryEventLog("h", "a", _NoLines()))
    state.apply_config(decode_config(encode(CONFIG).encode()), b"")
    return state


def use_endpoint(record):
    """Apply a record as the watcher does, and build the headers of a request to it."""
    state = new_state()
    known = state.registry.put(record, 1.0)
    headers = endpoint_headers([], frozenset(), record.endpoint_id, 1, None, 1, record.address)
    assert all(b"\r" not in value and b"\n" not in value for _, value in headers)
    assert parse_address(format_address(record.address).decode()) == record.address
    state.queueing_endpoints()
    state.cold_endpoints()
    known.load(1.0)
    encode_loads([LoadSample(known.incarnation_id, 1, 0.0)])


def use_config(config):
    for rows in config.routes.values():
        for route in rows:
            route.service_for(0.5)
            endpoint_headers([], frozenset(), "e", route.timeout_ms, None, route.priority)
    for account in (config.accounts or {}).values():
        headers = endpoint_headers([], frozenset(), "e", 1, account.name, account.priority or 0)
        assert all(b"\r" not in value and b"\n" not in value for _, value in headers)


def use_records(answer):
    """Apply the records of an answer as an entry does, and pass them on."""
    rows = getattr(answer, "records", ())
    state = new_state()
    watcher = EndpointWatcher(None, state)
    watcher.apply_update(TopicUpdate(tuple(rows), None, 5))
    watcher.apply_update(TopicUpdate(tuple(rows), 5, 5 + len(rows)))
    for row in rows:
        state.quarantine.apply_record(row)
        state.streams.apply_record(row)
        decode_evacuation(row.key)
    Update("h", "", 0.0, 0.0, None, 0, endpoints=TopicUpdate(tuple(rows), None, 5)).encode()


def use_page(page):
    quote_key(page.last_key)
    use_records(page)


def use_crashes(report):
    state = new_state()
    CrashReport.decode(state.quarantine.apply_report(report).encode())
    state.quarantine.records()
    assert isinstance(CrashReport.decode(report.encode()), CrashReport)


def use_streams(report):
    assert isinstance(new_state().streams.apply_report(report), StreamReport)


def use_gossip(gossip):
    new_state().apply_gossip(gossip.moved, gossip.loads)
    assert Gossip.decode(gossip.encode()).host == gossip.host


def use_update(update):
    for topic in (update.endpoints, update.entries):
        if topic is not None:
            use_records(topic)
    if update.config is not None:
        decode_config(update.config)
    new_state().replace_evacuations(update.evacuations.zones, update.evacuations.position)
    assert isinstance(Update.decode(update.encode()), Update)


def use_view(view):
    use_records(TopicUpdate(view.endpoints or (), None, 1))
    if view.config is not None:
        decode_config(view.config)
    view.encode()


def use_quarantine(decoded):
    features, until_s = decoded
    quarantine._record(features, until_s)


def use_headers(headers):
    headers.host.lower().encode()
    if headers.deadline_ms is not None:
        headers.deadline_ms / 1_000
    sum(headers.prompt_tokens) / 2
    return quarantine.request_features("d", headers.prompt_parts)


def use_versions(versions):
    streamdirectory._record("s", versions)


def keyed_body(value):
    """Return the body of a read with one record of this value."""
    return (9).to_bytes(8, "big") + (8).to_bytes(8, "big") + value


def play_response(data):
    """Apply the headers of an endpoint's answer."""
    log = new_state().events
    row = KnownEndpoint(endpoint("e1"))
    names = (b"x-server-load", b"retry-after", b"server-leaving", b"x-request-id")
    head = ResponseHead(503, [(name, data) for name in names])
    apply_response_headers(row, head, log, ReportCoverage())
    row.load(1.0)
    return row


CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "host": "shop.example",
            "path-prefix": "/a/",
            "kind": "streaming",
            "timeout-ms": 6000,
            "priority": 1,
            "service": "plain",
            "traffic-split": [{"service": "plain", "weight": 90}, {"service": "s", "weight": 1}],
            "max-attempts": 2,
            "resume-streams": True,
            "allow-anonymous": False,
        }
    ],
    "services": [
        {
            "name": "plain",
            "engine": {"kv-token-bytes": 1, "link-mbps": 1},
            "cold-start-s": 3,
            "cold-per-s": 11,
        }
    ],
    "limits": {
        "max-header-bytes": 1,
        "max-body-bytes": 1,
        "header-timeout-ms": 1,
        "idle-timeout-ms": 1,
    },
    "tenants": [{"name": "acme", "api-keys": ["k"], "priority": 1}],
}
TOPIC = [3, 4, [["e", "{}"], ["f", None]]]
CRASHES = {
    "crashes": [["s", "e1", 1, 0.5, ["d", "part/p"], False]],
    "served": [["d", 0.5]],
    "services": [["s", 0.5]],
    "quarantined": [[3.0, ["d"]]],
    "suspected": [[3.0, ["part/p"]]],
    "lifted": [["x"]],
    "suspicion": ["s", ["d"]],
    "trial": ["s", ["d"]],
    "permitted": True,
}
HEADER_NAMES = (
    b"host",
    b"x-request-id",
    b"x-credential",
    b"x-deadline-ms",
    b"last-event-id",
    b"resumes",
    b"x-prompt-prefix",
)
DECODERS = {
    "endpoint": Decoder(
        lambda data: decode_endpoint("e1", data), {**RECORD, "born": 1}, use_endpoint
    ),
    "endpoint_id": Decoder(
        lambda data: decode_endpoint(data.decode(errors="replace"), encode(RECORD).encode()),
        Raw("e1"),
        use_endpoint,
    ),
    "config": Decoder(decode_config, CONFIG, use_config),
    "evacuation": Decoder(
        lambda data: decode_evacuation("evacuate/" + data.decode(errors="replace")), Raw("north")
    ),
    "page": Decoder(
        lambda data: decode_page(data, 1),
        {"items": [{"key": "e", "value": "e30=", "offset": 1}], "end": 2, "has-more": True},
        use_page,
    ),
    "records": Decoder(
        lambda data: decode_records(data, 1),
        Raw((keyed_body(encode_keyed_record("e", b"{}"))).decode("latin-1")),
        use_records,
    ),
    "record_value": Decoder(
        lambda data: decode_records(keyed_body(encode_keyed_record("e", data)), 8),
        {**RECORD, "born": 1},
        use_records,
    ),
    "end": Decoder(lambda data: decode_end(data, 1), Raw("\0" * 16)),
    "gossip": Decoder(
        Gossip.decode,
        {
            "host": "a",
            "life": "1",
            "moved": [["e1", 7, "p1"]],
            "loads": [["e1", 7, 12, 0.2]],
            "queues": [[0, 3]],
        },
        use_gossip,
    ),
    "crashes": Decoder(CrashReport.decode, CRASHES, use_crashes),
    "streams": Decoder(
        StreamReport.decode,
        {
            "begun": [["k", "s", "e1", 1, "v1", 1]],
            "only": [["s", "v1"]],
            "query": ["k", "s"],
        },
        use_streams,
    ),
    "update": Decoder(
        Update.decode,
        ["a", "1", 5.0, 0.5, 0.1, 7, [3, "north"], [3, 0.5], [4, None], False, "{}", TOPIC, TOPIC],
        use_update,
    ),
    "reply": Decoder(Reply.decode, ["1", 5.0, 7, 3, 4], lambda reply: reply.encode()),
    "view": Decoder(
        StoreView.decode,
        {
            "version": 7,
            "age_s": 0.5,
            "endpoints_age_s": 0.5,
            "evacuations": [3, "north"],
            "config": "{}",
            "offset": 3,
            "endpoints": {"e": "{}"},
        },
        use_view,
    ),
    "quarantine": Decoder(
        lambda data: quarantine._decode_record("quarantine/d", data),
        {"until": 1e9, "features": ["d", "part/p"]},
        use_quarantine,
    ),
    "versions": Decoder(streamdirectory._decode_versions, ["v1", None], use_versions),
    "report": Decoder(decode_report_start, {"born": 1}),
    "address": Decoder(
        lambda data: parse_address(data.decode("latin-1")), Raw("10.0.0.1:9"), format_address
    ),
    "loads": Decoder(
        lambda data: decode_loads(data, [KnownEndpoint(endpoint("e1"))]),
        Raw(encode_loads([LoadSample(("e1", 0), 1, 0.0)]).decode("latin-1")),
    ),
    "begun_streams": Decoder(
        lambda data: decode_streams(data, [KnownEndpoint(endpoint("e1"))]),
        Raw(encode_streams([("00" * 8, ("e1", 0))]).decode("latin-1")),
    ),
    "query": Decoder(lambda data: peers._parse_query(data.decode("latin-1")), Raw("/v1/known/1/2")),
    "query_number": Decoder(
        lambda data: peers._parse_query("/v1/known/1/" + data.decode("latin-1")), Raw("2")
    ),
    "events": Decoder(lambda data: EventSplitter().feed(b"id: " + data + b"\n\n"), Raw("1")),
    "response": Decoder(play_response, Raw("1,2,3,100")),
    **{
        f"caller {name.decode()}": Decoder(
            lambda data, name=name: parse_caller_headers(
                [(b"host", b"a")] * (name != b"host") + [(name, data)]
            ),
            Raw("p:1"),
            lambda headers: None if isinstance(headers, str) else use_headers(headers),
        )
        for name in HEADER_NAMES
    },
    "caller prompt tokens": Decoder(
        lambda data: parse_caller_headers([(b"host", b"a"), (b"x-prompt-prefix", b"p:" + data)]),
        Raw("1"),
        use_headers,
    ),
}


def as_bytes(message):
    """Return the bytes of a message; a text that is no JSON may have any byte."""
    return encode(message).encode("latin-1" if isinstance(message, Raw) else "utf-8", "replace")


# Records of another writer among those of endpoints: a hostile value in place of the whole record,
# of a field, or of a field that isn't known.
_OTHER = {**RECORD, "service": "other", "born": 1, "more": 1}
ODD_RECORDS = [
    as_bytes(replaced(_OTHER, path, value)) for path in paths(_OTHER) for value in HOSTILE.values()
]


@st.composite
def inputs(draw, decoder):
    """Draw bytes for a decoder: anything, or a message with some fields changed or cut short."""
    if draw(st.integers(0, 9)) == 0:
        return draw(st.binary(max_size=64))
    message = decoder.message
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(paths(message)))
        value = draw(st.sampled_from(list(HOSTILE.values())) | _VALUES)
        change = draw(st.sampled_from(("replace", "remove", "double")))
        if change == "remove" and path:
            message = without(message, path)
        elif change == "double" and path and isinstance(path[-1], str):
            other = f"{json.dumps(path[-1])}:{encode(draw(_VALUES))}"
            message = replaced(message, path, Raw(f"{encode(value)},{other}"))
        else:
            message = replaced(message, path, value)
    data = as_bytes(message)
    cut = draw(st.integers(0, 19))
    return data[: len(data) * cut // 19] if draw(st.integers(0, 9)) == 0 else data


_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(exclude_categories=()), max_size=300),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=3), inner),
    max_leaves=6,
)


def run_property(examples, seed=None):
    """Play examples of all decoders; raise what a decoder raises."""

    @hypothesis.settings(
        max_examples=examples,
        derandomize=seed is None,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(st.data())
    def play(data):
        name = data.draw(st.sampled_from(sorted(DECODERS)))
        DECODERS[name].play(data.draw(inputs(DECODERS[name])))

    if seed is not None:
        play = hypothesis.seed(seed)(play)
    play()


def main(run_s, seed):
    """Play examples for a time; print the seed of each round."""
    ends_s, rounds = time.monotonic() + run_s, 0
    while time.monotonic() < ends_s:
        run_property(2_000, seed + rounds)
        rounds += 1
        print(f"seed {seed + rounds - 1}: 2,000 examples without an exception", flush=True)


if __name__ == "__main__":
    main(float(sys.argv[1]), int(sys.argv[2]))
