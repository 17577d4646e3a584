"""Encoding of the message in which entries report requests that crash endpoints."""

import json
from collections.abc import Iterable
from typing import Any

import attrs

from beryljunction.gateway.message_fields import (
    decode_message,
    read_key,
    read_number,
    read_rows,
    read_start,
    read_text,
)
from beryljunction.platform import InvalidRecord
from beryljunction.platform.fields import FieldError, describe
from beryljunction.routing import Crash

__all__ = ["MAX_FEATURES", "CrashReport", "Suspicion"]

# Limit of the features of a request; no entry sends more.
MAX_FEATURES = 256
# No process runs for longer than this.
_MAX_SPAN_S = 1e10


@attrs.frozen
class Suspicion:
    """Question whether requests with some features were served lately, or may be sent now.

    Attributes:
        service: Service of the endpoints that crashed.
        features: Features that the requests at its crashes have in common, or those of the request
            that is to be sent.
    """

    service: str
    features: frozenset[str]


@attrs.frozen
class CrashReport:
    """Crashes, services and quarantines, as one entry sends them to another or answers it.

    Attributes:
        crashes: Requests that endpoints had when they crashed, each with the seconds since then.
        served: Features of requests to which an endpoint has begun an answer and lived on, each
            with the seconds since then.
        services: The same for services.
        quarantined: Features of quarantined requests, each set with the seconds that are left.
        lifted: Features whose quarantine or suspicion has proved wrong.
        suspicion: Question what the receiver has served; None for none.
        suspected: Features of requests that are sent as trials only, each set with the seconds
            that are left.
        trial: Question whether a request may be sent as a trial; None for none.
        is_permitted: Answer to that question; None without one. False beside a trial says that it
            has ended without a crash.
    """

    crashes: tuple[tuple[Crash, float], ...] = ()
    served: tuple[tuple[str, float], ...] = ()
    services: tuple[tuple[str, float], ...] = ()
    quarantined: tuple[tuple[frozenset[str], float], ...] = ()
    lifted: tuple[frozenset[str], ...] = ()
    suspicion: Suspicion | None = None
    suspected: tuple[tuple[frozenset[str], float], ...] = ()
    trial: Suspicion | None = None
    is_permitted: bool | None = None

    def encode(self) -> bytes:
        """Return it as JSON."""
        values: dict[str, Any] = {
            "crashes": [
                [
                    row.service,
                    *row.incarnation_id,
                    round(age_s, 3),
                    sorted(row.features),
                    row.is_trial,
                ]
                for row, age_s in self.crashes
            ],
            "served": [[feature, round(age_s, 3)] for feature, age_s in self.served],
            "services": [[service, round(age_s, 3)] for service, age_s in self.services],
            "quarantined": _encode_aged(self.quarantined),
            "suspected": _encode_aged(self.suspected),
            "lifted": [sorted(features) for features in self.lifted],
        }
        if self.suspicion is not None:
            values["suspicion"] = [self.suspicion.service, sorted(self.suspicion.features)]
        if self.trial is not None:
            values["trial"] = [self.trial.service, sorted(self.trial.features)]
        if self.is_permitted is not None:
            values["permitted"] = self.is_permitted
        return json.dumps(values, separators=(",", ":")).encode()

    @classmethod
    def decode(cls, data: bytes) -> "CrashReport | InvalidRecord":
        """Decode it from JSON; any data that is no message of this kind is an invalid record."""
        return decode_message(cls._parse, data, "a report of crashes")

    @classmethod
    def _parse(cls, values: Any) -> "CrashReport":
        suspicion, trial = values.get("suspicion"), values.get("trial")
        return cls(
            tuple(_crash(*row) for row in read_rows(values["crashes"], "crashes")),
            tuple(_aged(*row) for row in read_rows(values["served"], "features")),
            tuple(_aged(*row) for row in read_rows(values["services"], "services")),
            tuple(_quarantined(*row) for row in read_rows(values["quarantined"], "features")),
            tuple(_features(row) for row in read_rows(values["lifted"], "features")),
            None if suspicion is None else _suspicion(*suspicion),
            tuple(_quarantined(*row) for row in read_rows(values["suspected"], "features")),
            None if trial is None else _suspicion(*trial),
            _permission(values.get("permitted")),
        )


def _encode_aged(rows: Iterable[tuple[frozenset[str], float]]) -> list[list[Any]]:
    return [[round(left_s, 1), sorted(features)] for features, left_s in rows]


def _crash(
    service: Any, endpoint_id: Any, started_ms: Any, age_s: Any, features: Any, is_trial: Any
) -> tuple[Crash, float]:
    start = read_start(endpoint_id, started_ms)
    if not isinstance(is_trial, bool):
        raise FieldError(f"expected whether it was a trial, got {describe(is_trial)}")
    return Crash(read_key(service), start, _features(features), is_trial), _seconds(age_s)


def _aged(name: Any, age_s: Any) -> tuple[str, float]:
    return read_key(name), _seconds(age_s)


def _quarantined(left_s: Any, features: Any) -> tuple[frozenset[str], float]:
    return _features(features), _seconds(left_s)


def _suspicion(service: Any, features: Any) -> Suspicion:
    return Suspicion(read_key(service), _features(features))


def _permission(value: Any) -> bool | None:
    if value is not None and not isinstance(value, bool):
        raise FieldError(f"expected true, false or nothing, got {describe(value)}")
    return value


def _features(value: Any) -> frozenset[str]:
    features = frozenset(read_text(feature) for feature in read_rows(value, "features"))
    if not 1 <= len(features) <= MAX_FEATURES:
        raise FieldError(f"expected 1 to {MAX_FEATURES} features, got {len(features)}")
    return features


def _seconds(value: Any) -> float:
    return read_number(value, 0.0, _MAX_SPAN_S)
