import pathlib
import shutil
import ssl

import anyio
import httpcore
import pytest

from beryljunction.errors import StartError
from beryljunction.servers import Server, bind_listener, create_client_pool, send_response
from beryljunction.settings import TlsSettings
from beryljunction.tls import TlsContexts

# Test certificates, used nowhere else: "host-a" and its renewal are signed by the fleet's
# authority, "stranger" by another one.
CERTIFICATES = pathlib.Path(__file__).parent / "certificates"


def install(directory, name):
    """Install a certificate and key; like a renewal, this changes the files' times."""
    for suffix in ("pem", "key"):
        shutil.copyfile(CERTIFICATES / f"{name}.{suffix}", directory / f"host.{suffix}")
    authority = str(CERTIFICATES / "fleet-authority.pem")
    return TlsSettings(str(directory / "host.pem"), str(directory / "host.key"), authority)


def settings_of(name, authority="fleet-authority"):
    paths = (CERTIFICATES / f"{name}.pem", CERTIFICATES / f"{name}.key")
    return TlsSettings(str(paths[0]), str(paths[1]), str(CERTIFICATES / f"{authority}.pem"))


async def hello(scope, receive, send):
    await send_response(send, 200, b"hello")


def ask(server_tls, *client_contexts):
    """Serve over TLS, send one request per client context, and return bodies or error types."""

    async def run():
        answers = []
        async with anyio.create_task_group() as group:
            server = Server(hello, bind_listener("127.0.0.1:0"), server_tls)
            await group.start(server.serve_until_stopped)
            for context in client_contexts:
                async with create_client_pool(context) as pool:
                    try:
                        response = await pool.request("GET", f"https://{server.address}/")
                        answers.append(response.content)
                    except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                        answers.append(type(error))
            server.stop()
        return answers

    return anyio.run(run)


def serial_of(context):
    """Return the serial number of the certificate that a context presents."""
    probe = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    probe.check_hostname = False
    probe.load_verify_locations(CERTIFICATES / "fleet-authority.pem")
    to_server, to_client = ssl.MemoryBIO(), ssl.MemoryBIO()
    client = probe.wrap_bio(to_client, to_server)
    server = context.wrap_bio(to_server, to_client, server_side=True)
    for side in (client, server, client):
        try:
            side.do_handshake()
        except ssl.SSLWantReadError:
            continue
    return client.getpeercert()["serialNumber"]


class TestTlsContexts:
    def test_fleet_processes_can_connect_to_each_other(self):
        contexts = TlsContexts(settings_of("host-a"), requires_client_certificate=True)
        other = TlsContexts(settings_of("host-a-renewed"), requires_client_certificate=True)

        assert ask(contexts.server, other.client) == [b"hello"]

    @pytest.mark.parametrize("case", ["stranger", "no-certificate"])
    def test_rejects_clients_without_a_certificate_of_the_authority(self, case):
        contexts = TlsContexts(settings_of("host-a"), requires_client_certificate=True)
        client = ssl.create_default_context(cafile=CERTIFICATES / "fleet-authority.pem")
        client.check_hostname = False
        if case == "stranger":
            client.load_cert_chain(CERTIFICATES / "stranger.pem", CERTIFICATES / "stranger.key")

        (answer,) = ask(contexts.server, client)

        assert answer != b"hello"
        assert issubclass(answer, (httpcore.NetworkError, httpcore.ProtocolError))

    def test_rejects_servers_without_a_certificate_of_the_authority(self):
        stranger = TlsContexts(
            settings_of("stranger", "other-authority"), requires_client_certificate=False
        )
        client = TlsContexts(settings_of("host-a"), requires_client_certificate=True).client

        assert ask(stranger.server, client) == [httpcore.ConnectError]

    def test_renewed_certificate_is_used_without_a_restart(self, tmp_path):
        contexts = TlsContexts(install(tmp_path, "host-a"), requires_client_certificate=False)
        before = serial_of(contexts.server)

        install(tmp_path, "host-a-renewed")
        problem = contexts.reload()

        assert problem == ""
        assert contexts.reload() is None
        assert serial_of(contexts.server) != before

    def test_half_renewed_files_leave_the_old_certificate_in_use(self, tmp_path):
        """A reload between the replacement of a certificate and of its key sees a mismatched pair.

        The process must keep the old pair, report the mismatch, and load the new pair next time.
        """
        contexts = TlsContexts(install(tmp_path, "host-a"), requires_client_certificate=False)
        before = serial_of(contexts.server)

        shutil.copyfile(CERTIFICATES / "host-a-renewed.pem", tmp_path / "host.pem")
        problem = contexts.reload()
        between = serial_of(contexts.server)
        install(tmp_path, "host-a-renewed")

        assert "mismatch" in problem.lower()
        assert between == before
        assert contexts.reload() == ""

    def test_unusable_files_fail_the_start(self, tmp_path):
        with pytest.raises(StartError, match="expected a readable file"):
            TlsContexts(
                TlsSettings(str(tmp_path / "none.pem"), "none.key"),
                requires_client_certificate=False,
            )
