"""TLS contexts of one process; changed certificates are reloaded without a restart."""

import pathlib
import ssl

import anyio

from beryljunction.errors import StartError
from beryljunction.settings import TlsSettings
from beryljunction.timeline import Timeline

__all__ = ["TlsContexts", "client_context"]

_RELOAD_INTERVAL_S = 5.0


class TlsContexts:
    """Contexts for the listeners and for calls to other processes of the fleet.

    All contexts are updated in place when the files change: open connections continue, and new
    ones use the new certificate. An authority that was removed from its file stays trusted until
    a restart, because the ssl module can only add trusted authorities.

    Args:
        settings: Paths of certificate, key and the authority that signs the fleet's certificates.
        requires_client_certificate: Whether the listener for requests accepts only clients with a
            certificate of that authority. An entry's callers have none; they authenticate with an
            API key.

    Attributes:
        operator: Context of the operator listener, whose probes have no certificate.

    Raises:
        StartError: When the files can't be used.
    """

    def __init__(self, settings: TlsSettings, requires_client_certificate: bool) -> None:
        if requires_client_certificate and settings.authority_path is None:
            raise StartError("process.tls.authority_path: expected a path, got none")
        self._settings = settings
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.operator = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.client = client_context()
        if requires_client_certificate:
            self.server.verify_mode = ssl.CERT_REQUIRED
        self._signatures = self._read_signatures()
        try:
            self._load()
        except OSError as error:
            raise StartError(f"process.tls: expected usable PEM files, got {error}") from error

    def reload(self) -> str | None:
        """Reload the files if they have changed.

        Returns:
            None if they have not changed, an error message if loading failed, and "" on success.
        """
        try:
            signatures = self._read_signatures()
            if signatures == self._signatures:
                return None
            self._load()
        except (OSError, StartError) as error:
            return str(error)
        self._signatures = signatures
        return ""

    async def reload_on_change(self, timeline: Timeline) -> None:
        """Reload the files whenever they change, until cancelled."""
        last = None
        while True:
            await anyio.sleep(_RELOAD_INTERVAL_S)
            problem = self.reload()
            if problem is not None and problem != last:
                timeline.add("tls_unreadable" if problem else "tls_renewed", detail=problem)
            last = problem

    def _load(self) -> None:
        """Load the files into a temporary context first, then into the live ones.

        Files are replaced one after the other, so for a moment a new certificate may be paired
        with an old key. With that pair in a live context, every later handshake would fail.
        """
        self._load_into(client_context())
        self._load_into(self.server)
        self._load_into(self.operator)
        self._load_into(self.client)

    def _load_into(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(self._settings.certificate_path, self._settings.key_path)
        if self._settings.authority_path is not None:
            context.load_verify_locations(self._settings.authority_path)

    def _read_signatures(self) -> list[tuple[int, int, int]]:
        paths = (
            self._settings.certificate_path,
            self._settings.key_path,
            self._settings.authority_path,
        )
        return [_file_signature(path) for path in paths if path is not None]


def client_context(authority_path: str = "") -> ssl.SSLContext:
    """Return a context that trusts any certificate signed by the fleet's authority.

    It doesn't check host names: processes are addressed by IP addresses that move between hosts, so
    a name would prove nothing. The authority signs only certificates of the fleet's processes.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    if authority_path:
        context.load_verify_locations(authority_path)
    return context


def _file_signature(path: str) -> tuple[int, int, int]:
    try:
        status = pathlib.Path(path).stat()
    except OSError as error:
        raise StartError(f"{path}: expected a readable file, got {error.strerror}") from error
    return status.st_ino, status.st_size, status.st_mtime_ns
