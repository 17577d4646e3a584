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
from beryljunction.fuzz.oracle import Kind
from beryljunction.fuzz.sidecars import Limits
from beryljunction.fuzz.world import ENDPOINTS, ENTRIES, World
from beryljunction.systems import AdmissionLimits, ClaimLimits, LedgerLimits, TombstoneLimits
from beryljunction.tables import EndpointState

__all__ = ["CI", "FleetMachine", "Profile", "Tally", "run_fuzz"]

_ENTRY = st.sampled_from(ENTRIES)
_ENDPOINT = st.sampled_from(ENDPOINTS)
_PROCESS = st.sampled_from(ENTRIES + ENDPOINTS)
_INDEX = st.integers(0, 15)
_KIND = st.sampled_from(tuple(Kind))
_ACCOUNT = st.sampled_from(("federation", "federation", "federation", "mill"))
_BODY = st.sampled_from(("", "", "", " changed"))
_DURATION_S = st.sampled_from((0.5, 2.0, 4.0, 12.0, 35.0, 70.0))
_CLOCK_S = st.sampled_from((-300.0, -40.0, 40.0, 300.0))
_LISTED = st.sampled_from((None, EndpointState.LEAVING, EndpointState.LIVE))
_ROOMY = Limits(
    LedgerLimits(life_s=60.0, max_rows=1000),
    TombstoneLimits(life_s=30.0, max_rows=1000),
    ClaimLimits(life_s=1e6, append_gap_s=0.2, wait_s=5.0),
    AdmissionLimits(max_running=2, max_waiting=4),
)
_TIGHT = Limits(
    LedgerLimits(life_s=60.0, max_rows=2, max_answer_bytes=40),
    TombstoneLimits(life_s=30.0, max_rows=3),
    ClaimLimits(life_s=1e6, max_keys=2, append_gap_s=0.2, wait_s=5.0, batch_claims=2),
    AdmissionLimits(max_running=1, floor_running=1, max_waiting=1),
)


class MessageFault(enum.StrEnum):
    """What happens to one message."""

    DUPLICATE = "duplicate"
    SILENT = "silent connection"
    BROKEN = "broken connection"


class HostFault(enum.StrEnum):
    """What happens around the sidecars."""

    CLOCK = "clock jump"
    ENTRY = "entry crash"
    LIST = "list disagreement"
    LOG_DOWN = "log outage"
    LOG_LAG = "log lag"
    LOG_UP = "log back"


