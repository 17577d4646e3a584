"""Crashes and stops of entry and sidecar processes, started from the console programs."""

import contextlib
import os
import pathlib
import signal
import sys

import anyio
import attrs
import cattrs
import httpcore
import pytest
import tomli_w

import beryljunction
from beryljunction.settings import EntryFile, SidecarFile
from beryljunction.standins import HostListStandIn
from beryljunction.stores import HostRow
from beryljunction.tables import Endpoint
from path_fakes import (
    AUTH,
    PROCESS,
    ScriptedEngine,
    chat,
    error_of,
    event_data,
    eventually,
    path_of,
    view_with,
)
from ports import free_ports

pytestmark = pytest.mark.anyio
CHAT = "/v1/chat/completions"
_converter = cattrs.Converter(omit_if_default=True)


@pytest.fixture
def anyio_backend():
    return "asyncio"


@contextlib.asynccontextmanager
async def program(name, file, directory):
    """Run a console program for the duration of the block; kill it if it is still running."""
    path = directory / f"{file.process.host}.toml"
    path.write_text(tomli_w.dumps(_converter.unstructure(file)))
    binary = pathlib.Path(sys.executable).parent / name
    source = str(pathlib.Path(beryljunction.__file__).parents[1])
    async with await anyio.open_process(
        [str(binary), str(path)], env={**os.environ, "PYTHONPATH": source}, stdout=None, stderr=None
    ) as process:
        try:
            await wait_until_listening(file.process.listen)
            yield process
        finally:
            if process.returncode is None:
                process.kill()


async def wait_until_listening(address):
    host, _, port = address.rpartition(":")
    while True:
        with contextlib.suppress(OSError):
            async with await anyio.connect_tcp(host, int(port)):
                return
        await anyio.sleep(0.05)


@contextlib.asynccontextmanager
async def sidecar_program(path, engine_address, directory, service="drafter"):
    """Run a sidecar as a process and add it to the endpoint table of in-process entries."""
    with contextlib.ExitStack() as held:
        listen = f"127.0.0.1:{next(free_ports(held))}"
        process = attrs.evolve(PROCESS, host=f"{service}-0", listen=listen)
        path.endpoints.put(Endpoint(f"{service}-0", service, "ahd-a", listen))
        file = SidecarFile(process, f"{service}-0", service, f"http://{engine_address}", path.view)
        async with program("beryl-sidecar", file, directory) as running:
            yield running


@contextlib.asynccontextmanager
async def entry_program(path, directory):
    """Run an entry as a process; it finds the path's sidecars through a host list."""
    hosts = HostListStandIn()
    for row in path.endpoints:
        hosts.put(HostRow("h", row.endpoint_id, row.service, "ahd-a", "gj-west", row.address))
    address = f"http://{await path.serve(hosts)}"
    with contextlib.ExitStack() as held:
        listen = f"127.0.0.1:{next(free_ports(held))}"
        process = attrs.evolve(PROCESS, host="entry", listen=listen, hosts_address=address)
        async with program("beryl-entry", EntryFile(process, path.view), directory) as running:
            yield f"http://{listen}", running


async def wait_until_answered(path, entry):
    """Wait until the entry knows its endpoints: repeat a request until it succeeds."""
    while True:
        answer = await path.pool.request("POST", entry + CHAT, headers=[AUTH], content=chat())
        if answer.status == 200:
            return
        await anyio.sleep(0.1)


