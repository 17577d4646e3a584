"""Finds out which requests crash endpoints, and quarantines them."""

import collections
import math
from collections.abc import Collection, Iterable
from typing import Any

import attrs

__all__ = ["Cause", "CountedCrash", "Crash", "CrashTable", "PART_PREFIX", "SUSPICION_S", "is_part"]

# Prefix of the feature that stands for a part of a prompt. Other features are digests of requests.
PART_PREFIX = "part:"
# Number of crashes with a feature at which requests that have it are quarantined.
_QUARANTINE_CRASHES = 3
# Number of trials whose crashes are taken for proof; a single one may be a coincidence where
# endpoints go on ending for a reason of their own.
_PROOF_TRIALS = 2
_QUARANTINE_S = 3_600.0
# A part is shared with other requests, so its quarantine ends sooner, should it be wrong.
_PART_QUARANTINE_S = 600.0
# Endpoints that end this close together have most likely ended for one reason outside of their
# requests, such as a lost rack; for parts, which many requests share, they count as one crash.
_TOGETHER_S = 0.05
# Trials decide a suspicion; one for which no request comes ends by itself after this time.
SUSPICION_S = 60.0
_MAX_SUSPECTED = 64
_MAX_CRASHES = 128
_MAX_REQUESTS = 256
# Features of all requests of all crashes, at about 150 bytes each.
_MAX_CRASH_FEATURES = 16_000
_MAX_QUARANTINED = 4_096
# A request served this recently is not blamed for crashes, even if several endpoints end at once.
_SERVED_TTL_S = 10.0
# Digests and parts whose last service is remembered, at about 200 bytes each. Parts that were
# served once have a limit of their own: most of them never come again.
_MAX_SERVED_DIGESTS = 256
_MAX_SERVED_PARTS = 4_096
_MAX_SERVED_ONCE = 4_096

Features = frozenset[str]


def is_part(feature: str) -> bool:
    """Return whether a feature stands for a part of a prompt."""
    return feature.startswith(PART_PREFIX)


@attrs.frozen
class Crash:
    """A request that an endpoint had when it crashed.

    Attributes:
        service: Service of the endpoint.
        incarnation_id: Id and start time of the endpoint.
        features: What the request may have in common with others: its digest and parts.
        is_trial: Whether it was the only suspected request that was sent at that time.
    """

    service: str
    incarnation_id: tuple[str, int]
    features: Features
    is_trial: bool = False


@attrs.frozen
class CountedCrash:
    """What is still held against the requests that an endpoint had when it crashed.

    Attributes:
        service: Service of the endpoint.
        at_s: Time of the crash.
        requests: Features of each request that weren't served since, and whether it was a trial.
    """

    service: str
    at_s: float
    requests: tuple[tuple[Features, bool], ...]


@attrs.frozen
class Cause:
    """Features that the requests under several crashes have in common.

    Attributes:
        features: A request that has all of them is held to crash endpoints.
        since_s: Time of the first of the crashes.
        has_rivals: Whether other parts are under most of these crashes, and under almost as many.
        was_tried: Whether trials of such requests ended in enough crashes, and no such part is
            under as many crashes as these features.
    """

    features: Features
    since_s: float
    has_rivals: bool
    was_tried: bool = False

    @property
    def is_exact(self) -> bool:
        """Whether only repeats of one request have these features."""
        return not all(is_part(feature) for feature in self.features)

    def is_proved(self, service_served_s: float) -> bool:
        """Return whether it explains the crashes.

        Trials show it. Without them, it has to be the only cause in question, and the service has
        to have served other requests since the first crash, unless it is a repeated request.

        Args:
            service_served_s: When an endpoint of the service last began an answer and lived on.
        """
        if self.was_tried or (self.is_exact and not self.has_rivals):
            return True
        return not self.has_rivals and service_served_s > self.since_s


@attrs.define
class _CrashedEndpoint:
    service: str
    at_s: float
    requests: collections.OrderedDict[Features, None] = attrs.field(factory=collections.OrderedDict)
    trials: set[Features] = attrs.field(factory=set)


@attrs.frozen
class _Quarantine:
    since_s: float
    until_s: float


