"""A small fleet in virtual time: entries, sidecars, engines, the log and the list of hosts."""

import itertools

from beryljunction.fuzz.entries import Entry
from beryljunction.fuzz.network import AppendCall, AppendReply, Broken, Message, Network
from beryljunction.fuzz.oracle import Asked, Kind, Operation, Oracle
from beryljunction.fuzz.sidecars import SERVICE, Job, Limits, Sidecar
from beryljunction.outcomes import ExecutionStatus, Refusal, RefusalCode
from beryljunction.systems import TicketMint
from beryljunction.tables import Endpoint, EndpointState

__all__ = ["ENDPOINTS", "ENTRIES", "World"]

ENDPOINTS = ("ledger-0", "ledger-1", "ledger-2")
ENTRIES = ("entry-0", "entry-1")
_TICK_S = 1.0
_OUTAGE_S = 30.0
_LOG = "log"


class World:
    """Runs the real systems against each other; faults come from outside, one call each."""

    def __init__(self, limits: Limits) -> None:
        self.now_s = 1000.0
        self.network = Network()
        self.oracle = Oracle()
        self.operations: list[Operation] = []
        self.log: list[object] = []
        self.is_log_up = True
        self.is_log_lagging = False
        self.sidecars: dict[str, Sidecar] = {}
        self.entries: dict[str, Entry] = {}
        self._limits = limits
        self._serials = itertools.count()
        self._starts = itertools.count()
        self._mint = TicketMint(b"fuzz", lambda: f"s{next(self._serials)}")
        self._paused: dict[str, list[Message]] = {}
        self._failed: dict[str, float] = {}
        for endpoint_id in ENDPOINTS:
            self.start(endpoint_id)
        for name in ENTRIES:
            self.restart_entry(name)

    def greet(self) -> None:
        """Let each entry hear each sidecar's stamp."""
        for entry in self.entries.values():
            entry.greet()
        self.run(2)

    def ask(self, entry: str, operation: Operation, account: str, body: str) -> None:
        """Let a caller ask for an operation."""
        asked = self.oracle.begin(operation, account, body, self.now_s)
        self.entries[entry].ask(asked)

    def resume(self, entry: str, asked: Asked) -> None:
        """Let a caller leave the connection that it reads, and take up its stream elsewhere."""
        for other in self.entries.values():
            other.hang_up(asked)
        self.oracle.resumed(asked)
        self.entries[entry].resume(asked)

    def new_operation(self, kind: Kind, streamed: bool, chat_key: int | None = None) -> Operation:
        """Return something new that a caller wants done."""
        number = len(self.operations)
        body = f"note {number}"
        operation = Operation(number, kind, "federation", body, streamed)
        operation.chat_key = chat_key if kind is Kind.IDEMPOTENT else None
        if kind is Kind.TICKET:
            operation.ticket = self._fetch_ticket(operation.account)
            operation.kind = kind if operation.ticket is not None else Kind.PRIVATE
        self.operations.append(operation)
        return operation

    def _fetch_ticket(self, account: str) -> str | None:
        for endpoint_id, sidecar in self.sidecars.items():
            if endpoint_id not in self._paused:
                return sidecar.ledger.mint(account, sidecar.now_s)
        return None

    def deliver(self, message: Message) -> None:
        """Hand a message to whichever process is there now."""
        target = message.target
        if target in self._paused:
            self._paused[target].append(message)
        elif target == _LOG:
            self._append(message)
        elif target in self.entries:
            self.entries[target].handle(message)
        elif target in self.sidecars:
            self.sidecars[target].handle(message)
        else:
            self.network.send(message.sender, target, message.connection, Broken())

    def tick(self) -> None:
        """Let every process that is not paused look at the time and its log."""
        self._recover()
        for endpoint_id, sidecar in self.sidecars.items():
            if endpoint_id not in self._paused:
                sidecar.tick(self._records(endpoint_id))
        for name, entry in self.entries.items():
            if name not in self._paused:
                entry.tick()

    def advance(self, duration_s: float) -> None:
        """Let virtual time pass."""
        while duration_s > 0.0:
            self.now_s += min(duration_s, _TICK_S)
            duration_s -= _TICK_S
            self.tick()

    def run(self, rounds: int, step_s: float = 0.25) -> None:
        """Let messages and engines go on in order for a while."""
        for _ in range(rounds):
            for message in self.network.drain():
                self.deliver(message)
            for job in self.running_jobs():
                self.produce(*job)
            self.advance(step_s)

    def running_jobs(self) -> list[tuple[str, int]]:
        """Return what engines run under a sidecar that listens, as endpoint and place."""
        return [
            (endpoint_id, place)
            for endpoint_id, sidecar in self.sidecars.items()
            for place, job in enumerate(sidecar.unfinished)
            if job.run is not None and endpoint_id not in self._paused
        ]

    def produce(self, endpoint_id: str, place: int) -> None:
        """Let one engine produce a piece of an answer."""
        jobs = self.sidecars[endpoint_id].unfinished
        if place < len(jobs) and jobs[place].run is not None:
            self.sidecars[endpoint_id].produce(jobs[place])

    def pointed_to(self, chat_key: int) -> set[str]:
        """Return the endpoints that others point to for a chat."""
        found = set()
        for endpoint_id, sidecar in self.sidecars.items():
            row = sidecar.admission.pointers.chats.peek(chat_key)
            if row is not None and row.endpoint_id != endpoint_id:
                found.add(row.endpoint_id)
        return found

    def resume_engines(self) -> None:
        """Let every connection to an engine break, and streams be taken up on new ones."""
        for sidecar, job in self._running():
            sidecar.resume_engine(job)

    def break_engines(self) -> None:
        """Let every connection to an engine break for good."""
        for sidecar, job in self._running():
            sidecar.break_engine(job)

    def _running(self) -> list[tuple[Sidecar, Job]]:
        rows = [(self.sidecars[endpoint_id], place) for endpoint_id, place in self.running_jobs()]
        return [(sidecar, sidecar.unfinished[place]) for sidecar, place in rows]

    def start(self, endpoint_id: str) -> None:
        """Start a sidecar in an empty slot, as a new incarnation."""
        if endpoint_id in self.sidecars:
            return
        incarnation = f"i{next(self._starts)}"
        self.sidecars[endpoint_id] = Sidecar(
            endpoint_id,
            incarnation,
            lambda: self.now_s,
            self.network,
            self.oracle,
            self._mint,
            self._limits,
        )

    def crash(self, endpoint_id: str) -> None:
        """Kill a sidecar; its memory is gone and its connections break."""
        sidecar = self.sidecars.pop(endpoint_id, None)
        self._paused.pop(endpoint_id, None)
        self._failed[endpoint_id] = self.now_s
        if sidecar is None:
            return
        for job in sidecar.unfinished:
            for name, connection in sorted(job.readers):
                self.network.send(name, endpoint_id, connection, Broken())

    def pause(self, name: str) -> None:
        """Stop a process; what comes for it lies in its sockets."""
        if name in self.sidecars or name in self.entries:
            self._paused.setdefault(name, [])
            self._failed[name] = self.now_s

    def wake(self, name: str, timers_first: bool) -> None:
        """Let a paused process go on."""
        waiting = self._paused.pop(name, [])
        if timers_first:
            self._tick_one(name)
        for message in waiting:
            self.deliver(message)
        self._tick_one(name)

    def drain(self, endpoint_id: str) -> None:
        """Begin a planned stop."""
        if endpoint_id in self.sidecars:
            self.sidecars[endpoint_id].drain()
            self._failed[endpoint_id] = self.now_s

    def stop_if_idle(self, endpoint_id: str) -> None:
        """End a planned stop once nothing is in flight, by the sidecar's own count."""
        sidecar = self.sidecars.get(endpoint_id)
        if sidecar is None or not sidecar.is_leaving or endpoint_id in self._paused:
            return
        if len(sidecar.admission.requests) or sidecar.is_claiming:
            return
        self.oracle.stopped(endpoint_id, len(sidecar.unfinished))
        self.crash(endpoint_id)

    def restart_entry(self, name: str) -> None:
        """Kill an entry and start it anew; its callers see their connections break."""
        old = self.entries.pop(name, None)
        self._paused.pop(name, None)
        if old is not None:
            refusal = Refusal(
                RefusalCode.OUTCOME_UNKNOWN, "the connection broke", ExecutionStatus.UNKNOWN
            )
            for asked in old.open_requests:
                self.oracle.refused(asked, refusal, self.now_s)
        rows = [Endpoint(e, SERVICE, "ahd-a", e) for e in ENDPOINTS]
        self.entries[name] = Entry(
            name,
            lambda: self.now_s,
            self.network,
            self.oracle,
            self._mint,
            rows,
            self.sidecars.__contains__,
        )

    def fail_log(self) -> None:
        """Let the log go down."""
        self.is_log_up = False
        self._failed[_LOG] = self.now_s

    def list_says(self, entry: str, endpoint_id: str, state: EndpointState | None) -> None:
        """Let one entry's list show an endpoint in some state, or not at all."""
        table = self.entries[entry].endpoints
        if state is None:
            table.remove(endpoint_id)
        else:
            table.put(Endpoint(endpoint_id, SERVICE, "ahd-a", endpoint_id, state=state))

    def heal(self) -> None:
        """End every fault and let all that is open come to its end."""
        self.is_log_up = True
        self.is_log_lagging = False
        for name in list(self._paused):
            self.wake(name, timers_first=True)
        for endpoint_id in ENDPOINTS:
            self.start(endpoint_id)
        self.run(rounds=40, step_s=1.0)
        self.oracle.settled()

    def _recover(self) -> None:
        """Let the platform put right what has failed for long: most faults end by themselves."""
        for name, since_s in list(self._failed.items()):
            if self.now_s - since_s < _OUTAGE_S:
                continue
            del self._failed[name]
            if name == _LOG:
                self.is_log_up = True
            elif name in self._paused:
                self.wake(name, timers_first=True)
            elif name in self.sidecars:
                self.stop_if_idle(name)
            if name in ENDPOINTS:
                self.start(name)

    def _tick_one(self, name: str) -> None:
        if name in self.sidecars:
            self.sidecars[name].tick(self._records(name))
        elif name in self.entries:
            self.entries[name].tick()

    def _records(self, endpoint_id: str) -> list[object] | None:
        if not self.is_log_up:
            return None
        if self.is_log_lagging and endpoint_id != ENDPOINTS[0]:
            return self.log[:-2]
        return self.log

    def _append(self, message: Message) -> None:
        call = message.content
        if not isinstance(call, AppendCall):
            return
        if self.is_log_up:
            self.log.append(call.batch.to_record())
        reply = AppendReply(call.batch, self.is_log_up)
        self.network.send(call.sidecar, _LOG, 0, reply)
