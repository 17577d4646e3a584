"""The rules by which hypothesis drives the small fleet, and the run that counts."""

import enum
import json
import os
import traceback
from collections.abc import Mapping

import attrs
import hypothesis
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from beryljunction.fuzz.network import Broken
from beryljunction.fuzz.oracle import Asked, Kind
from beryljunction.fuzz.sidecars import Limits
from beryljunction.fuzz.world import ENDPOINTS, ENTRIES, World
from beryljunction.systems import AdmissionLimits, ClaimLimits, LedgerLimits, TombstoneLimits
from beryljunction.tables import EndpointState

__all__ = ["CI", "FleetMachine", "Profile", "Tally", "run_fuzz"]

_ENTRY = st.sampled_from(ENTRIES)
_ENDPOINT = st.sampled_from(ENDPOINTS)
_PROCESS = st.sampled_from(ENTRIES + ENDPOINTS)
_INDEX = st.integers(0, 15)
_CHAT = st.sampled_from((7, 7, 8))
_RECENT = st.sampled_from((0, 0, 0, 1, 2))
_KIND = st.sampled_from((*Kind, Kind.KEY, Kind.TICKET))
_ROUNDS = st.sampled_from((8, 0, 2, 0, 8))
_SCOPE = st.sampled_from((*((name,) for name in ENDPOINTS), ENDPOINTS))
_ACCOUNT = st.sampled_from(("federation", "federation", "mill"))
_BODY = st.sampled_from((" changed", " changed", ""))
_DURATION_S = st.sampled_from((0.5, 4.0, 12.0, 12.0, 35.0, 70.0))
_CLOCK_S = st.sampled_from((-40.0, -300.0, 40.0))
_LISTED = st.sampled_from((None, EndpointState.LEAVING, EndpointState.LIVE))
_ROOMY = Limits(
    LedgerLimits(life_s=60.0, max_rows=1000),
    TombstoneLimits(life_s=100.0, max_rows=1000),
    ClaimLimits(life_s=1e6, append_gap_s=0.2, wait_s=5.0),
    AdmissionLimits(max_running=2, max_waiting=4),
)
_TIGHT = Limits(
    LedgerLimits(life_s=60.0, max_rows=2, max_answer_bytes=40),
    TombstoneLimits(life_s=100.0, max_rows=8),
    ClaimLimits(life_s=1e6, max_keys=2, append_gap_s=0.2, wait_s=5.0, batch_claims=2),
    AdmissionLimits(max_running=1, floor_running=1, max_waiting=1),
)


class MessageFault(enum.StrEnum):
    """What happens to one message."""

    DUPLICATE = "duplicate"
    SILENT = "silent connection"
    BROKEN = "broken connection"
    ANSWERS = "answers lost"


class StreamFault(enum.StrEnum):
    """What happens in the middle of a stream."""

    ENTRY = "entry crash in a stream"
    FRAMES = "frames lost"
    RESUME = "engine resume"
    ENGINE = "engine breaks off, and the caller asks again"


class PlatformFault(enum.StrEnum):
    """What happens around the sidecars."""

    ENTRY = "entry crash"
    PAUSE = "entry pause"
    LIST = "list disagreement"
    LOG_DOWN = "log outage"
    LOG_LAG = "log lag"
    LOG_UP = "log back"


class SidecarFault(enum.StrEnum):
    """What happens to one sidecar; one that is down is started instead."""

    CRASH = "crash"
    REPLACED = "crash and new start"
    DRAIN = "planned stop"
    STOP = "end of a planned stop"
    PAUSE = "sidecar pause"
    CLOCK = "clock jump"
    ENGINE = "engine refuses"


@attrs.define
class Tally:
    """What a fuzz went through.

    Attributes:
        faults: Faults by kind.
    """

    examples: int = 0
    steps: int = 0
    runs: int = 0
    answers: int = 0
    refusals: dict[str, int] = attrs.field(factory=dict)
    faults: dict[str, int] = attrs.field(factory=dict)
    violations: list[str] = attrs.field(factory=list)