class CrashTable:
    """Infers from crashes, and from what was served meanwhile, which requests crash endpoints.

    A feature is held against no request if an endpoint has begun an answer to one that has it after
    the crash and has lived on. Of those that are left, the ones under the most crashes are the
    cause. Features under the same crashes can't be told apart; only a request that has all of them
    is quarantined, so that no sound one is, and the next crash or answer shows which one it is.
    """

    def __init__(self) -> None:
        self._crashes: collections.OrderedDict[tuple[str, int], _CrashedEndpoint]
        self._crashes = collections.OrderedDict()
        self._crashes_of: dict[str, set[tuple[str, int]]] = {}
        self._feature_count = 0
        self._quarantined: collections.OrderedDict[Features, _Quarantine]
        self._quarantined = collections.OrderedDict()
        self._wide: set[Features] = set()
        self._suspected: dict[Features, _Quarantine] = {}
        self._served_digests_s: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._served_parts_s: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._served_once_s: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._service_served_s: dict[str, float] = {}

    def __len__(self) -> int:
        """Return the number of quarantines."""
        return len(self._quarantined)

    def note_crash(self, crash: Crash, at_s: float) -> None:
        """Record a request that an endpoint had when it crashed."""
        features = frozenset(
            name
            for name in crash.features
            if is_part(name) or at_s - self.served_s(name) > _SERVED_TTL_S
        )
        if not features:
            return
        row = self._crashes.get(crash.incarnation_id)
        if row is None:
            row = self._crashes[crash.incarnation_id] = _CrashedEndpoint(crash.service, at_s)
        row.at_s = min(row.at_s, at_s)
        if features not in row.requests:
            self._feature_count += len(features)
        row.requests[features] = None
        if crash.is_trial:
            row.trials.add(features)
        for name in features:
            self._crashes_of.setdefault(name, set()).add(crash.incarnation_id)
        for evicted in _evict_oldest(row.requests, features, _MAX_REQUESTS):
            self._remove_request(crash.incarnation_id, row, evicted)
        self._crashes.move_to_end(crash.incarnation_id)
        while len(self._crashes) > _MAX_CRASHES or (
            self._feature_count > _MAX_CRASH_FEATURES and len(self._crashes) > 1
        ):
            self._remove_crash(*self._crashes.popitem(last=False))
        while self._feature_count > _MAX_CRASH_FEATURES and len(row.requests) > 1:
            self._remove_request(crash.incarnation_id, row, row.requests.popitem(last=False)[0])

    def find_crash(self, incarnation_id: tuple[str, int]) -> CountedCrash | None:
        """Return a counted crash, trials first; None if it isn't counted."""
        row = self._crashes.get(incarnation_id)
        if row is None:
            return None
        requests = []
        for features in sorted(row.requests, key=lambda names: names not in row.trials):
            left = frozenset(name for name in features if self.served_s(name) < row.at_s)
            if left:
                requests.append((left, features in row.trials))
        return CountedCrash(row.service, row.at_s, tuple(requests))

    def _remove_crash(self, incarnation_id: tuple[str, int], row: _CrashedEndpoint) -> None:
        self._feature_count -= sum(map(len, row.requests))
        for names in row.requests:
            self._remove_from_index(incarnation_id, names)

    def _remove_request(
        self, incarnation_id: tuple[str, int], row: _CrashedEndpoint, features: Features
    ) -> None:
        self._feature_count -= len(features)
        row.trials.discard(features)
        self._remove_from_index(incarnation_id, features, row)

    def _remove_from_index(
        self,
        incarnation_id: tuple[str, int],
        features: Iterable[str],
        row: _CrashedEndpoint | None = None,
    ) -> None:
        """Remove features from the index that no request of a crash has any more."""
        left = frozenset[str]().union(*row.requests) if row is not None else frozenset()
        for name in features:
            crashes = self._crashes_of.get(name)
            if crashes is None or name in left:
                continue
            crashes.discard(incarnation_id)
            if not crashes:
                del self._crashes_of[name]

    def note_served(self, feature: str, at_s: float) -> None:
        """Record that an endpoint began an answer to a request with a feature, and lived on."""
        at_s = max(at_s, self.served_s(feature))
        rows, most = self._served_digests_s, _MAX_SERVED_DIGESTS
        if is_part(feature):
            was_served = self._served_once_s.pop(feature, None) is not None
            rows, most = self._served_once_s, _MAX_SERVED_ONCE
            if was_served or feature in self._served_parts_s:
                rows, most = self._served_parts_s, _MAX_SERVED_PARTS
        rows[feature] = at_s
        _evict_oldest(rows, feature, most)

    def note_service_served(self, service: str, at_s: float) -> None:
        """Record that an endpoint of a service began an answer and lived on."""
        self._service_served_s[service] = max(at_s, self._served_service_s(service))

    def served_s(self, feature: str) -> float:
        """Return when an answer to a request with a feature last began; minus infinity if never."""
        if not is_part(feature):
            return self._served_digests_s.get(feature, -math.inf)
        once_s = self._served_once_s.get(feature, -math.inf)
        return self._served_parts_s.get(feature, once_s)

    def crashes_cleared_by(self, feature: str, at_s: float) -> list[tuple[str, tuple[str, int]]]:
        """Return service and start of the crashes that a service of a feature newly clears."""
        served_s = self.served_s(feature)
        return [
            (self._crashes[start].service, start)
            for start in self._crashes_of.get(feature, ())
            if served_s < self._crashes[start].at_s <= at_s
        ]

    def features_not_served_since(self, features: Features, from_s: float) -> Features:
        """Return the features to which no answer that began since a time has lived on."""
        return frozenset(name for name in features if self.served_s(name) <= from_s)

    def _served_service_s(self, service: str) -> float:
        return self._service_served_s.get(service, -math.inf)

    def has_crashes(self, feature: str) -> bool:
        """Return whether a crash with a feature is counted."""
        served_s = self.served_s(feature)
        return any(
            self._crashes[crash].at_s > served_s for crash in self._crashes_of.get(feature, ())
        )

    def last_service_s(self, service: str) -> float:
        """Return when an endpoint of a service last began an answer and lived on."""
        return self._served_service_s(service)

    def find_cause(
        self, service: str, now_s: float, among: Collection[str] | None = None
    ) -> Cause | None:
        """Return features that most likely crash a service's endpoints and aren't quarantined.

        Args:
            service: Name of the service.
            now_s: Time on the clock of the crashes.
            among: The only features whose crashes have changed since no cause was found; None for
                all.
        """
        rows = self._recent_crashes(service, now_s)
        if among is not None and not self._crashes_by_feature(rows, among):
            return None
        crashes = self._crashes_by_feature(rows, self._crashes_of)
        found = self._candidates(crashes, rows, now_s)
        exact = [
            row for row in found if row.is_exact and (among is None or row.features & set(among))
        ]
        parts = [row for row in found if not row.is_exact]
        return next(iter(exact + parts), None)

    def suspects(self, service: str, now_s: float) -> list[Features]:
        """Return the sets of parts of which each may be the cause of a service's crashes.

        A set that has all features of another one is left out.
        """
        rows = self._recent_crashes(service, now_s)
        crashes = self._crashes_by_feature(rows, self._crashes_of)
        sets = {row.features for row in self._candidates(crashes, rows, now_s, False)}
        return [names for names in sets if not any(other < names for other in sets)]

    def _candidates(
        self,
        crashes: dict[str, set[tuple[str, int]]],
        rows: dict[tuple[str, int], _CrashedEndpoint],
        now_s: float,
        is_apart: bool = True,
    ) -> list[Cause]:
        """Return the possible causes that aren't quarantined, the most likely one first.

        Of those under as many crashes, the one with the most features comes first: it blocks the
        fewest requests, and the next crash without one of the features tells them apart.

        Args:
            crashes: The crashes of each feature.
            rows: The crashes.
            now_s: Time on their clock.
            is_apart: Whether crashes at the same time count as one for parts.
        """
        commons = {feature: self._common_features(feature, crashes, rows) for feature in crashes}
        blocked = {
            common: crashes[feature]
            for feature, common in commons.items()
            if all(map(is_part, common)) and self.remaining_s(common, now_s) > 0.0
        }
        found: dict[Features, set[tuple[str, int]]] = {}
        for feature in sorted(crashes, key=lambda name: (-len(crashes[name]), name)):
            common = commons[feature]
            # Crashes of a quarantined set count against no other part. A part of the set itself
            # may still prove to be the only cause.
            explained = (ended for names, ended in blocked.items() if feature not in names)
            unexplained = crashes[feature].difference(*explained)
            may_be_one = is_apart and is_part(feature) and not _was_tried(common, unexplained, rows)
            count = _count_apart(common, unexplained, rows) if may_be_one else len(unexplained)
            if count < _QUARANTINE_CRASHES:
                continue
            if self.remaining_s(common, now_s) <= 0.0:
                found[common] = crashes[feature]
        most = max(map(len, found.values()), default=0)
        likely = {
            names: ended
            for names, ended in found.items()
            if is_apart or len(ended) >= max(_QUARANTINE_CRASHES, most - 1)
        }
        order = sorted(likely, key=lambda names: (-len(found[names]), -len(names), min(names)))
        shared = {name for name, common in commons.items() if all(map(is_part, common))}
        return [self._cause(names, crashes, rows, shared) for names in order]

    def _cause(
        self,
        names: Features,
        crashes: dict[str, set[tuple[str, int]]],
        rows: dict[tuple[str, int], _CrashedEndpoint],
        shared: set[str],
    ) -> Cause:
        """Return features as a possible cause.

        Args:
            names: The features.
            crashes: The crashes of each feature.
            rows: The crashes.
            shared: Parts that were in different requests; only these are rivals.
        """
        ended = crashes[min(names, key=lambda name: len(crashes[name]))]
        # A part under other crashes is no explanation of these.
        others = [
            len(crashes[name])
            for name in shared - names
            if 2 * len(crashes[name] & ended) > len(ended)
        ]
        most = max(others, default=0)
        was_tried = _was_tried(names, ended, rows)
        return Cause(
            names,
            min(rows[crash].at_s for crash in ended),
            most >= max(_QUARANTINE_CRASHES, len(ended) - 1),
            was_tried and most < len(ended),
        )

    def _recent_crashes(
        self, service: str, now_s: float
    ) -> dict[tuple[str, int], _CrashedEndpoint]:
        return {
            incarnation_id: row
            for incarnation_id, row in self._crashes.items()
            if row.service == service and now_s - row.at_s <= _QUARANTINE_S
        }

    def _crashes_by_feature(
        self, rows: dict[tuple[str, int], _CrashedEndpoint], features: Iterable[str]
    ) -> dict[str, set[tuple[str, int]]]:
        """Return the crashes of each feature, of those that are under enough of them."""
        crashes = {}
        for feature in features:
            known = self._crashes_of.get(feature, ())
            if len(known) < _QUARANTINE_CRASHES:
                continue
            served_s = self.served_s(feature)
            counted = {crash for crash in known if crash in rows and rows[crash].at_s > served_s}
            if len(counted) >= _QUARANTINE_CRASHES:
                crashes[feature] = counted
        return crashes

    @staticmethod
    def _common_features(
        feature: str,
        crashes: dict[str, set[tuple[str, int]]],
        rows: dict[tuple[str, int], _CrashedEndpoint],
    ) -> Features:
        """Return the features that all requests with a feature had at its crashes."""
        common: Features | None = None
        for incarnation_id in crashes[feature]:
            for names in rows[incarnation_id].requests:
                if feature in names:
                    common = names if common is None else common & names
        assert common is not None
        return frozenset(name for name in common if crashes.get(name, set()) >= crashes[feature])

    def quarantine(self, features: Features, left_s: float, now_s: float) -> bool:
        """Block requests with all of these features for a while; return False if they are blocked.

        Replaces quarantines of more features.
        """
        if self.remaining_s(features, now_s) > 0.0:
            return False
        self._suspected.pop(features, None)
        for wider in [names for names in self._wide if names > features]:
            self.lift(wider)
        longest_s = _PART_QUARANTINE_S if all(map(is_part, features)) else _QUARANTINE_S
        self._quarantined[features] = _Quarantine(now_s, now_s + min(left_s, longest_s))
        if len(features) > 1:
            self._wide.add(features)
        _evict_oldest(self._quarantined, features, _MAX_QUARANTINED)
        self._wide.intersection_update(self._quarantined)
        return True

    def superseded_by(self, features: Features) -> list[Features]:
        """Return the quarantines of parts that another one leaves too few crashes to support.

        Crashes went on while these were in force, so others than their requests were the cause.
        """
        superseded = []
        explained = self._crashes_with(features)
        for names in self._quarantined:
            crashes = self._crashes_with(names) if all(map(is_part, names)) else {}
            left_s = [at_s for name, at_s in crashes.items() if name not in explained]
            was_supported = _count_times(crashes.values()) >= _QUARANTINE_CRASHES
            is_supported = _count_times(left_s) >= _QUARANTINE_CRASHES
            if names != features and was_supported and not is_supported:
                superseded.append(names)
        return superseded

    def _crashes_with(self, features: Features) -> dict[tuple[str, int], float]:
        """Return the crashes with a request that has all of some features, each with its time."""
        return {
            incarnation_id: row.at_s
            for incarnation_id, row in self._crashes.items()
            if any(features <= names for names in row.requests)
        }

    def disproved_by(self, feature: str) -> list[Features]:
        """Return the quarantines and suspicions with a feature that later services prove wrong.

        Each of their features has been served since then.
        """
        return [
            names
            for kind in (self._quarantined, self._suspected)
            for names, row in kind.items()
            if feature in names and all(self.served_s(name) > row.since_s for name in names)
        ]

    # Suspicions

    def suspect(self, features: Features, left_s: float, now_s: float) -> bool:
        """Restrict requests with all of these features to trials; return False if they are."""
        known = self._suspected.get(features)
        if known is not None and known.until_s > now_s:
            return False
        for names in [names for names, row in self._suspected.items() if row.until_s <= now_s]:
            del self._suspected[names]
        if len(self._suspected) >= _MAX_SUSPECTED:
            return False
        self._suspected[features] = _Quarantine(now_s, now_s + min(left_s, SUSPICION_S))
        return True

    def is_suspected(self, features: Collection[str], now_s: float) -> bool:
        """Return whether a request with these features is under suspicion."""
        present = frozenset(features)
        rows = self._suspected.items()
        return any(names <= present and row.until_s > now_s for names, row in rows)

    def is_watched(self, feature: str) -> bool:
        """Return whether a feature is in a quarantine or suspicion, which its service may end."""
        sets = (*self._suspected, *self._wide)
        is_blocked = frozenset((feature,)) in self._quarantined
        return is_blocked or any(feature in names for names in sets)

    def may_have_suspects(self, features: Features) -> bool:
        """Return whether enough crashes are counted for any of these parts."""
        return any(
            is_part(name) and len(self._crashes_of.get(name, ())) >= _QUARANTINE_CRASHES
            for name in features
        )

    def suspected(self, now_s: float) -> dict[Features, float]:
        """Return the remaining time of each suspicion."""
        rows = self._suspected.items()
        return {names: row.until_s - now_s for names, row in rows if row.until_s > now_s}

    def lift(self, features: Features) -> bool:
        """End a quarantine or suspicion; return whether there was one."""
        self._wide.discard(features)
        was_suspected = self._suspected.pop(features, None) is not None
        return self._quarantined.pop(features, None) is not None or was_suspected

    def remaining_s(self, features: Collection[str], now_s: float) -> float:
        """Return the remaining quarantine of a request with these features; 0 for none."""
        present = frozenset(features)
        names = [frozenset((name,)) for name in present]
        names += [wide for wide in self._wide if wide <= present]
        found = (self._quarantined.get(row) for row in names)
        until_s = (row.until_s for row in found if row is not None)
        return max(0.0, max(until_s, default=-math.inf) - now_s)

    def quarantined(self, now_s: float) -> dict[Features, float]:
        """Return the remaining time of each quarantine."""
        return {
            features: row.until_s - now_s
            for features, row in self._quarantined.items()
            if row.until_s > now_s
        }

    def is_quarantined(self, features: Features) -> bool:
        """Return whether exactly these features are in quarantine."""
        return features in self._quarantined

    def expire(self, now_s: float) -> list[Features]:
        """Remove the quarantines that have ended and return their features."""
        expired = [name for name, row in self._quarantined.items() if row.until_s <= now_s]
        for features in expired:
            self.lift(features)
        return expired


