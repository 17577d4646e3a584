"""The rules by which hypothesis drives the world, and a run of them."""

import attrs
from hypothesis import HealthCheck, Phase, Verbosity, settings
from hypothesis import seed as with_seed
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from beryljunction.fuzz.platform.actors import Behaviour
from beryljunction.fuzz.platform.stores import StoreFault
from beryljunction.fuzz.platform.world import ENDPOINTS, ENTRIES, KEYS, PlatformWorld, behave

__all__ = ["PlatformMachine", "PlatformProfile", "run_platform_fuzz"]

_ENTRY = st.sampled_from(ENTRIES)
_ENDPOINT = st.sampled_from(tuple(ENDPOINTS))
_SERVICE = st.sampled_from(("once", "free"))
_KEY = st.sampled_from(tuple(KEYS))
_DURATION_S = st.sampled_from((0.01, 0.02, 0.05, 0.3, 1.0, 2.5, 5.0))
_BURST = 25


class PlatformMachine(RuleBasedStateMachine):
    """Histories over one world."""

    def __init__(self) -> None:
        super().__init__()
        self.world = PlatformWorld()

    @initialize(entry=_ENTRY, service=_SERVICE, streamed=st.booleans())
    def begin(self, entry: str, service: str, streamed: bool) -> None:
        """Begin with one request that is on its way."""
        self.world.advance(1.0)
        self.world.ask(entry, service, streamed, "key-a")

    @rule(entry=_ENTRY, service=_SERVICE, streamed=st.booleans(), key=_KEY)
    def ask(self, entry: str, service: str, streamed: bool, key: str) -> None:
        """A caller sends a request."""
        self.world.ask(entry, service, streamed, key)
        self.world.advance(0.005)

    @rule(entry=_ENTRY, behaviour=st.sampled_from(tuple(Behaviour)))
    def ask_many(self, entry: str, behaviour: Behaviour) -> None:
        """Many callers come while all endpoints of the idempotent service behave alike."""
        for name, service in ENDPOINTS.items():
            if service == "free":
                behave(self.world, name, behaviour)
        for _ in range(_BURST):
            self.world.ask(entry, "free", False, "key-a")
        self.world.advance(0.02)

    @rule(name=_ENDPOINT, behaviour=st.sampled_from(tuple(Behaviour)))
    def endpoint_behaves(self, name: str, behaviour: Behaviour) -> None:
        """An endpoint spoils or loses answers, or is well again."""
        behave(self.world, name, behaviour)

    @rule(behaviour=st.sampled_from(tuple(Behaviour)))
    def all_behave(self, behaviour: Behaviour) -> None:
        """All endpoints behave alike."""
        for name in ENDPOINTS:
            behave(self.world, name, behaviour)

    @rule(duration_s=_DURATION_S)
    def advance(self, duration_s: float) -> None:
        """Time passes."""
        self.world.advance(duration_s)

    @rule(place=st.integers(0, 3))
    def leave(self, place: int) -> None:
        """One of the last callers leaves."""
        if place < len(self.world.callers):
            self.world.callers[-1 - place].leave()

    @rule(entry=_ENTRY, fault=st.sampled_from(tuple(StoreFault)), is_alone=st.booleans())
    def store_fault(self, entry: str, fault: StoreFault, is_alone: bool) -> None:
        """The store turns to or from an entry, which may be cut off from its peers too."""
        self.world.store_fault(entry, fault, is_alone)

    @rule(duration_s=st.sampled_from((1.0, 6.0)), key=st.sampled_from((None, *KEYS)))
    def suspend(self, duration_s: float, key: str | None) -> None:
        """All hosts are suspended; a key may be taken away meanwhile."""
        if key is not None:
            self.world.revoke(key)
        self.world.suspend(duration_s)

    @rule(key=_KEY)
    def revoke(self, key: str) -> None:
        """A key is taken away."""
        self.world.revoke(key)

    @rule(entry=_ENTRY, fault=st.sampled_from((StoreFault.SILENT, StoreFault.LATE)), key=_KEY)
    def revoke_behind_a_fault(self, entry: str, fault: StoreFault, key: str) -> None:
        """A key is taken away while the store is silent or late to an entry; callers go on."""
        self.world.store_fault(entry, fault)
        self.world.revoke(key)
        for _ in range(9):
            self.world.advance(0.7)
            self.world.ask(entry, "once", False, key)

    @rule(fault=st.sampled_from((StoreFault.BUSY, StoreFault.SILENT)), key=_KEY)
    def revoke_behind_faults_of_all(self, fault: StoreFault, key: str) -> None:
        """A key is taken away while no entry reaches the store, but each reaches its peer."""
        for entry in ENTRIES:
            self.world.store_fault(entry, fault, is_alone=False)
        self.world.revoke(key)
        for number in range(9):
            self.world.advance(0.7)
            self.world.ask(ENTRIES[number % len(ENTRIES)], "once", False, key)

    @rule(entry=_ENTRY, key=_KEY, late_s=st.sampled_from((0.5, 1.6, 2.5)))
    def revoke_between_late_answers(self, entry: str, key: str, late_s: float) -> None:
        """The store's answers come late, a key is taken away, then there are none any more."""
        self.world.store_fault(entry, StoreFault.LATE)
        self.world.advance(late_s)
        self.world.revoke(key)
        self.world.advance(1.9)
        self.world.store_fault(entry, StoreFault.SILENT)
        for _ in range(8):
            self.world.advance(0.6)
            self.world.ask(entry, "once", False, key)

    @rule(name=st.sampled_from(("f1", "f2", "f3")), entry=_ENTRY)
    def streams_break(self, name: str, entry: str) -> None:
        """One endpoint breaks its streams off in the middle, and others can take them up."""
        for other, service in ENDPOINTS.items():
            if service == "free":
                behave(self.world, other, Behaviour.WHOLE)
        behave(self.world, name, Behaviour.CUT)
        for _ in range(6):
            self.world.ask(entry, "free", True, "key-a")
        self.world.advance(0.3)

    @rule(entry=_ENTRY, service=_SERVICE)
    def leave_while_it_hangs(self, entry: str, service: str) -> None:
        """A caller leaves while its endpoint works without an end."""
        for other in ENDPOINTS:
            behave(self.world, other, Behaviour.HANG)
        caller = self.world.ask(entry, service, False, "key-a")
        self.world.advance(0.2)
        caller.leave()
        self.world.advance(0.3)

    @rule(entry=_ENTRY, service=_SERVICE, streamed=st.booleans(), count=st.integers(1, 6))
    def deadly_request(self, entry: str, service: str, streamed: bool, count: int) -> None:
        """A request that crashes endpoints comes several times, others beside it."""
        for number in range(count):
            at = ENTRIES[(ENTRIES.index(entry) + number) % len(ENTRIES)]
            deadly = f"{service}-{streamed}"
            self.world.ask(at, service, streamed, "key-a", deadly=deadly)
            self.world.ask(entry, service, streamed, "key-a")
            self.world.advance(0.5)

    @rule(name=_ENDPOINT, vanishes=st.booleans())
    def endpoint_leaves(self, name: str, vanishes: bool) -> None:
        """An endpoint leaves by word, or its record just goes; callers come afterwards."""
        (self.world.vanish if vanishes else self.world.drain)(name)
        self.world.advance(2.2)
        for entry in ENTRIES:
            for _ in range(3):
                self.world.ask(entry, ENDPOINTS[name], False, "key-a")
        self.world.advance(0.05)

    @rule(name=_ENDPOINT, entry=_ENTRY)
    def endpoint_pauses(self, name: str, entry: str) -> None:
        """An endpoint turns requests away for some seconds, while callers go on."""
        behave(self.world, name, Behaviour.PAUSE)
        for _ in range(10):
            self.world.ask(entry, ENDPOINTS[name], False, "key-a")
            self.world.advance(0.3)
        behave(self.world, name, Behaviour.WHOLE)

    @rule(name=_ENDPOINT, entry=_ENTRY, lapses=st.booleans())
    def endpoint_leaves_in_an_outage(self, name: str, entry: str, lapses: bool) -> None:
        """An endpoint says in answers that it leaves; its record lapses, or stays as it was."""
        self.world.leave_in_an_outage(name, entry, lapses)

    @rule(name=_ENDPOINT)
    def endpoint_born_again(self, name: str) -> None:
        """An endpoint starts again under its id."""
        self.world.born_again(name)

    @rule(name=_ENDPOINT, is_known=st.booleans())
    def address_changes_hands(self, name: str, is_known: bool) -> None:
        """An endpoint's address goes to another service, before or after its record is gone."""
        (self.world.reuse_address if is_known else self.world.misplace)(name)

    @rule(name=_ENDPOINT)
    def endpoint_goes_dark(self, name: str) -> None:
        """Connections to an endpoint hang."""
        self.world.loop.network.dark.add(self.world.endpoints[name].address)

    @rule()
    def history_is_dropped(self) -> None:
        """The store forgets its history."""
        for topic in ("keyed.op", "keyed.servers"):
            self.world.model.compact(topic)

    @rule()
    def settings_come_again(self) -> None:
        """The first version of the settings is the newest record once more."""
        self.world.rewind()

    @rule(entry=_ENTRY)
    def entry_dies(self, entry: str) -> None:
        """An entry is killed and started again."""
        self.world.kill_entry(entry)

    def teardown(self) -> None:
        """Judge the history."""
        try:
            violations = self.world.finish()
        finally:
            self.world.close()
        assert not violations, "\n".join(violations)


@attrs.frozen
class PlatformProfile:
    """How long a run searches."""

    examples: int = 60
    steps: int = 25
    seed: int = 1


def run_platform_fuzz(profile: PlatformProfile) -> str:
    """Run histories; return the first broken promise, empty when all were kept."""
    limits = settings(
        max_examples=profile.examples,
        stateful_step_count=profile.steps,
        database=None,
        deadline=None,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
        verbosity=Verbosity.quiet,
        report_multiple_bugs=False,
    )
    machine = with_seed(profile.seed)(type("Seeded", (PlatformMachine,), {}))
    try:
        run_state_machine_as_test(machine, settings=limits)
    except AssertionError as error:
        return str(error)
    return ""
