"""Mechanisms of the routing decisions, each of which operators can switch off."""

import attrs

from beryljunction.errors import SettingsError

__all__ = ["ALL_ON", "Mechanism", "Mechanisms", "list_switches"]

_VALUES = {"on": True, "off": False}


def _switch(guards: str) -> bool:
    """Return a switch that is on by default."""
    switch: bool = attrs.field(default=True, metadata={"guards": guards})
    return switch


@attrs.frozen
class Mechanism:
    """One switch, as shown to operators.

    Attributes:
        guards: What the mechanism does for callers, in one line.
    """

    name: str
    is_on: bool
    guards: str


@attrs.frozen
class Mechanisms:
    """The switches; the code of a mechanism that is off is skipped."""

    warmth: bool = _switch("a session goes to an engine that is known to have its prefix cached")
    home: bool = _switch("entries agree on a session's engine by its hash, without communication")
    bound: bool = _switch("an engine well above the mean load is skipped")
    size_bound: bool = _switch("an overloaded engine sheds short prefixes before long ones")
    avoid_queues: bool = _switch("short prefixes avoid an engine at which requests are waiting")
    bound_margin: bool = _switch(
        "the load bound of an engine falls with the age of its load report"
    )
    overflow_choice: bool = _switch(
        "a request that leaves an overloaded engine goes to the least loaded of three"
    )
    hot_copies: bool = _switch("a session with much of the traffic is served by several engines")
    entry_share: bool = _switch("an entry sends short prefixes to the room it has at an engine")
    patience: bool = _switch("an engine with a long queue of prompts to prefill is skipped")
    fetch: bool = _switch("a session that moves fetches its prefix instead of recomputing it")
    brief_absence: bool = _switch(
        "an engine that was away briefly still counts as a session's home"
    )
    start_times: bool = _switch(
        "a restarted entry knows engines that are younger than the sessions"
    )
    departed_sources: bool = _switch("a prefix is fetched from an engine that has just left")
    moved_news: bool = _switch("entries tell each other about sessions that moved")
    load_news: bool = _switch("entries tell each other about engines above the mean load")
    learned_pace: bool = _switch("the prefill rate of engines is measured, not assumed")
    slowness: bool = _switch("the load of an endpoint slower than its peers counts as higher")
    fault_shares: bool = _switch("an endpoint that fails more than its peers is skipped")
    stall: bool = _switch("an endpoint that keeps a request waiting too long is skipped")
    suspects: bool = _switch("an endpoint that failed a moment ago is skipped")
    second_sends: bool = _switch("a failed request that may be repeated goes to another endpoint")
    retry_pauses: bool = _switch("the retry delay for refused callers depends on free capacity")
    zone_penalty: bool = _switch("plain calls prefer endpoints in the entry's availability zone")
    shared_reads: bool = _switch("a few entries read the store and forward its records")
    peer_help: bool = _switch("an entry that the store rejects asks its peers")

    @classmethod
    def parse(cls, text: str) -> "Mechanisms":
        """Parse switches such as "fetch=off,stall=off"; those that are not named are on.

        Raises:
            SettingsError: With one line for each switch that is misspelt, named twice or has a
                value other than on or off.
        """
        values: dict[str, bool] = {}
        problems = []
        for part in filter(None, (part.strip() for part in text.split(","))):
            name, _, value = (word.strip() for word in part.partition("="))
            if name not in _NAMES:
                problems.append(f"{part}: expected one of {', '.join(_NAMES)}, got {name!r}")
            elif name in values:
                problems.append(f"{part}: expected each name once, got {name!r} again")
            elif value not in _VALUES:
                problems.append(f"{part}: expected on or off, got {value!r}")
            else:
                values[name] = _VALUES[value]
        if problems:
            raise SettingsError(problems)
        return cls(**values)

    @property
    def off(self) -> tuple[str, ...]:
        """Names of the mechanisms that are off."""
        return tuple(row.name for row in list_switches(self) if not row.is_on)


ALL_ON = Mechanisms()
_NAMES = tuple(field.name for field in attrs.fields(Mechanisms))


def list_switches(mechanisms: Mechanisms) -> tuple[Mechanism, ...]:
    """Return every switch with its state and description."""
    return tuple(
        Mechanism(field.name, getattr(mechanisms, field.name), field.metadata["guards"])
        for field in attrs.fields(Mechanisms)
    )