def _was_tried(
    names: Features,
    crashes: Iterable[tuple[str, int]],
    rows: dict[tuple[str, int], _CrashedEndpoint],
) -> bool:
    """Return whether trials of requests with these features ended in enough of the crashes.

    One shows nothing where an endpoint without such a request crashed at the same time.
    """
    tried = [crash for crash in crashes if any(names <= trial for trial in rows[crash].trials)]
    return _count_apart(names, tried, rows) >= _PROOF_TRIALS


def _explains_others(
    names: Features, at_s: float, rows: dict[tuple[str, int], _CrashedEndpoint]
) -> bool:
    """Return whether all endpoints that crashed at a time had requests with these features."""
    together = [row for row in rows.values() if abs(row.at_s - at_s) <= _TOGETHER_S]
    return all(any(names <= request for request in row.requests) for row in together)


def _count_apart(
    names: Features,
    crashes: Iterable[tuple[str, int]],
    rows: dict[tuple[str, int], _CrashedEndpoint],
) -> int:
    """Return the number of times at which endpoints crashed that all had such requests."""
    times_s = {rows[crash].at_s for crash in crashes}
    return _count_times(at_s for at_s in times_s if _explains_others(names, at_s, rows))


def _count_times(times_s: Iterable[float]) -> int:
    """Return the number of times, of which those that are close together are one."""
    count, last_s = 0, -math.inf
    for at_s in sorted(times_s):
        if at_s - last_s > _TOGETHER_S:
            count, last_s = count + 1, at_s
    return count


def _evict_oldest(rows: collections.OrderedDict[Any, Any], key: Any, most: int) -> list[Any]:
    """Make a key the latest; remove the keys that exceed the limit and return them."""
    rows.move_to_end(key)
    return [rows.popitem(last=False)[0] for _ in range(len(rows) - most)]