class TestKilledSidecar:
    async def test_open_stream_ends_with_an_error_marked_as_run(self, tmp_path):
        # The sidecar is killed (SIGKILL) in mid-answer: the entry's connection breaks and new ones
        # are not accepted. The caller's partial answer must end with an error.
        async with path_of() as path:
            engine = ScriptedEngine(hold_at=3)
            engine_address = await path.serve(engine)
            entry = await path.entry()
            async with (
                sidecar_program(path, engine_address, tmp_path) as sidecar,
                path.pool.stream("POST", entry + CHAT, headers=[AUTH], content=chat()) as answer,
            ):
                body = b""
                async for chunk in answer.aiter_stream():
                    body += chunk
                    if body.count(b"data: ") == 3 and sidecar.returncode is None:
                        sidecar.kill()

        assert event_data(body)[:3] == engine.answer()[:3]
        assert b'"ran": "yes"' in body
        assert b"[DONE]" not in body

    async def test_non_repeatable_request_is_unknown_and_not_repeated(self, tmp_path):
        async with path_of() as path:
            engines = [ScriptedEngine(hold_at=0), ScriptedEngine()]
            engine_address = await path.serve(engines[0])
            entry = await path.entry()
            answers = []

            async def note():
                url = f"{entry}/services/ledger/n"
                answers.append(await path.pool.request("POST", url, headers=[AUTH], content=b"{}"))

            async with (
                sidecar_program(path, engine_address, tmp_path, "ledger") as sidecar,
                anyio.create_task_group() as group,
            ):
                group.start_soon(note)
                await eventually(lambda: engines[0].runs)
                path.sidecars.append(None)
                await path.sidecar(engines[1], "ledger")
                sidecar.kill()

        error = error_of(answers[0])
        assert (error["code"], error["ran"]) == ("outcome_unknown", "unknown")
        assert (len(engines[0].runs), engines[1].runs) == (1, [])


class TestStoppedEntry:
    async def test_fifty_open_streams_are_completed(self, tmp_path):
        # An entry with 50 open streams gets SIGTERM twice: every caller must read its complete
        # answer on its existing connection, and the process must exit with code 0. The silence
        # limits are raised because on a busy machine opening 50 streams takes longer than the usual
        # limit of these tests, and the held engine would rightly be treated as failed.
        async with path_of(view_with(silence_s=30.0, engine_silence_s=30.0)) as path:
            engine = ScriptedEngine()
            await path.sidecar(engine)
            async with entry_program(path, tmp_path) as (entry, process):
                await wait_until_answered(path, entry)
                engine.hold_at = 2
                answers = []

                async def ask():
                    answers.append(
                        await path.pool.request(
                            "POST", entry + CHAT, headers=[AUTH], content=chat()
                        )
                    )

                async with anyio.create_task_group() as group:
                    for _ in range(50):
                        group.start_soon(ask)
                    await eventually(lambda: path.sidecars[0].in_flight >= 50)
                    process.send_signal(signal.SIGTERM)
                    process.send_signal(signal.SIGTERM)
                    engine.release.set()
                code = await process.wait()

        assert [event_data(answer.content) for answer in answers] == [engine.answer()] * 50
        assert code == 0


class TestKilledEntry:
    async def test_caller_resumes_at_another_entry(self, tmp_path):
        async with path_of() as path:
            engine = ScriptedEngine()
            await path.sidecar(engine)
            other = await path.entry()
            async with entry_program(path, tmp_path) as (entry, process):
                await wait_until_answered(path, entry)
                engine.hold_at = 2
                seen = b""
                with contextlib.suppress(httpcore.NetworkError, httpcore.ProtocolError):
                    async with path.pool.stream(
                        "POST", entry + CHAT, headers=[AUTH], content=chat()
                    ) as broken:
                        name = dict(broken.headers)[b"beryl-stream-id"].decode()
                        async for chunk in broken.aiter_stream():
                            seen += chunk
                            if len(event_data(seen)) == 2:
                                process.kill()
            engine.release.set()
            last = [line[4:] for line in seen.split(b"\n") if line.startswith(b"id: ")][-1]

            rest = await path.pool.request(
                "GET", f"{other}/v1/streams/{name}", headers=[AUTH, ("last-event-id", last)]
            )

        assert event_data(seen) + event_data(rest.content) == engine.answer()
        assert len(engine.runs) == 2