class SidecarFault(enum.StrEnum):
    """What happens to one sidecar."""

    START = "start"
    CRASH = "crash"
    REPLACED = "crash and new start"
    DRAIN = "planned stop"
    STOP = "end of a planned stop"


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
    """

    examples: int
    steps: int
    seed: int | None = None

    @classmethod
    def from_environment(cls, environment: Mapping[str, str]) -> "Profile":
        """Return the profile that BERYL_FUZZ_SEED, _EXAMPLES and _STEPS ask for."""
        return cls(
            examples=int(environment.get("BERYL_FUZZ_EXAMPLES", "5000")),
            steps=int(environment.get("BERYL_FUZZ_STEPS", "50")),
            seed=int(environment.get("BERYL_FUZZ_SEED", "0")),
        )

    def to_settings(self) -> settings:
        """Return the profile as the library takes it; a failing history is shortened."""
        return settings(
            max_examples=self.examples,
            stateful_step_count=self.steps,
            derandomize=self.seed is None,
            database=None,
            deadline=None,
            report_multiple_bugs=False,
            suppress_health_check=list(HealthCheck),
            phases=(Phase.generate, Phase.shrink),
        )


CI = Profile(examples=300, steps=40)


class FleetMachine(RuleBasedStateMachine):
    """Callers ask, messages travel, and anything fails at any moment."""

    tally = Tally()

    @initialize(is_tight=st.booleans())
    def begin(self, is_tight: bool) -> None:
        """Start the fleet, with ample tables or with very small ones."""
        self.world = World(_TIGHT if is_tight else _ROOMY)
        self.world.run(2)
        self.tally.examples += 1

    @rule(entry=_ENTRY, kind=_KIND, streamed=st.booleans())
    def ask_new(self, entry: str, kind: Kind, streamed: bool) -> None:
        """A caller asks for something new."""
        operation = self.world.new_operation(entry, kind, streamed)
        self.world.ask(entry, operation, operation.account, operation.body)

    @precondition(lambda self: bool(self.world.operations))
    @rule(entry=_ENTRY, place=_INDEX, account=_ACCOUNT, change=_BODY)
    def ask_again(self, entry: str, place: int, account: str, change: str) -> None:
        """A caller asks again under its key or ticket, perhaps for something else."""
        operations = [row for row in self.world.operations if row.is_shared]
        if operations:
            operation = operations[-1 - place % len(operations)]
            self.world.ask(entry, operation, account, operation.body + change)

    @precondition(lambda self: bool(self.world.operations))
    @rule(entry=_ENTRY, place=_INDEX, rounds=st.integers(0, 3))
    def ask_again_and_wait(self, entry: str, place: int, rounds: int) -> None:
        """A caller repeats its request and things go well for a while."""
        self.ask_again(entry, place, "federation", "")
        self.world.run(rounds)

    @rule(entry=_ENTRY, kind=_KIND, rounds=st.integers(0, 3))
    def ask_and_wait(self, entry: str, kind: Kind, rounds: int) -> None:
        """A caller asks for something new and things go well for a while."""
        self.ask_new(entry, kind, streamed=False)
        self.world.run(rounds)

    @rule(rounds=st.integers(1, 6))
    def go_on(self, rounds: int) -> None:
        """Things go well for a while."""
        self.world.run(rounds)

    @precondition(lambda self: bool(self.world.network.in_flight))
    @rule(place=_INDEX)
    def deliver(self, place: int) -> None:
        """A message overtakes the others."""
        self.world.deliver(self.world.network.take(place))

    @rule(place=_INDEX)
    def produce(self, place: int) -> None:
        """An engine gets on with its work."""
        jobs = self.world.running_jobs()
        if jobs:
            self.world.produce(*jobs[place % len(jobs)])

    @rule(duration_s=_DURATION_S)
    def advance(self, duration_s: float) -> None:
        """Time passes while every message stays on its way."""
        self._fault("delay")
        self.world.advance(duration_s)

    @precondition(lambda self: bool(self.world.network.in_flight))
    @rule(place=_INDEX, fault=st.sampled_from(MessageFault))
    def message_fault(self, place: int, fault: MessageFault) -> None:
        """A message is delivered twice, or lost in a connection that breaks or goes silent."""
        self._fault(fault)
        network = self.world.network
        if fault is MessageFault.DUPLICATE:
            network.double(place)
            return
        message = network.take(place)
        if fault is MessageFault.BROKEN and message.sender in ENTRIES:
            network.send(message.sender, message.target, message.connection, Broken())

    @rule(endpoint_id=_ENDPOINT, fault=st.sampled_from(SidecarFault))
    def sidecar_fault(self, endpoint_id: str, fault: SidecarFault) -> None:
        """A sidecar is killed, replaced or stopped as planned, or its host's clock jumps."""
        self._fault(fault)
        world = self.world
        if fault is SidecarFault.START or endpoint_id not in world.sidecars:
            world.start(endpoint_id)
        elif fault is SidecarFault.CRASH:
            world.crash(endpoint_id)
        elif fault is SidecarFault.REPLACED:
            world.crash(endpoint_id)
            world.start(endpoint_id)
        elif fault is SidecarFault.DRAIN:
            world.drain(endpoint_id)
        else:
            world.stop_if_idle(endpoint_id)

    @rule(name=_PROCESS, wakes=st.booleans(), timers_first=st.booleans())
    def pause(self, name: str, wakes: bool, timers_first: bool) -> None:
        """A process stops, or goes on with its timers or with its sockets first."""
        if wakes:
            self.world.wake(name, timers_first)
        else:
            self._fault("pause")
            self.world.pause(name)

    @rule(fault=st.sampled_from(HostFault), entry=_ENTRY, endpoint_id=_ENDPOINT, data=st.data())
    def host_fault(
        self, fault: HostFault, entry: str, endpoint_id: str, data: st.DataObject
    ) -> None:
        """A clock jumps, an entry is killed and replaced, or log or list of hosts fail."""
        self._fault(fault)
        world = self.world
        if fault is HostFault.CLOCK and endpoint_id in world.sidecars:
            world.sidecars[endpoint_id].set_clock(data.draw(_CLOCK_S))
        elif fault is HostFault.ENTRY:
            world.restart_entry(entry)
        elif fault is HostFault.LIST:
            world.list_says(entry, endpoint_id, data.draw(_LISTED))
        else:
            world.is_log_up = fault is not HostFault.LOG_DOWN
            world.is_log_lagging = fault is HostFault.LOG_LAG

    @rule(place=_INDEX, endpoint_id=_ENDPOINT, is_refusal=st.booleans())
    def engine_fault(self, place: int, endpoint_id: str, is_refusal: bool) -> None:
        """An engine refuses the next connection, or one breaks after work has begun there."""
        jobs = self.world.running_jobs()
        if jobs and not is_refusal:
            self._fault("engine connection breaks")
            running_at, number = jobs[place % len(jobs)]
            sidecar = self.world.sidecars[running_at]
            sidecar.break_engine(sidecar.unfinished[number])
        elif endpoint_id in self.world.sidecars:
            self._fault("engine refuses")
            self.world.sidecars[endpoint_id].engine_refuses = True

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