@attrs.frozen
class Profile:
    """How long to fuzz.

    Attributes:
        seed: Seed of the search; None makes it the same search each time.
        shrinks: Whether a failing history is shortened, which takes longer than to find it.
    """

    examples: int
    steps: int
    seed: int | None = None
    shrinks: bool = True

    @classmethod
    def from_environment(cls, environment: Mapping[str, str]) -> "Profile":
        """Return the profile that BERYL_FUZZ_SEED, _EXAMPLES and _STEPS ask for."""
        return cls(
            examples=int(environment.get("BERYL_FUZZ_EXAMPLES", "5000")),
            steps=int(environment.get("BERYL_FUZZ_STEPS", "50")),
            seed=int(environment.get("BERYL_FUZZ_SEED", "0")),
        )

    def to_settings(self) -> settings:
        """Return the profile as the library takes it."""
        phases = (Phase.generate, Phase.shrink) if self.shrinks else (Phase.generate,)
        return settings(
            max_examples=self.examples,
            stateful_step_count=self.steps,
            derandomize=self.seed is None,
            database=None,
            deadline=None,
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
            phases=phases,
        )


CI = Profile(examples=600, steps=40)


class FleetMachine(RuleBasedStateMachine):
    """Callers ask, messages travel, and anything fails at any moment."""

    tally = Tally()

    @initialize(is_tight=st.booleans(), entry=_ENTRY, kind=_KIND, rounds=_ROUNDS)
    def begin(self, is_tight: bool, entry: str, kind: Kind, rounds: int) -> None:
        """Start the fleet, with ample tables or with very small ones, and ask for something."""
        self.world = World(_TIGHT if is_tight else _ROOMY)
        self.world.greet()
        self.tally.examples += 1
        self.ask_new(entry, kind, streamed=False, rounds=rounds)

    @rule(
        entry=_ENTRY, kind=_KIND, streamed=st.booleans(), rounds=_ROUNDS, chat_key=st.none() | _CHAT
    )
    def ask_new(
        self, entry: str, kind: Kind, streamed: bool, rounds: int, chat_key: int | None = None
    ) -> None:
        """A caller asks for something new, maybe in a chat, and things go well for a while."""
        operation = self.world.new_operation(kind, streamed, chat_key)
        self.world.ask(entry, operation, operation.account, operation.body)
        self.world.run(rounds)

    @rule(entry=_ENTRY, kind=st.sampled_from((Kind.KEY, Kind.TICKET)), streamed=st.booleans())
    def ask_once(self, entry: str, kind: Kind, streamed: bool) -> None:
        """A caller asks for something that it may ask for again, and it comes to its end."""
        self.ask_new(entry, kind, streamed, rounds=10)

    @rule(entry=_ENTRY, place=_RECENT, rounds=_ROUNDS)
    def ask_again(self, entry: str, place: int, rounds: int) -> None:
        """A caller repeats its request under its key or ticket."""
        self._repeat(entry, place, "federation", "", rounds)

    @rule(entry=_ENTRY, place=_RECENT, account=_ACCOUNT, change=_BODY, rounds=_ROUNDS)
    def ask_otherwise(self, entry: str, place: int, account: str, change: str, rounds: int) -> None:
        """A caller uses a key or ticket for something else, or one that is not its own."""
        self._repeat(entry, place, account, change, rounds)

    @rule(entry=_ENTRY, chat_key=_CHAT, crashes=st.booleans())
    def lose_the_warm_endpoint(self, entry: str, chat_key: int, crashes: bool) -> None:
        """A chat comes back and is led to an endpoint that was killed, or is about to stop.

        It sent several requests at once before, so that its home was full and another took it.
        """
        for _ in range(3):
            self.ask_new(entry, Kind.IDEMPOTENT, False, 0, chat_key)
        self.world.run(6)
        for endpoint_id in self.world.pointed_to(chat_key):
            self._fault("warm endpoint lost")
            if crashes:
                self.world.crash(endpoint_id)
            else:
                self.world.drain(endpoint_id)
        self.ask_new(entry, Kind.IDEMPOTENT, True, 4, chat_key)

    @precondition(lambda self: self._cut_streams())
    @rule(entry=_ENTRY, place=_RECENT, rounds=_ROUNDS)
    def resume(self, entry: str, place: int, rounds: int) -> None:
        """A caller whose stream stopped takes it up again at any entry."""
        streams = self._cut_streams()
        self.world.resume(entry, streams[-1 - place % len(streams)])
        self.world.run(rounds)

    @rule(kind=_KIND, rounds=st.sampled_from((2, 3)), fault=st.sampled_from(StreamFault))
    def stream_fault(self, kind: Kind, rounds: int, fault: StreamFault) -> None:
        """Something fails in the middle of a stream, which is taken up again."""
        self.ask_new(ENTRIES[0], kind, True, rounds)
        self._fault(fault)
        if fault is StreamFault.ENTRY:
            self.world.restart_entry(ENTRIES[0])
            for asked in self._cut_streams()[-1:]:
                self.world.resume(ENTRIES[1], asked)
        elif fault is StreamFault.FRAMES:
            self.world.network.lose_to(ENTRIES)
        elif fault is StreamFault.RESUME:
            self.world.resume_engines()
        else:
            self.world.break_engines()
            self._repeat(ENTRIES[1], 0, "federation", "", 2)
        self.world.run(3)

    @rule(entry=_ENTRY, kind=_KIND)
    def late_request(self, entry: str, kind: Kind) -> None:
        """A request lies in the network until its entry has asked what became of it."""
        network = self.world.network
        before = list(network.in_flight)
        self.ask_new(entry, kind, False, 0)
        self._fault("late request")
        late = [row for row in network.in_flight if row not in before]
        network.in_flight = before
        self.world.advance(4.0)
        self.world.run(1)
        network.in_flight += late
        self.world.run(3)

    @rule(rounds=st.sampled_from((2, 10)))
    def go_on(self, rounds: int) -> None:
        """Things go well for a while."""
        self.world.run(rounds)

    @precondition(lambda self: bool(self.world.network.in_flight))
    @rule(place=_INDEX)
    def deliver(self, place: int) -> None:
        """A message overtakes the others."""
        self.world.deliver(self.world.network.take(place))

    @rule(duration_s=_DURATION_S)
    def advance(self, duration_s: float) -> None:
        """Time passes while every message stays on its way."""
        self._fault("delay")
        self.world.advance(duration_s)

    @precondition(lambda self: bool(self.world.network.in_flight))
    @rule(place=_INDEX, fault=st.sampled_from(MessageFault))
    def message_fault(self, place: int, fault: MessageFault) -> None:
        """A message is doubled or lost, or all answers are lost after their effect."""
        self._fault(fault)
        network = self.world.network
        if fault is MessageFault.DUPLICATE:
            network.double(place)
        elif fault is MessageFault.ANSWERS:
            network.lose_to(ENTRIES)
        else:
            message = network.take(place)
            if fault is MessageFault.BROKEN and message.sender in ENTRIES:
                network.send(message.sender, message.target, message.connection, Broken())

    @rule(scope=_SCOPE, fault=st.sampled_from(SidecarFault), by_s=_CLOCK_S)
    def sidecar_fault(self, scope: tuple[str, ...], fault: SidecarFault, by_s: float) -> None:
        """One or all sidecars are killed, replaced, paused, stopped or told a wrong time."""
        self._fault(fault)
        for endpoint_id in scope:
            self._one_sidecar_fault(endpoint_id, fault, by_s)

    def _one_sidecar_fault(self, endpoint_id: str, fault: SidecarFault, by_s: float) -> None:
        world = self.world
        sidecar = world.sidecars.get(endpoint_id)
        if sidecar is None:
            world.start(endpoint_id)
        elif fault is SidecarFault.CRASH:
            world.crash(endpoint_id)
        elif fault is SidecarFault.REPLACED:
            world.crash(endpoint_id)
            world.start(endpoint_id)
        elif fault is SidecarFault.DRAIN:
            world.drain(endpoint_id)
        elif fault is SidecarFault.STOP:
            world.stop_if_idle(endpoint_id)
        elif fault is SidecarFault.PAUSE:
            world.pause(endpoint_id)
        elif fault is SidecarFault.ENGINE:
            sidecar.engine_refuses = True
        else:
            sidecar.set_clock(by_s)

    @rule(name=_PROCESS, timers_first=st.booleans())
    def wake(self, name: str, timers_first: bool) -> None:
        """A paused process goes on, with its timers or with its sockets first."""
        self.world.wake(name, timers_first)

    @rule(fault=st.sampled_from(PlatformFault), entry=_ENTRY, endpoint_id=_ENDPOINT, state=_LISTED)
    def platform_fault(
        self, fault: PlatformFault, entry: str, endpoint_id: str, state: EndpointState | None
    ) -> None:
        """An entry is killed or paused, the list shows something else, or the log fails."""
        self._fault(fault)
        world = self.world
        if fault is PlatformFault.ENTRY:
            world.restart_entry(entry)
        elif fault is PlatformFault.PAUSE:
            world.pause(entry)
        elif fault is PlatformFault.LIST:
            world.list_says(entry, endpoint_id, state)
        else:
            world.is_log_up = True
            if fault is PlatformFault.LOG_DOWN:
                world.fail_log()
            world.is_log_lagging = fault is PlatformFault.LOG_LAG

    @rule(place=_INDEX, breaks=st.booleans())
    def produce(self, place: int, breaks: bool) -> None:
        """An engine gets on with its work, or the connection to it breaks in the middle."""
        jobs = self.world.running_jobs()
        if not jobs:
            return
        endpoint_id, number = jobs[place % len(jobs)]
        if breaks:
            self._fault("engine connection breaks")
            sidecar = self.world.sidecars[endpoint_id]
            sidecar.break_engine(sidecar.unfinished[number])
        else:
            self.world.produce(endpoint_id, number)

    @invariant()
    def every_promise_holds(self) -> None:
        """No promise has been broken so far."""
        self.tally.steps += 1
        self._check()

    def teardown(self) -> None:
        """After all faults every caller gets its end, and the promises still hold."""
        if not hasattr(self, "world"):
            return
        self.world.heal()
        oracle = self.world.oracle
        self.tally.runs += len(oracle.runs)
        for asked in oracle.asked:
            if asked.answer is not None:
                self.tally.answers += 1
            else:
                ran = str(asked.ran)
                self.tally.refusals[ran] = self.tally.refusals.get(ran, 0) + 1
        self._check()

    def _cut_streams(self) -> list[Asked]:
        """Return the requests whose callers have seen a part of a stream."""
        asked = self.world.oracle.asked
        return [row for row in asked if row.answer is None and row.last_event_id is not None]

    def _repeat(self, entry: str, place: int, account: str, change: str, rounds: int) -> None:
        operations = [row for row in self.world.operations if row.is_shared]
        if operations:
            operation = operations[-1 - place % len(operations)]
            self.world.ask(entry, operation, account, operation.body + change)
        self.world.run(rounds)

    def _check(self) -> None:
        assert not self.world.oracle.violations, self.world.oracle.violations

    def _fault(self, kind: str) -> None:
        self.tally.faults[kind] = self.tally.faults.get(kind, 0) + 1


def run_fuzz(profile: Profile) -> Tally:
    """Fuzz by a profile and return what happened; the shortest failing history is printed."""
    tally = Tally()
    machine = type("FleetMachine", (FleetMachine,), {"tally": tally})
    if profile.seed is not None:
        machine = hypothesis.seed(profile.seed)(machine)
    try:
        run_state_machine_as_test(machine, settings=profile.to_settings())
    except Exception as error:
        # Whatever ends a history counts: a broken promise, or a system that raised.
        print("\n".join(getattr(error, "__notes__", ())))
        tally.violations.append(traceback.format_exception_only(error)[0].strip())
    return tally


def main() -> int:
    """Fuzz as the environment asks and print one JSON object as the last line."""
    profile = Profile.from_environment(os.environ)
    tally = run_fuzz(profile)
    print(json.dumps({"seed": profile.seed, **attrs.asdict(tally)}))
    return 1 if tally.violations else 0
