"""TLS of one process: contexts by settings, certificates read again without a restart."""

import pathlib
import ssl

import anyio

from beryljunction.errors import StartError
from beryljunction.settings import TlsSettings
from beryljunction.timeline import Timeline

__all__ = ["TlsContexts", "client_context"]

_READ_AGAIN_S = 5.0


class TlsContexts:
    """Contexts for the listeners and for calls to other processes of the fleet.

    All are changed in place when the files change: connections that are open go on, new ones use
    the new certificate. An authority that was taken out of its file stays trusted until a restart,
    since the library can only add to the trusted ones.

    Args:
        settings: Paths of certificate, key and the authority that signs the fleet's certificates.
        is_mutual: Whether the listener for requests takes only clients with a certificate of that
            authority. An entry's callers have none, they show an API key.

    Attributes:
        operator: For the operator listener, whose probes have no certificate.

    Raises:
        StartError: When the files can't be used.
    """

    def __init__(self, settings: TlsSettings, is_mutual: bool) -> None:
        if is_mutual and settings.authority_path is None:
            raise StartError("process.tls.authority_path: expected a path, got none")
        self._settings = settings
        self.server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.operator = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.client = client_context()
        if is_mutual:
            self.server.verify_mode = ssl.CERT_REQUIRED
        self._marks = self._files_marks()
        try:
            self._load()
        except OSError as error:
            raise StartError(f"process.tls: expected usable PEM files, got {error}") from error

    def read_again(self) -> str | None:
        """Load the files if they have changed.

        Returns:
            None when they have not, otherwise the problem, empty when there was none.
        """
        try:
            marks = self._files_marks()
            if marks == self._marks:
                return None
            self._load()
        except (OSError, StartError) as error:
            return str(error)
        self._marks = marks
        return ""

    async def follow(self, timeline: Timeline) -> None:
        """Read the files again whenever they change, until cancelled."""
        last = None
        while True:
            await anyio.sleep(_READ_AGAIN_S)
            problem = self.read_again()
            if problem is not None and problem != last:
                timeline.add("tls_unreadable" if problem else "tls_renewed", detail=problem)
            last = problem

    def _load(self) -> None:
        """Load into the live contexts what has been tried on a spare one.

        Files are replaced one after the other, so a new certificate may stand beside an old key for
        a moment. Loaded into a live context that pair would end every handshake from then on.
        """
        self._load_into(client_context())
        self._load_into(self.server)
        self._load_into(self.operator)
        self._load_into(self.client)

    def _load_into(self, context: ssl.SSLContext) -> None:
        context.load_cert_chain(self._settings.certificate_path, self._settings.key_path)
        if self._settings.authority_path is not None:
            context.load_verify_locations(self._settings.authority_path)

    def _files_marks(self) -> list[tuple[int, int, int]]:
        paths = (
            self._settings.certificate_path,
            self._settings.key_path,
            self._settings.authority_path,
        )
        return [_mark(path) for path in paths if path is not None]


def client_context(authority_path: str = "") -> ssl.SSLContext:
    """Return a context that trusts whoever the fleet's authority has signed.

    Processes are addressed by IP numbers that pass from host to host, so a name in a certificate
    would prove nothing. The authority signs only processes of the fleet, and that is what counts.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.check_hostname = False
    if authority_path:
        context.load_verify_locations(authority_path)
    return context


def _mark(path: str) -> tuple[int, int, int]:
    try:
        status = pathlib.Path(path).stat()
    except OSError as error:
        raise StartError(f"{path}: expected a readable file, got {error.strerror}") from error
    return status.st_ino, status.st_size, status.st_mtime_ns
