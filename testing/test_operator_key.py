import contextlib
import hashlib
import json
import pathlib

import anyio
import attrs
import httpcore
import pytest
import tomli_w

from beryljunction.cli.drain import drain
from beryljunction.cli.status import status
from beryljunction.cli.timeline import timeline
from beryljunction.errors import StartError
from beryljunction.fleet_process import FleetProcess
from beryljunction.servers import Server, bind_listener, create_client_pool
from beryljunction.settings import EntryFile, ProcessSettings, ResolvedSettings, TlsSettings
from beryljunction.standins import HostListStandIn
from beryljunction.stores import HostRow
from beryljunction.tls import client_context

CERTIFICATES = pathlib.Path(__file__).parent / "certificates"
AUTHORITY = str(CERTIFICATES / "fleet-authority.pem")
TLS = TlsSettings(str(CERTIFICATES / "host-a.pem"), str(CERTIFICATES / "host-a.key"), AUTHORITY)
KEY, NEXT_KEY = "operators-key", "next-key"
LOOPBACK = "127.0.0.1:0"
PROCESS = ProcessSettings("host-a", "gj-west", "ahd-a", LOOPBACK, LOOPBACK, "fleet-key", "", "")


def digests_of(*keys):
    return tuple(hashlib.sha256(key.encode()).hexdigest() for key in keys)


def process_with_keys(*keys, tls=None):
    return attrs.evolve(PROCESS, operator_keys_sha256=digests_of(*keys), tls=tls)


@contextlib.asynccontextmanager
async def node_of(process):
    node = FleetProcess.entry(EntryFile(process), ResolvedSettings())
    async with anyio.create_task_group() as group:
        await group.start(node.run)
        yield node
        group.cancel_scope.cancel()


async def statuses(process, requests, tls=None):
    """Return the status of the answer to each (method, path, key)."""
    found = []
    async with node_of(process) as node, create_client_pool(tls) as pool:
        for method, path, key in requests:
            url = f"http://{node.operator_server.address}{path}"
            headers = [("authorization", key)] if key else []
            answer = await pool.request(method, url, headers=headers, content=b"{}")
            found.append(answer.status)
        return found, node.status().not_ready


class TestOperatorKeyMiddleware:
    @pytest.mark.parametrize("key", ["", "Bearer wrong", KEY, f"Basic {KEY}", "Bearer"])
    def test_requests_without_a_valid_key_are_rejected(self, key):
        # Anyone who can reach the operator listener could otherwise drain the process or read its
        # requests. All such paths, and unknown ones, respond with 401, and no drain begins.
        paths = ("/beryl/v1/status", "/beryl/v1/events", "/no-such", "/metrics/", "//livez")
        requests = [("GET", path, key) for path in paths]

        found, not_ready = anyio.run(
            statuses, process_with_keys(KEY), [("POST", "/beryl/v1/drain", key), *requests]
        )

        assert found == [401] * 6
        assert not_ready != "leaving"

    @pytest.mark.parametrize("key", [KEY, NEXT_KEY])
    def test_both_keys_are_accepted_during_a_key_rotation(self, key):
        requests = [
            ("GET", "/beryl/v1/status", f"Bearer {key}"),
            ("POST", "/beryl/v1/drain", f"Bearer {key}"),
        ]

        found, not_ready = anyio.run(statuses, process_with_keys(KEY, NEXT_KEY), requests)

        assert (found, not_ready) == ([200, 202], "leaving")

    @pytest.mark.parametrize(("path", "expected"), [("/livez", 200), ("/readyz", 503)])
    def test_probes_need_no_key(self, path, expected):
        requests = [("GET", path, ""), ("GET", "/metrics", "")]

        assert anyio.run(statuses, process_with_keys(KEY), requests)[0] == [expected, 200]

    def test_loopback_listener_needs_no_key(self):
        assert anyio.run(statuses, PROCESS, [("GET", "/beryl/v1/status", "")])[0] == [200]

    @pytest.mark.parametrize(
        ("changes", "problem"),
        [
            pytest.param({"operator_listen": "0.0.0.0:0"}, "expected a key", id="open to others"),
            pytest.param({"operator_listen": "host-a:0"}, "expected a key", id="unknown address"),
            pytest.param({"operator_keys_sha256": (KEY,)}, "64 lowercase", id="key and not hash"),
        ],
    )
    def test_insecure_settings_are_rejected_at_startup(self, changes, problem):
        with pytest.raises(StartError, match=problem):
            FleetProcess.entry(EntryFile(attrs.evolve(PROCESS, **changes)), ResolvedSettings())


class TestOperatorTls:
    def test_listener_accepts_only_tls_and_needs_no_client_certificate(self):
        process = process_with_keys(KEY, tls=TLS)
        requests = [("GET", "/livez", ""), ("GET", "/beryl/v1/status", f"Bearer {KEY}")]

        found, _ = anyio.run(statuses, process, requests, client_context(AUTHORITY))

        assert found == [200, 200]
        with pytest.raises(BaseExceptionGroup) as caught:
            anyio.run(statuses, process, requests)
        assert caught.group_contains(httpcore.RemoteProtocolError)


@contextlib.asynccontextmanager
async def host_list_with(process):
    """Start a process and a host list that contains it; yield the URL of the list."""
    async with node_of(process) as node, anyio.create_task_group() as group:
        hosts = HostListStandIn()
        address = node.operator_server.address
        hosts.put(HostRow("host-a", "", "", "ahd-a", "gj-west", "", operator_address=address))
        server = Server(hosts, bind_listener(LOOPBACK))
        await group.start(server.serve_until_stopped)
        yield f"http://{server.address}"
        group.cancel_scope.cancel()


class TestCommands:
    @pytest.mark.parametrize("tls", [None, TLS], ids=["plain", "tls"])
    @pytest.mark.parametrize(
        ("key", "code"), [pytest.param(KEY, 0, id="key"), pytest.param("wrong", 1, id="wrong")]
    )
    def test_each_sends_the_key_from_the_operator_file(self, tmp_path, capsys, tls, key, code):
        config = tmp_path / "beryl.toml"
        file = {"operator": "asha", "log_address": "", "operator_key": key}
        file |= {"authority_path": AUTHORITY} if tls else {}

        async def run():
            async with host_list_with(process_with_keys(KEY, tls=tls)) as hosts:
                config.write_text(tomli_w.dumps(file | {"hosts_address": hosts}), "utf-8")
                commands = (
                    lambda: status(config=config, json=True),
                    lambda: timeline(config=config, hosts=hosts),
                    lambda: drain("host-a", config=config),
                )
                return [await anyio.to_thread.run_sync(command) for command in commands]

        codes = anyio.run(run)

        out, err = capsys.readouterr()
        assert codes == [code] * 3
        if code == 0:
            assert json.loads(out.splitlines()[0])["host"] == "host-a"
        else:
            assert "expected the key of the operator listener" in err

    def test_unreadable_ca_file_is_reported(self, tmp_path, capsys):
        config = tmp_path / "beryl.toml"
        config.write_text('operator = "a"\nlog_address = ""\nauthority_path = "none.pem"\n')

        assert status(config=config, hosts="http://127.0.0.1:1") == 2
        assert "authority_path: expected a readable PEM file" in capsys.readouterr().err
